package admit

import (
	"sync"
	"time"
)

// Backlog tracks the prompts that an endpoint has accepted and whose prefill is
// not finished. It models an endpoint that computes prompts one at a time,
// regardless of its number of slots. Methods are safe for concurrent use and
// never block.
type Backlog struct {
	mu      sync.Mutex
	pending []*Prefill
	// headStart is the time at which the first pending prefill started.
	headStart time.Time
}

// Prefill is the prefill of one prompt in a Backlog.
type Prefill struct {
	backlog *Backlog
	cost    time.Duration
	done    bool
	// endUnobserved is true when the end of the prefill can't be observed because
	// the response is not streamed.
	endUnobserved bool
	// Queued is true when other prefills were pending when this one was added.
	Queued bool
}

// Begin adds a prompt with its predicted prefill time. If the response is not
// streamed, the end of the prefill can't be observed and the prefill is assumed
// to be done after that time.
func (b *Backlog) Begin(cost time.Duration, streamed bool) *Prefill {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if len(b.pending) == 0 {
		b.headStart = time.Now()
	}
	p := &Prefill{backlog: b, cost: cost, endUnobserved: !streamed, Queued: len(b.pending) > 0}
	b.pending = append(b.pending, p)
	return p
}

// Done removes the prefill from the backlog, either because the first token
// arrived or because the request was abandoned. Only the first call has an
// effect.
func (p *Prefill) Done() {
	b := p.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if p.done {
		return
	}
	p.done = true
	for i := range b.pending {
		if b.pending[i] == p {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			if i == 0 {
				b.headStart = time.Now()
			}
			return
		}
	}
}

// expire removes prefills at the head of the backlog whose end can't be observed
// and whose predicted time has passed. The caller must hold mu.
func (b *Backlog) expire() {
	for len(b.pending) > 0 && b.pending[0].endUnobserved && time.Since(b.headStart) >= b.pending[0].cost {
		b.headStart = b.headStart.Add(b.pending[0].cost)
		b.pending[0].done = true
		b.pending = b.pending[1:]
	}
}

// Wait predicts the time until the endpoint has computed all pending prompts. A
// prefill that exceeds its prediction is expected to take another quarter of the
// time elapsed so far.
func (b *Backlog) Wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if len(b.pending) == 0 {
		return 0
	}
	age := time.Since(b.headStart)
	sum := max(b.pending[0].cost-age, age/4)
	for _, p := range b.pending[1:] {
		sum += p.cost
	}
	return sum
}
