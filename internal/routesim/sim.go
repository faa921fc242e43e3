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
	sameRegionDelay  = time.Millisecond      // one way within a region
	crossRegionDelay = 20 * time.Millisecond // one way between regions
	// bytesPerOutputToken is the size of a streamed token.
	bytesPerOutputToken = 200
	// restartAt is the time of the first entry's restart in runs that have one.
	restartAt = Duration / 2
)

// Options are the settings of a run.
type Options struct {
	Policy Policy
	// Entries is the number of entries.
	Entries int
	// Restart makes the first entry lose its state at restartAt.
	Restart bool
	Seed    uint64
	// Scheduler chooses the engines for the Design policy.
	Scheduler *route.Scheduler
}

// dispatch is a request that an entry has sent to an engine.
type dispatch struct {
	request          *request
	entry            *entry
	engine           int
	oneWayDelay      time.Duration
	attempt          *route.Attempt
	queuedBehindLong bool
	cachedTokens     int64
}

// report is an engine's load as an entry last received it. key grows with each
// report.
type report struct {
	key  int
	load route.Load
}

// entry models one entry process.
type entry struct {
	region   int
	tracker  *route.Tracker
	reports  [regions * enginesPerRegion]report
	inFlight [regions * enginesPerRegion]int64
}

// event is a function to call at a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events ordered by time.
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

// sim is the state of one run. now is the virtual time since its start, and
// computedLevels holds the hashes of the levels that some engine has prefilled.
type sim struct {
	opts           Options
	now            time.Duration
	seq            int
	queue          events
	rng            *rand.Rand
	engines        []*engine
	entries        []*entry
	members        []member.Endpoint
	result         collector
	computedLevels map[uint64]bool
}

func virtualTime(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// schedule calls f after a delay in virtual time.
func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

// Run replays the trace of the options' seed and returns its figures.
func Run(o Options) Result {
	s := &sim{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), computedLevels: map[uint64]bool{}}
	for i := range regions * enginesPerRegion {
		s.engines = append(s.engines, newEngine())
		s.members = append(s.members, member.Endpoint{State: member.Ready,
			Host: infra.Host{ID: fmt.Sprintf("engine-%d", i), Region: regionName(i / enginesPerRegion)}})
	}
	for i := range o.Entries {
		s.entries = append(s.entries, &entry{region: i % regions, tracker: route.NewTracker()})
	}
	requests := newTrace(o.Seed)
	for i := range requests {
		s.schedule(requests[i].arrival, func() { s.arrive(&requests[i]) })
	}
	slow := rand.New(rand.NewPCG(o.Seed, 3))
	for at := stragglerPeriod / 2; at < Duration; at += stragglerPeriod {
		e := s.engines[slow.IntN(len(s.engines))]
		s.schedule(at, func() { e.slowEnd = s.now + stragglerDuration })
	}
	if o.Restart {
		s.schedule(restartAt, func() { *s.entries[0] = entry{region: s.entries[0].region, tracker: route.NewTracker()} })
	}
	for s.queue.Len() > 0 {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		ev.do()
	}
	return s.result.result()
}

func regionName(i int) string { return string(rune('a' + i)) }

// arrive sends a request to the engine that its entry chooses. With one entry per
// region the request uses the entry of its region, otherwise a random one.
func (s *sim) arrive(req *request) {
	en := s.entries[req.region%len(s.entries)]
	if len(s.entries) != regions {
		en = s.entries[s.rng.IntN(len(s.entries))]
	}
	r := &dispatch{request: req, entry: en, oneWayDelay: sameRegionDelay}
	s.choose(r)
	if r.engine/enginesPerRegion != en.region {
		r.oneWayDelay = crossRegionDelay
		s.result.crossRegionBytes += req.tokens*bytesPerPromptToken + req.outputTokens*bytesPerOutputToken
	}
	en.inFlight[r.engine]++
	s.schedule(r.oneWayDelay, func() { s.enqueue(r) })
}

func (s *sim) enqueue(r *dispatch) {
	e := s.engines[r.engine]
	r.queuedBehindLong = s.now < e.longPrefillEnd && !r.request.long
	for _, q := range e.queue {
		r.queuedBehindLong = r.queuedBehindLong || (q.request.long && !r.request.long)
	}
	e.queue = append(e.queue, r)
	s.sendReport(r, func() {
		if r.attempt != nil {
			r.attempt.Accepted(0, virtualTime(s.now))
		}
	})
	s.start(e)
}

// sendReport sends a load report to the entry of r and calls f on its arrival.
func (s *sim) sendReport(r *dispatch, f func()) {
	load := s.engines[r.engine].report(s.now)
	s.schedule(r.oneWayDelay, func() {
		rep := &r.entry.reports[r.engine]
		*rep = report{rep.key + 1, load}
		f()
	})
}

