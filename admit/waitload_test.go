package admit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// kind is a kind of request in a load.
type kind struct {
	WaitLimit
	// firstEvent is the time from the start to the first event.
	deadline, service, firstEvent time.Duration
}

var (
	shortKind = kind{WaitLimit{Priority: 0, Target: 500 * time.Millisecond, Stream: true}, 3 * time.Second, 100 * time.Millisecond, 50 * time.Millisecond}
	longKind  = kind{WaitLimit{Priority: 1, Target: 1500 * time.Millisecond, Stream: true}, 15 * time.Second, 400 * time.Millisecond, 300 * time.Millisecond}
)

// behaviour tells when a caller sends a refused request again.
type behaviour int

const (
	neverRepeats behaviour = iota
	repeatsAtOnce
	repeatsAsTold
)

// arrival is a request of a load. repeats bounds how often its caller repeats it.
type arrival struct {
	kind      *kind
	account   string
	first, at time.Time // of the first and of the last request
	behaviour behaviour
	repeats   int

	deadline time.Time
	start    time.Time // zero if it was refused
}

// poisson returns arrivals of an account between two times that need a share of the servers.
func poisson(r *rand.Rand, k *kind, account string, from, to time.Duration, load float64) (out []*arrival) {
	perSecond := load * loadServers / k.service.Seconds()
	for at := from.Seconds() + r.ExpFloat64()/perSecond; at < to.Seconds(); at += r.ExpFloat64() / perSecond {
		t := queueStart.Add(time.Duration(at * float64(time.Second)))
		out = append(out, &arrival{kind: k, account: account, first: t, at: t, deadline: t.Add(k.deadline)})
	}
	return out
}

const (
	loadServers  = 32
	loadTick     = 10 * time.Millisecond
	loadRepeatIn = 20 * time.Millisecond
)

// servers serves a load at a fixed number of servers with one queue in order of arrival.
type servers struct {
	free     [loadServers]time.Time
	shedder  LoadShedder
	standing StandingQueueDetector
	queue    WaitQueue
	waiting  map[*Waiting]*arrival
	used     func(string) float64
	// pending are the arrivals to come, in order.
	pending []*arrival
}

// serve returns the load after it was served. used is nil if there is no queue.
func serve(load []*arrival, used func(string) float64) []*arrival {
	s := &servers{used: used, waiting: map[*Waiting]*arrival{}, pending: slices.Clone(load),
		shedder: LoadShedder{Usual: Limits{1.5, 0.8, 480 * time.Millisecond}, Overload: Limits{1, 0.3, 150 * time.Millisecond}}}
	slices.SortStableFunc(s.pending, func(a, b *arrival) int { return a.at.Compare(b.at) })
	for now := queueStart; len(s.pending) > 0 || s.queue.Len() > 0; now = now.Add(loadTick) {
		for len(s.pending) > 0 && !s.pending[0].at.After(now) {
			a := s.pending[0]
			s.pending = s.pending[1:]
			if s.used == nil {
				s.arriveWithoutQueue(a, a.at)
			} else {
				s.arrive(a, a.at)
			}
		}
		s.tick(now)
	}
	return load
}

// wait returns the time until a server is free, and whether there is a standing queue.
func (s *servers) wait(now time.Time) (wait time.Duration, standing bool) {
	slices.SortFunc(s.free[:], time.Time.Compare)
	wait = max(0, s.free[0].Sub(now))
	standing, _ = s.standing.Observe("s", wait, now)
	return wait, standing
}

// send sends a request to the server that is free after a wait.
func (s *servers) send(a *arrival, wait time.Duration, now time.Time) {
	a.start = now.Add(wait)
	s.free[0] = a.start.Add(a.kind.service)
}

// try sends a request that arrives, or w that waits, if the load shedder admits it.
func (s *servers) try(a *arrival, w *Waiting, now time.Time) bool {
	wait, standing := s.wait(now)
	t := Timing{Elapsed: now.Sub(a.at), Wait: wait, FirstEvent: a.kind.firstEvent}
	if w != nil && !s.shedder.AdmitWaiting(a.kind.Priority, t, a.kind.Target, w.Late()) ||
		w == nil && !(t.Timely(a.kind.Target, false) && s.shedder.Admit(a.kind.Priority, wait, a.kind.Target, standing)) {
		return false
	}
	s.send(a, wait, now)
	return true
}

func (s *servers) arriveWithoutQueue(a *arrival, now time.Time) {
	wait, standing := s.wait(now)
	if s.shedder.Admit(a.kind.Priority, wait, a.kind.Target, standing) {
		s.send(a, wait, now)
		return
	}
	s.refused(a, wait, now)
}

