// Package admit decides which request an endpoint runs next, how many it runs
// at once, what a request will cost and how much repeated work is allowed.
package admit

import (
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// ErrFull is returned by Queue.Add when the queue holds its maximum length.
var ErrFull = errors.New("queue is full")

// ReservePercent is the share of slots reserved for short requests unless
// SetReserve changes it; source: the design.
const ReservePercent = 25

// Item is what the queue knows of a request.
type Item struct {
	Account string
	// Weight is the account's share; values below 1 count as 1.
	Weight int
	// Cost is the predicted service time.
	Cost time.Duration
}

// Ticket is a request in the queue or in a slot.
type Ticket struct {
	Item
	// Ready closes when the request has a slot.
	Ready <-chan struct{}

	ready   chan struct{}
	short   bool
	started time.Time
	state   ticketState
}

type ticketState int

const (
	ticketQueued ticketState = iota
	ticketRunning
	ticketDone
)

// Short says whether the request may use the slots reserved for short ones.
func (t *Ticket) Short() bool { return t.short }

// flow is the queued work of one account. tag is the virtual start time of its
// next request, in seconds of predicted service time divided by weight.
type flow struct {
	tag       float64
	weight    float64
	short     []*Ticket
	long      []*Ticket
	longSince time.Time
}

func (f *flow) empty() bool { return len(f.short) == 0 && len(f.long) == 0 }

// Queue shares an endpoint's slots between client accounts by start-time fair
// queueing over predicted cost. A long request starts with a handicap of its
// own cost, which the time spent at the head of its account's long requests
// cancels second by second; so it yields to short ones but can't starve.
// Methods are safe for concurrent use and never block.
type Queue struct {
	mu          sync.Mutex
	max         int
	shortBelow  time.Duration
	limit       int
	reserve     int // percent of the slots for short requests only
	virtual     float64
	flows       map[string]*flow
	queued      int
	running     map[*Ticket]struct{}
	runningLong int
}

// NewQueue returns a queue of at most max waiting requests in front of limit
// slots. Requests predicted to take at most shortBelow are short.
func NewQueue(max, limit int, shortBelow time.Duration) *Queue {
	return &Queue{max: max, limit: limit, reserve: ReservePercent, shortBelow: shortBelow, flows: map[string]*flow{}, running: map[*Ticket]struct{}{}}
}

// Add queues a request, which may get a slot at once. It returns ErrFull when
// no slot is free and the queue has its maximum length.
func (q *Queue) Add(it Item) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued >= q.max {
		return nil, ErrFull
	}
	it.Weight = max(1, it.Weight)
	ready := make(chan struct{})
	t := &Ticket{Item: it, Ready: ready, ready: ready, short: it.Cost <= q.shortBelow}
	q.push(t)
	q.fill()
	return t, nil
}

func (q *Queue) push(t *Ticket) {
	f := q.flows[t.Account]
	if f == nil {
		f = &flow{}
		q.flows[t.Account] = f
	}
	if f.empty() {
		f.tag = max(f.tag, q.virtual)
	}
	f.weight = float64(t.Weight)
	if t.short {
		f.short = append(f.short, t)
	} else {
		if len(f.long) == 0 {
			f.longSince = time.Now()
		}
		f.long = append(f.long, t)
	}
	q.queued++
}

// Done gives the request's slot back, or removes the request when it still waits.
func (q *Queue) Done(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch t.state {
	case ticketQueued:
		q.remove(t)
	case ticketRunning:
		delete(q.running, t)
		if !t.short {
			q.runningLong--
		}
	}
	t.state = ticketDone
	q.fill()
}

// remove takes a waiting ticket out of its flow; the caller holds mu.
func (q *Queue) remove(t *Ticket) {
	f := q.flows[t.Account]
	list := &f.long
	if t.short {
		list = &f.short
	}
	i := slices.Index(*list, t)
	*list = slices.Delete(*list, i, i+1)
	if !t.short && i == 0 {
		f.longSince = time.Now()
	}
	q.queued--
}

