package stream

import "sync"

// partOverheadBytes is the memory of a part in addition to its data: its element of
// the buffer's slice and the rounding of its allocation.
const partOverheadBytes = 64

// Pool bounds the total bytes of several replay buffers. A buffer that holds
// nothing may always add one part, so that every stream makes progress while others
// fill the pool. It is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	limitBytes int
	usedBytes  int
	// changed is closed and replaced when bytes are released while a buffer waits.
	changed chan struct{}
	// waiting is set while a buffer waits for changed.
	waiting bool
}

// NewPool returns an empty pool with a limit in bytes.
func NewPool(limitBytes int) *Pool {
	return &Pool{limitBytes: limitBytes, changed: make(chan struct{})}
}

// Used returns the bytes in use.
func (p *Pool) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedBytes
}

// acquire reserves n bytes if they fit or force is set. Otherwise it returns a
// channel that is closed when bytes are released. A nil pool has no limit.
func (p *Pool) acquire(n int, force bool) (ok bool, wait <-chan struct{}) {
	if p == nil {
		return true, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !force && p.usedBytes+n > p.limitBytes {
		p.waiting = true
		return false, p.changed
	}
	p.usedBytes += n
	return true, nil
}

// release releases n bytes and wakes the waiting buffers.
func (p *Pool) release(n int) {
	if p == nil || n == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedBytes -= n
	if p.waiting {
		p.waiting = false
		close(p.changed)
		p.changed = make(chan struct{})
	}
}
