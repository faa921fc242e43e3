package routesim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

const (
	nearDelay = time.Millisecond      // one way within a region
	farDelay  = 20 * time.Millisecond // one way between regions
	// responseBytes is the size of a streamed token.
	responseBytes = 200
	// restartAt is when the first entry restarts, if the run has a restart.
	restartAt = Duration / 2
)

// Options of a run.
type Options struct {
	Policy  Policy
	Entries int
	Restart bool
	Seed    uint64
	// Scheduler makes the choices of the Design policy.
	Scheduler *route.Scheduler
}

// run is a job on its way.
type run struct {
	job     *job
	entry   *entry
	engine  int
	delay   time.Duration
	attempt *route.Attempt
	behind  bool
	cached  int64
}

type report struct {
	key  int
	load route.Load
}

// entry is one router process.
type entry struct {
	region   int
	tracker  *route.Tracker
	reports  [regions * enginesPerZone]report
	inFlight [regions * enginesPerZone]int64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type sim struct {
	opts    Options
	now     time.Duration
	seq     int
	queue   events
	rng     *rand.Rand
	engines []*engine
	entries []*entry
	members []member.Endpoint
	result  collector
	seen    map[uint64]bool
}

func clock(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

// Run replays the trace and returns the figures.
func Run(o Options) Result {
	s := &sim{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), seen: map[uint64]bool{}}
	for i := range regions * enginesPerZone {
		s.engines = append(s.engines, newEngine())
		s.members = append(s.members, member.Endpoint{State: member.Ready,
			Host: infra.Host{ID: fmt.Sprintf("engine-%d", i), Region: regionName(i / enginesPerZone)}})
	}
	for i := range o.Entries {
		s.entries = append(s.entries, &entry{region: i % regions, tracker: route.NewTracker()})
	}
	jobs := newTrace(o.Seed)
	for i := range jobs {
		s.after(jobs[i].at, func() { s.arrive(&jobs[i]) })
	}
	slow := rand.New(rand.NewPCG(o.Seed, 3))
	for at := stragglePeriod / 2; at < Duration; at += stragglePeriod {
		e := s.engines[slow.IntN(len(s.engines))]
		s.after(at, func() { e.slowUntil = s.now + straggleTime })
	}
	if o.Restart {
		s.after(restartAt, func() { *s.entries[0] = entry{region: s.entries[0].region, tracker: route.NewTracker()} })
	}
	for s.queue.Len() > 0 {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		ev.do()
	}
	return s.result.result()
}

func regionName(i int) string { return string(rune('a' + i)) }

// arrive chooses an engine; with one entry per region a job uses its own.
func (s *sim) arrive(j *job) {
	en := s.entries[j.region%len(s.entries)]
	if len(s.entries) != regions {
		en = s.entries[s.rng.IntN(len(s.entries))]
	}
	r := &run{job: j, entry: en, delay: nearDelay}
	s.choose(r)
	if r.engine/enginesPerZone != en.region {
		r.delay = farDelay
		s.result.crossed += j.tokens*bytesPerToken + j.output*responseBytes
	}
	en.inFlight[r.engine]++
	s.after(r.delay, func() { s.enqueue(r) })
}

func (s *sim) enqueue(r *run) {
	e := s.engines[r.engine]
	r.behind = s.now < e.longUntil && !r.job.long
	for _, q := range e.queue {
		r.behind = r.behind || (q.job.long && !r.job.long)
	}
	e.queue = append(e.queue, r)
	s.reply(r, func() {
		if r.attempt != nil {
			r.attempt.Accepted(0, clock(s.now))
		}
	})
	s.start(e)
}

// reply sends a load report to the entry, followed by f.
func (s *sim) reply(r *run, f func()) {
	load := s.engines[r.engine].load(s.now)
	s.after(r.delay, func() {
		rep := &r.entry.reports[r.engine]
		*rep = report{rep.key + 1, load}
		f()
	})
}

func (s *sim) start(e *engine) {
	if e.busy || len(e.queue) == 0 || e.running == slots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = true
	e.running++
	r.cached = e.lookup(r.job, s.now)
	took := prefillTime(r.job.tokens-r.cached) + overhead
	if s.now < e.slowUntil {
		took *= straggleFactor
	}
	e.busyUntil = s.now + took
	if r.job.long {
		e.longUntil = e.busyUntil
	}
	e.store(r.job, s.now)
	s.count(r)
	s.after(took, func() { s.firstToken(e, r) })
}

func (s *sim) count(r *run) {
	s.result.prompt += r.job.tokens
	s.result.cached += r.cached
	var before int64
	for _, l := range r.job.levels {
		if l.Tokens > r.cached && s.seen[l.Hash] {
			s.result.recomputed += l.Tokens - before
		}
		s.seen[l.Hash] = true
		before = l.Tokens
	}
}

func (s *sim) firstToken(e *engine, r *run) {
	e.busy = false
	e.store(r.job, s.now)
	s.after(r.delay, func() {
		s.result.add(r, s.now)
		if r.attempt != nil {
			r.attempt.FirstToken(clock(s.now))
			r.attempt.Cached(r.cached, clock(s.now))
		}
	})
	s.after(time.Duration(r.job.output)*tokenGap, func() {
		e.running--
		s.reply(r, func() {
			r.entry.inFlight[r.engine] = max(0, r.entry.inFlight[r.engine]-1)
			if r.attempt != nil {
				r.attempt.End(r.job.output, r.job.output*responseBytes, clock(s.now))
			}
		})
		s.start(e)
	})
	s.start(e)
}

// Result holds the figures of a run; times are to first token, of short
// requests unless named otherwise.
type Result struct {
	HitRate             float64
	P50, P95, P99       time.Duration
	RecomputedTokens    int64 // tokens that some engine had computed before
	CrossRegionBytes    int64
	P95BehindLong       time.Duration // p95 of short requests queued behind a long one
	BehindLongCount     int
	P99Straggler        time.Duration // p99 while an engine is slow
	P95Surge            time.Duration // p95 in the first 2 s after demand doubles
	AfterRestartHitRate float64       // within 5 s after restartAt
}

type collector struct {
	prompt, cached, recomputed, crossed int64
	all, behind, straggle, surge        []time.Duration
	restartPrompt, restartCached        int64
}

func (c *collector) add(r *run, now time.Duration) {
	j := r.job
	if j.at >= restartAt && j.at < restartAt+5*time.Second {
		c.restartPrompt += j.tokens
		c.restartCached += r.cached
	}
	if j.long {
		return
	}
	d := now - j.at
	c.all = append(c.all, d)
	if r.behind {
		c.behind = append(c.behind, d)
	}
	if p := (j.at + stragglePeriod/2) % stragglePeriod; p < straggleTime {
		c.straggle = append(c.straggle, d)
	}
	if p := j.at % swingPeriod; p >= swingPeriod/2 && p < swingPeriod/2+2*time.Second {
		c.surge = append(c.surge, d)
	}
}

func (c *collector) result() Result {
	return Result{HitRate: float64(c.cached) / float64(c.prompt), P50: quantile(c.all, .5), P95: quantile(c.all, .95), P99: quantile(c.all, .99),
		RecomputedTokens: c.recomputed, CrossRegionBytes: c.crossed, P95BehindLong: quantile(c.behind, .95), BehindLongCount: len(c.behind),
		P99Straggler: quantile(c.straggle, .99), P95Surge: quantile(c.surge, .95),
		AfterRestartHitRate: float64(c.restartCached) / float64(max(1, c.restartPrompt))}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))]
}
