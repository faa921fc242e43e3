package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/admit"
)

const (
	// turnInterval is the time between two rounds in which waiting requests try to choose an
	// endpoint. minTurnInterval is the shortest such time when responses start.
	turnInterval    = 10 * time.Millisecond
	minTurnInterval = 4 * time.Millisecond
	// turnsPerRound is the number of requests, the first ones of the queue, that may find no
	// endpoint in a round. Each costs a search over all endpoints of the service.
	turnsPerRound = 3
	// usedInterval is the time between two updates of the accounts' used shares.
	usedInterval = 100 * time.Millisecond
)

// serviceQueue holds the requests that wait for an endpoint of a service. A goroutine runs
// while there are any. Requests choose one after the other: the one whose turn it is wakes
// the next when it has chosen.
//
// Lock order: mu is taken before the locks of Gateway.QuotaUsed, and no other lock is taken
// while it is held.
type serviceQueue struct {
	// responses receives a value when a response of the service has started.
	responses chan struct{}

	mu      sync.Mutex
	queue   admit.WaitQueue
	waiters map[*admit.Waiting]*waiter
	running bool
	// turn is the request whose turn it is, nil if there is none.
	turn *waiter
	// round is the number of the present round, which began at roundAt, and failed the number
	// of requests that found no endpoint in it. shed are the classes of those that were shed.
	round   uint64
	roundAt time.Time
	failed  int
	shed    []shedClass
	// usedAt is when the used shares were last updated.
	usedAt time.Time
}

// empty reports whether no request waits.
func (q *serviceQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len() == 0
}

// mustWait reports whether an arriving request must wait behind others.
func (q *serviceQueue) mustWait(g *Gateway, w *waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.MustWait(&w.Waiting, g.quotaUsed(w.Account), now)
}

// enter adds a request to the queue unless it is refused. It returns the decision and the
// length of the queue.
func (q *serviceQueue) enter(g *Gateway, w *waiter, now time.Time) (admit.Entry, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.queue.Add(&w.Waiting, g.quotaUsed(w.Account), now)
	if e.Refused != "" {
		return e, q.queue.Len()
	}
	q.waiters[&w.Waiting] = w
	if e.Evicted != nil {
		q.end(e.Evicted, waitEvicted, now)
	}
	if !q.running {
		q.running = true
		go q.run(g)
	}
	return e, q.queue.Len()
}

// run gives requests their turns until none is left.
func (q *serviceQueue) run(g *Gateway) {
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	var minInterval time.Duration
	for q.tick(g, time.Now(), minInterval) {
		select {
		case <-ticker.C:
			minInterval = 0
		case <-q.responses:
			minInterval = minTurnInterval
		}
	}
}

// tick ends the waits that are over and begins a round, if the last one began at least
// minInterval before. It returns false if no request is left; another goroutine must then
// run for the next one.
func (q *serviceQueue) tick(g *Gateway, now time.Time, minInterval time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.Draining() {
		for _, w := range q.queue.Clear(now) {
			q.end(w, waitClosing, now)
		}
	}
	for _, w := range q.queue.Expired(now) {
		q.end(w, waitExpired, now)
	}
	if q.queue.Len() == 0 {
		q.running = false
		return false
	}
	if now.Sub(q.usedAt) >= usedInterval {
		q.usedAt = now
		q.queue.SetUsed(g.quotaUsed)
	}
	if q.turn == nil && now.Sub(q.roundAt) >= minInterval {
		q.beginRound(now)
	}
	return true
}

// beginRound begins a round. The caller holds mu.
func (q *serviceQueue) beginRound(now time.Time) {
	q.round++
	q.roundAt, q.failed, q.shed = now, 0, q.shed[:0]
	q.passTurn()
}

// passTurn gives the turn to the first request that hasn't had it in this round and is of no
// class that was shed in it, or ends the round. Requests that wait for their account's quota
// don't count among the first. The caller holds mu.
func (q *serviceQueue) passTurn() {
	q.turn = nil
	if q.failed >= turnsPerRound {
		return
	}
	first := 0
	for _, next := range q.queue.Next(admit.MaxWaiting) {
		w := q.waiters[next]
		if w.heldUntil.After(q.roundAt) {
			continue
		}
		if first++; first > turnsPerRound {
			return
		}
		if w.round == q.round || slices.Contains(q.shed, w.class()) {
			continue
		}
		w.round, q.turn = q.round, w
		w.notify()
		return
	}
}

// end ends the wait of a request that was removed from the queue. The caller holds mu.
func (q *serviceQueue) end(removed *admit.Waiting, how waitEnd, now time.Time) {
	w := q.waiters[removed]
	delete(q.waiters, removed)
	w.end = how
	w.drainedIn = q.queue.ExpectedWait(q.queue.Len(), now)
	w.notify()
	if q.turn == w {
		q.passTurn()
	}
}

// waitState returns how a request's wait has ended, "" if it still waits, and whether it is a late
// one.
func (q *serviceQueue) waitState(w *waiter) (end waitEnd, late bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.end, w.Late()
}

// sent removes a request that has chosen its endpoint. If its wait ended while it chose, it is
// sent all the same.
func (q *serviceQueue) sent(w *waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Dispatched(&w.Waiting, now)
	if w.end == "" {
		q.end(&w.Waiting, waitSent, now)
	}
	w.end = waitSent
}

// turnFailure tells why a request found no endpoint in its turn.
type turnFailure struct {
	// shed is true if the load shedder would refuse others of its class, too.
	shed bool
	// late is true if the request can't be on time any more.
	late bool
}

// failedTurn records that a request found no endpoint in its turn.
func (q *serviceQueue) failedTurn(w *waiter, f turnFailure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turn != w {
		return
	}
	q.failed++
	if f.shed {
		q.shed = append(q.shed, w.class())
	}
	if f.late {
		q.queue.SetLate(&w.Waiting)
	}
	q.passTurn()
}

// holdTurn records that a request's account had no room in its quota in the request's turn, and
// isn't expected to have any before until. Each refusal by the ledger reserves room for a later
// request, so that the request doesn't ask again before.
func (q *serviceQueue) holdTurn(w *waiter, until time.Time) {
	q.mu.Lock()
	w.heldUntil = until
	q.mu.Unlock()
	q.failedTurn(w, turnFailure{})
}

// leave removes a request that doesn't wait any longer, and returns how its wait has ended:
// as stated, unless it had ended before.
func (q *serviceQueue) leave(w *waiter, how waitEnd, now time.Time) waitEnd {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Remove(&w.Waiting, now) {
		q.end(&w.Waiting, how, now)
	}
	return w.end
}
