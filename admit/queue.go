// Package admit implements admission control: the order in which an endpoint runs
// queued requests, its concurrency limit, cost prediction, load shedding and the
// retry budget.
package admit

import (
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// ErrFull is returned by Queue.Add when the queue has reached its maximum length.
var ErrFull = errors.New("queue is full")

// ReservePercent is the share of slots reserved for short requests unless
// SetReserve changes it. It is the value that the design specifies.
const ReservePercent = 25

// Item describes a request to be queued.
type Item struct {
	Account string
	// Weight is the account's weight in fair queueing; values below 1 count as 1.
	Weight int
	// Cost is the predicted service time.
	Cost time.Duration
}

// Ticket represents a request that is queued or occupies a slot.
type Ticket struct {
	Item
	// Ready is closed when the request gets a slot.
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

// Short reports whether the request may use the slots reserved for short ones.
func (t *Ticket) Short() bool { return t.short }

// flow holds the queued requests of one client account. startTag is the virtual
// start time of its next request, in seconds of predicted service time divided by
// weight. longSince is the time since which the first long request has been at the
// head.
type flow struct {
	startTag  float64
	weight    float64
	short     []*Ticket
	long      []*Ticket
	longSince time.Time
}

func (f *flow) empty() bool { return len(f.short) == 0 && len(f.long) == 0 }

// Queue shares an endpoint's slots between client accounts by start-time fair
// queueing (SFQ) over predicted cost. A long request starts with a penalty equal
// to its own weighted cost, which decreases by one second for each second that the
// request spends at the head of its account's long requests. It therefore yields
// to short requests but is not starved. Methods are safe for concurrent use and
// never block.
type Queue struct {
	mu             sync.Mutex
	maxQueued      int
	shortBelow     time.Duration
	limit          int
	reservePercent int // percent of the slots for short requests only
	virtualTime    float64
	flows          map[string]*flow
	queued         int
	running        map[*Ticket]struct{}
	runningLong    int // number of long requests in running
}

// NewQueue returns a queue of at most max waiting requests for limit slots.
// Requests with a predicted service time of at most shortBelow are short.
func NewQueue(max, limit int, shortBelow time.Duration) *Queue {
	return &Queue{maxQueued: max, limit: limit, reservePercent: ReservePercent, shortBelow: shortBelow, flows: map[string]*flow{}, running: map[*Ticket]struct{}{}}
}

// Add queues a request, which may get a slot immediately. It returns ErrFull when
// the queue has reached its maximum length.
func (q *Queue) Add(it Item) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued >= q.maxQueued {
		return nil, ErrFull
	}
	it.Weight = max(1, it.Weight)
	ready := make(chan struct{})
	t := &Ticket{Item: it, Ready: ready, ready: ready, short: it.Cost <= q.shortBelow}
	q.push(t)
	q.dispatch()
	return t, nil
}

func (q *Queue) push(t *Ticket) {
	f := q.flows[t.Account]
	if f == nil {
		f = &flow{}
		q.flows[t.Account] = f
	}
	if f.empty() {
		f.startTag = max(f.startTag, q.virtualTime)
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

// Done releases the request's slot, or removes the request from the queue if it is
// still waiting. Further calls have no effect.
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
	q.dispatch()
}

// remove removes a waiting ticket from its flow. The caller must hold mu.
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

// SetLimit changes the number of slots. Running requests keep their slots.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.dispatch()
}

// SetReserve changes the percentage of slots reserved for short requests.
func (q *Queue) SetReserve(percent int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reservePercent = percent
	q.dispatch()
}

// longSlots returns the number of slots that long requests may use. A nonzero
// reserve is at least one slot. An endpoint with a single slot has no reserve,
// because long requests could never run.
func (q *Queue) longSlots() int {
	if q.limit < 2 || q.reservePercent == 0 {
		return q.limit
	}
	return q.limit - max(1, q.limit*q.reservePercent/100)
}

// dispatch starts requests while slots are free. The caller must hold mu.
func (q *Queue) dispatch() {
	now := time.Now()
	for len(q.running) < q.limit {
		t := q.next(now)
		if t == nil {
			return
		}
		q.start(t, now)
	}
}

// next returns the waiting request with the lowest start tag, including the
// penalty of long requests, that may use a free slot. It returns nil if there is
// none, and deletes idle flows. The caller must hold mu.
func (q *Queue) next(now time.Time) *Ticket {
	var best *Ticket
	low := math.Inf(1)
	long := q.runningLong < q.longSlots()
	for account, f := range q.flows {
		if f.empty() {
			if f.startTag <= q.virtualTime {
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
			consider(f.short[0], f.startTag)
		}
		if long && len(f.long) > 0 {
			consider(f.long[0], f.startTag+f.long[0].Cost.Seconds()/f.weight-now.Sub(f.longSince).Seconds())
		}
	}
	return best
}

func (q *Queue) start(t *Ticket, now time.Time) {
	f := q.flows[t.Account]
	q.remove(t)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += t.Cost.Seconds() / f.weight
	t.state, t.started = ticketRunning, now
	q.running[t] = struct{}{}
	if !t.short {
		q.runningLong++
	}
	close(t.ready)
}

// Counts returns the number of running requests, of waiting requests and of slots.
func (q *Queue) Counts() (running, queued, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.running), q.queued, q.limit
}

// Wait predicts how long a request would wait if it were added now. Each other
// account delays it by at most the predicted cost of that account's queued
// requests, and by at most the share to which its weight entitles it in that time.
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

// ahead returns the predicted cost and the number of the waiting requests with which
// a new request competes for slots. The cost counts the other accounts' requests only
// up to their fair share; see Wait. The caller must hold mu.
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

// residual predicts the total remaining service time of the running requests that
// are short, or of those that are long. A request that exceeds its prediction is
// expected to take another quarter of the time elapsed so far. The caller must
// hold mu.
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
