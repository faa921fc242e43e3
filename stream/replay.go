// Package stream numbers the parts of a response, keeps unacknowledged parts
// for replay and puts received parts back in order.
package stream

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Append after Close.
var ErrClosed = errors.New("stream closed")

// ErrTrimmed is returned by Since for parts that are no longer kept.
var ErrTrimmed = errors.New("parts no longer kept")

// Head is the status and the headers of a response.
type Head struct {
	Status  int
	Headers []Header
}

// Header is one header line of a response.
type Header struct {
	Name, Value string
}

// Part is one numbered piece of a response: the head or some body bytes.
type Part struct {
	Head *Head
	Data []byte
}

func (p Part) size() int {
	n := len(p.Data)
	if p.Head != nil {
		for _, h := range p.Head.Headers {
			n += len(h.Name) + len(h.Value)
		}
	}
	return n
}

// Replay keeps the parts of a response until the reader acknowledges them.
// Parts are numbered from 1. Append blocks while a part doesn't fit the limit
// or the pool, which stops reading from the endpoint. An empty buffer takes any
// part.
type Replay struct {
	mu      sync.Mutex
	pool    *Pool
	pooled  int // bytes taken from pool
	changed chan struct{}
	limit   int
	// keep holds on to acknowledged parts while the whole response fits the
	// limit, so that a later reader gets it from the start.
	keep   bool
	first  uint64 // sequence number of parts[0]
	acked  uint64
	parts  []Part
	bytes  int
	closed bool
	last   uint64
	// abandoned drops parts that no longer fit in place of waiting for a reader.
	abandoned bool
}

// NewReplay returns an empty buffer with a limit in bytes, which shares the
// pool with others. A nil pool has no limit.
func NewReplay(limit int, keep bool, pool *Pool) *Replay {
	return &Replay{limit: limit, keep: keep, pool: pool, first: 1, changed: make(chan struct{})}
}

// NewEnded returns a closed buffer whose parts up to last are no longer kept.
func NewClosedReplay(last uint64) *Replay {
	return &Replay{first: last + 1, acked: last, last: last, closed: true, changed: make(chan struct{})}
}

func (r *Replay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Append adds a part. It blocks while the buffer is full and returns the
// context's error when that ends first.
func (r *Replay) Append(ctx context.Context, p Part) error {
	for {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		added, full := r.add(p)
		if added {
			r.mu.Unlock()
			return nil
		}
		wait := r.changed
		r.mu.Unlock()
		select {
		case <-wait:
		case <-full:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// add appends a part. When the pool is full it returns a channel that closes
// when the pool has room. Parts kept for a later reader go first: nobody else
// would ever release them. The caller holds mu.
func (r *Replay) add(p Part) (added bool, full <-chan struct{}) {
	size := p.size()
	if r.bytes+size > r.limit {
		r.yield()
	}
	if r.pooled > 0 && r.bytes+size > r.limit {
		return false, nil // only the reader can make room
	}
	if ok, _ := r.pool.take(size+partOverhead, r.pooled == 0); !ok {
		r.yield()
		if ok, full = r.pool.take(size+partOverhead, r.pooled == 0); !ok {
			return false, full
		}
	}
	r.parts = append(r.parts, p)
	r.bytes += size
	r.pooled += size + partOverhead
	r.last++
	r.notify()
	return true, nil
}

// yield drops what the reader has, or everything when there is none. The
// caller holds mu.
func (r *Replay) yield() {
	if r.abandoned {
		r.acked = r.last
	}
	r.trim()
}

// trim drops acknowledged parts. The caller holds mu.
func (r *Replay) trim() {
	n, freed := 0, 0
	for n < len(r.parts) && r.first+uint64(n) <= r.acked {
		size := r.parts[n].size()
		r.bytes -= size
		freed += size + partOverhead
		r.parts[n] = Part{}
		n++
	}
	r.first += uint64(n)
	if r.parts = r.parts[n:]; len(r.parts) == 0 {
		r.parts = nil // releases the array
	}
	r.release(freed)
}

// release gives bytes back to the pool. The caller holds mu.
func (r *Replay) release(n int) {
	r.pooled -= n
	r.pool.give(n)
}

// Leave takes a closed buffer out of its pool and returns the bytes it holds.
func (r *Replay) DetachPool() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.pooled
	r.pool.give(n)
	r.pool = nil
	return n
}

// Ack records that the reader has every part up to seq.
func (r *Replay) Ack(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seq <= r.acked || seq > r.last {
		return
	}
	r.acked = seq
	if !r.keep {
		r.trim()
	}
	r.notify()
}

// Acked returns the last acknowledged sequence number.
func (r *Replay) Acked() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acked
}

// Close marks the response as complete; no part follows.
func (r *Replay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.notify()
	}
}

// View is what Since returns.
type View struct {
	Parts []Part
	// Closed is true when Last is the final part.
	Closed bool
	Last   uint64
	// Changed closes at the next append, acknowledgement or close.
	Changed <-chan struct{}
}

// Since returns the parts from seq on, at most max bytes of them but at least
// one when there is one.
func (r *Replay) Since(seq uint64, max int) (View, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Closed: r.closed, Last: r.last, Changed: r.changed}
	if seq < r.first {
		return v, ErrTrimmed
	}
	i := int(seq - r.first)
	size := 0
	for ; i < len(r.parts); i++ {
		if len(v.Parts) > 0 && size+r.parts[i].size() > max {
			break
		}
		v.Parts = append(v.Parts, r.parts[i])
		size += r.parts[i].size()
	}
	return v, nil
}

// Abandon says whether the response is to be read on without any reader. Parts
// that do not fit the limit are then lost to a later reader.
func (r *Replay) SetDropUnread(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = on
	r.notify()
}

// Discard drops every part, acknowledged or not.
func (r *Replay) Discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = r.last + 1
	r.parts = nil
	r.bytes = 0
	r.release(r.pooled)
	r.notify()
}