// start begins the next queued prefill if none is running and a slot is free.
func (s *sim) start(e *engine) {
	if e.prefilling || len(e.queue) == 0 || e.running == slots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = true
	e.running++
	r.cachedTokens = e.lookup(r.request, s.now)
	took := prefillTime(r.request.tokens-r.cachedTokens) + firstTokenOverhead
	if s.now < e.slowEnd {
		took *= stragglerSlowdown
	}
	e.prefillEnd = s.now + took
	if r.request.long {
		e.longPrefillEnd = e.prefillEnd
	}
	e.storeLevels(r.request, s.now)
	s.countTokens(r)
	s.schedule(took, func() { s.firstToken(e, r) })
}

// countTokens counts the prompt tokens of r that are cached and those that some
// engine had computed before.
func (s *sim) countTokens(r *dispatch) {
	s.result.promptTokens += r.request.tokens
	s.result.cachedTokens += r.cachedTokens
	var parentTokens int64
	for _, l := range r.request.levels {
		if l.Tokens > r.cachedTokens && s.computedLevels[l.Hash] {
			s.result.recomputedTokens += l.Tokens - parentTokens
		}
		s.computedLevels[l.Hash] = true
		parentTokens = l.Tokens
	}
}

// firstToken ends the prefill of r and schedules the end of its response.
func (s *sim) firstToken(e *engine, r *dispatch) {
	e.prefilling = false
	e.storeLevels(r.request, s.now)
	s.schedule(r.oneWayDelay, func() {
		s.result.add(r, s.now)
		if r.attempt != nil {
			r.attempt.FirstToken(virtualTime(s.now))
			r.attempt.Cached(r.cachedTokens, virtualTime(s.now))
		}
	})
	s.schedule(time.Duration(r.request.outputTokens)*tokenGap, func() {
		e.running--
		s.sendReport(r, func() {
			r.entry.inFlight[r.engine] = max(0, r.entry.inFlight[r.engine]-1)
			if r.attempt != nil {
				r.attempt.End(r.request.outputTokens, r.request.outputTokens*bytesPerOutputToken, virtualTime(s.now))
			}
		})
		s.start(e)
	})
	s.start(e)
}

// Result holds the figures of a run. Durations are times to first token of the
// requests that are not long.
type Result struct {
	HitRate             float64 // share of prompt tokens that were cached
	P50, P95, P99       time.Duration
	RecomputedTokens    int64         // prompt tokens that some engine had computed before
	CrossRegionBytes    int64         // prompts and responses sent to other regions
	P95BehindLong       time.Duration // of requests queued behind a long one
	BehindLongCount     int
	P99Straggler        time.Duration // while an engine is slow
	P95Surge            time.Duration // in the first 2 s after demand doubles
	AfterRestartHitRate float64       // within 5 s after restartAt
}

// collector gathers the samples of a run.
type collector struct {
	promptTokens, cachedTokens, recomputedTokens, crossRegionBytes int64
	all, behindLong, straggler, surge                              []time.Duration
	restartPromptTokens, restartCachedTokens                       int64
}

func (c *collector) add(r *dispatch, now time.Duration) {
	req := r.request
	if req.arrival >= restartAt && req.arrival < restartAt+5*time.Second {
		c.restartPromptTokens += req.tokens
		c.restartCachedTokens += r.cachedTokens
	}
	if req.long {
		return
	}
	d := now - req.arrival
	c.all = append(c.all, d)
	if r.queuedBehindLong {
		c.behindLong = append(c.behindLong, d)
	}
	if p := (req.arrival + stragglerPeriod/2) % stragglerPeriod; p < stragglerDuration {
		c.straggler = append(c.straggler, d)
	}
	if p := req.arrival % surgePeriod; p >= surgePeriod/2 && p < surgePeriod/2+2*time.Second {
		c.surge = append(c.surge, d)
	}
}

func (c *collector) result() Result {
	return Result{HitRate: float64(c.cachedTokens) / float64(c.promptTokens), P50: quantile(c.all, .5), P95: quantile(c.all, .95), P99: quantile(c.all, .99),
		RecomputedTokens: c.recomputedTokens, CrossRegionBytes: c.crossRegionBytes, P95BehindLong: quantile(c.behindLong, .95), BehindLongCount: len(c.behindLong),
		P99Straggler: quantile(c.straggler, .99), P95Surge: quantile(c.surge, .95),
		AfterRestartHitRate: float64(c.restartCachedTokens) / float64(max(1, c.restartPromptTokens))}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))]
}
