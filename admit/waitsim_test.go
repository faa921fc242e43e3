package admit

import (
	"math/rand/v2"
	"slices"
	"time"
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
