package stream

import "sync"

// partOverhead is the memory of a part beside its bytes: its place in the
// buffer's slice and the rounding of its allocation.
const partOverhead = 64

// Pool bounds the bytes that several replay buffers hold together. A buffer
// that holds nothing may always add one part, so that every stream advances
// while others fill the pool.
type Pool struct {
	mu      sync.Mutex
	limit   int
	used    int
	changed chan struct{}
	waiting bool
}

// NewPool returns an empty pool with a limit in bytes.
func NewPool(limit int) *Pool { return &Pool{limit: limit, changed: make(chan struct{})} }

// Used returns the bytes held.
func (p *Pool) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// take adds n bytes when they fit or force is set. Otherwise it returns a
// channel that closes when bytes are given back.
func (p *Pool) take(n int, force bool) (ok bool, wait <-chan struct{}) {
	if p == nil {
		return true, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !force && p.used+n > p.limit {
		p.waiting = true
		return false, p.changed
	}
	p.used += n
	return true, nil
}

// give returns n bytes and wakes the buffers that wait.
func (p *Pool) give(n int) {
	if p == nil || n == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= n
	if p.waiting {
		p.waiting = false
		close(p.changed)
		p.changed = make(chan struct{})
	}
}