func (s *servers) arrive(a *arrival, now time.Time) {
	longest := a.kind.Longest(a.deadline.Sub(now))
	w := &Waiting{Priority: a.kind.Priority, Account: a.account, LatestStart: a.deadline.Add(-a.kind.firstEvent),
		OnTimeUntil: now.Add(a.kind.Target - a.kind.firstEvent), Until: now.Add(longest)}
	if !s.queue.MustWait(w, s.used(a.account), now) && s.try(a, nil, now) {
		return
	}
	e := s.queue.Add(w, s.used(a.account), now)
	if e.Refused != "" {
		s.refused(a, e.Expected, now)
		return
	}
	s.waiting[w] = a
	if e.Evicted != nil {
		s.refused(s.waiting[e.Evicted], s.queue.ExpectedWait(s.queue.Len(), now), now)
	}
}

// refused makes the caller repeat the request if it does so and has time left.
func (s *servers) refused(a *arrival, retryAfter time.Duration, now time.Time) {
	again := now.Add(loadRepeatIn)
	if a.behaviour == repeatsAsTold {
		again = again.Add(retryAfter)
	}
	if a.behaviour == neverRepeats || a.repeats == 0 || !again.Before(a.deadline) {
		return
	}
	a.repeats--
	at, _ := slices.BinarySearchFunc(s.pending, again, func(p *arrival, t time.Time) int { return p.at.Compare(t) })
	a.at = again
	s.pending = slices.Insert(s.pending, at, a)
}

func (s *servers) tick(now time.Time) {
	for _, w := range s.queue.Expired(now) {
		s.refused(s.waiting[w], s.queue.ExpectedWait(s.queue.Len(), now), now)
	}
	for s.queue.Len() > 0 {
		w := s.queue.Next(1)[0]
		if !s.try(s.waiting[w], w, now) {
			return
		}
		s.queue.Dispatched(w, now)
	}
}

// served returns the share of requests that were served and of those on time, and the 95th
// percentile of the waits of those served, for the requests for which of returns true.
func served(load []*arrival, of func(*arrival) bool) (share, onTime float64, p95 time.Duration) {
	var waits []time.Duration
	n, timely := 0.0, 0.0
	for _, a := range load {
		if !of(a) {
			continue
		}
		n++
		if wait := a.start.Sub(a.at); wait >= 0 { // a refused request has no start
			waits = append(waits, wait)
			if wait+a.kind.firstEvent <= a.kind.Target {
				timely++
			}
		}
	}
	slices.Sort(waits)
	return float64(len(waits)) / n, timely / n, waits[len(waits)*95/100]
}

// work returns the servers' time in seconds for the requests for which of returns true.
func work(load []*arrival, of func(*arrival) bool) (seconds float64) {
	for _, a := range load {
		if of(a) {
			seconds += a.kind.service.Seconds()
		}
	}
	return seconds
}

func noneUsed(string) float64 { return 0 }

// crest is 30 s of both kinds in which the long kind comes at twice its rate for 12 s.
func crest(seed uint64) []*arrival {
	r := rand.New(rand.NewPCG(seed, 0))
	load := poisson(r, &shortKind, "a", 0, 30*time.Second, 0.4)
	load = append(load, poisson(r, &longKind, "a", 0, 30*time.Second, 0.45)...)
	load = append(load, poisson(r, &longKind, "a", 8*time.Second, 20*time.Second, 0.45)...)
	for _, a := range load {
		a.behaviour, a.repeats = repeatsAsTold, 1
	}
	return load
}

// Guards against long prompts that are refused in a crest although their callers would wait,
// against a queue in which all of them wait until they are late, and against short ones that
// are served later for that. Without the queue, callers repeat a refused request once. The crest brings 0.9 of the servers'
// work in long prompts for 12 s, of which they can do 0.6 beside the short ones. Long prompts
// wait for up to 3 s, so that up to 15 s of the servers' time are left for them.
func TestCrestOfLongPromptsOverShortOnes(t *testing.T) {
	is := is.New(t)
	between := func(k *kind, from, to time.Duration) func(*arrival) bool {
		return func(a *arrival) bool {
			return a.kind == k && !a.first.Before(queueStart.Add(from)) && a.first.Before(queueStart.Add(to))
		}
	}
	short := between(&shortKind, 0, 30*time.Second)
	inCrest := between(&longKind, 8*time.Second, 20*time.Second)
	for seed := range uint64(5) {
		before, with := serve(crest(seed), nil), serve(crest(seed), noneUsed)
		longBefore, longTimelyBefore, _ := served(before, inCrest)
		long, longTimely, _ := served(with, inCrest)
		shortBefore, timelyBefore, lateBefore := served(before, short)
		shortWith, timely, late := served(with, short)
		possible := (15*loadServers - work(with, between(&shortKind, 8*time.Second, 23*time.Second))) / work(with, inCrest)
		t.Logf("seed %d: long served %.3f, %.3f with the queue of %.3f possible, on time %.3f, %.3f; short served %.3f, %.3f, on time %.3f, %.3f, p95 %v, %v",
			seed, longBefore, long, possible, longTimelyBefore, longTimely, shortBefore, shortWith, timelyBefore, timely, lateBefore, late)
		is.True(long > 0.5)
		is.True(long >= min(1, possible)-0.05)
		is.True(long >= longBefore+0.1)
		is.True(longTimely >= longTimelyBefore)
		is.True(shortWith >= shortBefore-0.005)
		is.True(timely >= timelyBefore-0.005)
		is.True(late <= lateBefore+loadTick)
	}
}