// SetLimit changes the number of slots. Running requests keep theirs.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.fill()
}

// SetReserve changes the share of the slots that serve short requests only.
func (q *Queue) SetReserve(percent int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserve = percent
	q.fill()
}

// longSlots is the number of slots long requests may use. A reserve is at least
// one slot; an endpoint with a single slot has none, or long requests could
// never run.
func (q *Queue) longSlots() int {
	if q.limit < 2 || q.reserve == 0 {
		return q.limit
	}
	return q.limit - max(1, q.limit*q.reserve/100)
}

// fill starts requests while slots are free; the caller holds mu.
func (q *Queue) fill() {
	now := time.Now()
	for len(q.running) < q.limit {
		t := q.next(now)
		if t == nil {
			return
		}
		q.start(t, now)
	}
}

// next returns the waiting request with the lowest key that may use a free slot.
func (q *Queue) next(now time.Time) *Ticket {
	var best *Ticket
	low := math.Inf(1)
	long := q.runningLong < q.longSlots()
	for account, f := range q.flows {
		if f.empty() {
			if f.tag <= q.virtual {
				delete(q.flows, account)
			}
			continue
		}
		consider := func(t *Ticket, key float64) {
			if key < low || key == low && best != nil && t.Account < best.Account {
				best, low = t, key
			}
		}
		if len(f.short) > 0 {
			consider(f.short[0], f.tag)
		}
		if long && len(f.long) > 0 {
			consider(f.long[0], f.tag+f.long[0].Cost.Seconds()/f.weight-now.Sub(f.longSince).Seconds())
		}
	}
	return best
}

func (q *Queue) start(t *Ticket, now time.Time) {
	f := q.flows[t.Account]
	q.remove(t)
	q.virtual = max(q.virtual, f.tag)
	f.tag += t.Cost.Seconds() / f.weight
	t.state, t.started = ticketRunning, now
	q.running[t] = struct{}{}
	if !t.short {
		q.runningLong++
	}
	close(t.ready)
}

// Counts returns the numbers of running and waiting requests and of slots.
func (q *Queue) Counts() (running, queued, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.running), q.queued, q.limit
}

// Wait predicts how long a request would wait if it were added now. Another
// account delays it by at most that account's backlog and by at most what its
// weight entitles it to meanwhile.
func (q *Queue) Wait(it Item) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	short := it.Cost <= q.shortBelow
	slots := q.longSlots()
	if short {
		slots = q.limit - q.runningLong
	}
	slots = max(1, slots)
	free := min(q.limit-len(q.running), slots)
	if !short {
		free = min(free, slots-q.runningLong)
	}
	ahead, waiting := q.ahead(it, short)
	if free > waiting {
		return 0
	}
	return (ahead + q.residual(short)) / time.Duration(slots)
}

// ahead returns the predicted cost and the number of waiting requests that
// compete with the item for slots.
func (q *Queue) ahead(it Item, short bool) (cost time.Duration, n int) {
	var own time.Duration
	others := map[*flow]time.Duration{}
	for account, f := range q.flows {
		list := f.long
		if short {
			list = f.short
		}
		var sum time.Duration
		for _, t := range list {
			sum += t.Cost
		}
		n += len(list)
		if account == it.Account {
			own = sum
		} else {
			others[f] = sum
		}
	}
	cost = own
	for f, sum := range others {
		share := time.Duration(float64(own+it.Cost) * f.weight / float64(max(1, it.Weight)))
		cost += min(sum, share)
	}
	return cost, n
}

// residual predicts the remaining service time of running requests. One that
// overran its prediction is expected to take another quarter of its time so far.
func (q *Queue) residual(short bool) time.Duration {
	now := time.Now()
	var sum time.Duration
	for t := range q.running {
		if t.short != short {
			continue
		}
		age := now.Sub(t.started)
		sum += max(t.Cost-age, age/4)
	}
	return sum
}
