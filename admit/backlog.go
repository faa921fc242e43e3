package admit

import (
	"sync"
	"time"
)

// Backlog is the prefill that an endpoint has accepted and not finished. An
// endpoint computes prompts one after the other, whatever number of slots it
// has. Methods are safe for concurrent use and never block.
type Backlog struct {
	mu      sync.Mutex
	pending []*Prefill
	// progress is when the first pending prefill began.
	progress time.Time
}

// Prefill is one prompt in a backlog.
type Prefill struct {
	backlog *Backlog
	cost    time.Duration
	done    bool
	// Queued is true when others were ahead of it.
	Queued bool
}

// Begin adds a prompt with its predicted time.
func (b *Backlog) Begin(cost time.Duration) *Prefill {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.progress = time.Now()
	}
	p := &Prefill{backlog: b, cost: cost, Queued: len(b.pending) > 0}
	b.pending = append(b.pending, p)
	return p
}

// Done ends a prefill: its first token arrived or it was given up. Only the
// first call has an effect.
func (p *Prefill) Done() {
	b := p.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	for i := range b.pending {
		if b.pending[i] == p {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			if i == 0 {
				b.progress = time.Now()
			}
			return
		}
	}
}

// Wait predicts the time until the endpoint has computed all prompts it has.
// One that overran its prediction is expected to take another quarter of its
// time so far.
func (b *Backlog) Wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return 0
	}
	age := time.Since(b.progress)
	sum := max(b.pending[0].cost-age, age/4)
	for _, p := range b.pending[1:] {
		sum += p.cost
	}
	return sum
}