// Guards against urgent requests that are sent although they are late then, and make the next
// ones late: in a crest, they bring 1.2 of the servers' work for 12 s.
func TestCrestOfShortRequests(t *testing.T) {
	is := is.New(t)
	inCrest := func(a *arrival) bool {
		return a.kind == &shortKind && a.first.After(queueStart.Add(8*time.Second)) && a.first.Before(queueStart.Add(20*time.Second))
	}
	for seed := range uint64(5) {
		load := func() []*arrival {
			r := rand.New(rand.NewPCG(seed, 0))
			load := poisson(r, &shortKind, "a", 0, 30*time.Second, 0.6)
			load = append(load, poisson(r, &shortKind, "a", 8*time.Second, 20*time.Second, 0.6)...)
			load = append(load, poisson(r, &longKind, "a", 0, 30*time.Second, 0.3)...)
			for _, a := range load {
				a.behaviour, a.repeats = repeatsAsTold, 1
			}
			return load
		}
		shareBefore, timelyBefore, lateBefore := served(serve(load(), nil), inCrest)
		share, timely, late := served(serve(load(), noneUsed), inCrest)
		t.Logf("seed %d: served %.3f, %.3f with the queue, on time %.3f, %.3f, p95 of the waits %v, %v", seed, shareBefore, share, timelyBefore, timely, lateBefore, late)
		is.True(timely >= timelyBefore)
		is.True(timely >= 0.9/1.2) // of the servers' work, nearly all is on time
	}
}

// Guards against an account that takes the capacity of the others: at 5 times its demand it
// brings a load of 0.8 of the servers to 1.2.
func TestHotAccountWaitsBehindItsOwnRequests(t *testing.T) {
	is := is.New(t)
	accounts := func(hotDemand float64) []*arrival {
		var load []*arrival
		for i := range 8 {
			r := rand.New(rand.NewPCG(uint64(i), 0))
			demand := 0.1
			if i == 0 {
				demand *= hotDemand
			}
			load = append(load, poisson(r, &longKind, strconv.Itoa(i), 0, time.Minute, demand)...)
		}
		return load
	}
	used := func(account string) float64 {
		if account == "0" {
			return 0.95
		}
		return 0.2
	}
	others := func(a *arrival) bool { return a.account != "0" }
	before, _, lateBefore := served(serve(accounts(1), used), others)
	share, _, late := served(serve(accounts(5), used), others)
	unordered, _, _ := served(serve(accounts(5), noneUsed), others)
	t.Logf("others served %.3f, %.3f with the hot account, %.3f if used shares don't count; p95 %v, %v", before, share, unordered, lateBefore, late)
	is.True(unordered < share-0.05) // the load tells the order from another
	is.True(share >= before-0.05)
	is.True(late <= longKind.Target)
}

// Guards against callers that get ahead of others by sending a refused request again at
// once, up to five times, instead of when they are told to. A third of the callers does so,
// a third returns when told, also up to five times, and a third doesn't return.
func TestCallersThatRepeatAtOnceGainNothing(t *testing.T) {
	is := is.New(t)
	shares := map[behaviour]float64{}
	for seed := range uint64(5) {
		load := poisson(rand.New(rand.NewPCG(seed, 0)), &longKind, "a", 0, time.Minute, 1.4)
		for i, a := range load {
			a.behaviour = behaviour(i % 3)
			a.repeats = 5
		}
		serve(load, noneUsed)
		for b := range behaviour(3) {
			share, _, _ := served(load, func(a *arrival) bool { return a.behaviour == b })
			shares[b] += share / 5
		}
	}
	t.Logf("served of those that repeat at once %.3f, as told %.3f, never %.3f", shares[repeatsAtOnce], shares[repeatsAsTold], shares[neverRepeats])
	is.True(shares[repeatsAtOnce] <= shares[repeatsAsTold])
	is.True(shares[neverRepeats] >= 0.5) // they aren't displaced
}
