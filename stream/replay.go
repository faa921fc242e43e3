// Package stream numbers the parts of a response, buffers unacknowledged parts for
// replay, and delivers received parts in order without duplicates.
package stream

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Append after Close.
var ErrClosed = errors.New("stream closed")

// ErrTrimmed is returned by Since for parts that are no longer buffered.
var ErrTrimmed = errors.New("parts no longer buffered")

// Head is the status and the headers of a response.
type Head struct {
	Status  int
	Headers []Header
}

// Header is one header line of a response.
type Header struct {
	Name, Value string
}

// Part is one numbered part of a response: the head or some body bytes.
type Part struct {
	Head *Head
	Data []byte
}

// size returns the bytes that count against the limits.
func (p Part) size() int {
	n := len(p.Data)
	if p.Head != nil {
		for _, h := range p.Head.Headers {
			n += len(h.Name) + len(h.Value)
		}
	}
	return n
}

// Replay buffers the parts of a response until the reader acknowledges them.
// Parts are numbered from 1. Append blocks while a part doesn't fit the limit or
// the pool, which applies backpressure to the endpoint. An empty buffer accepts a
// part of any size. It is safe for concurrent use.
type Replay struct {
	mu          sync.Mutex
	pool        *Pool
	pooledBytes int           // bytes acquired from pool
	changed     chan struct{} // closed and replaced at each change
	limitBytes  int
	// retainAcked keeps acknowledged parts while the whole response fits the limit
	// and the pool, so that a later reader receives it from the start.
	retainAcked bool
	first       uint64 // sequence number of parts[0]
	acked       uint64
	parts       []Part
	bytes       int // size of parts, without overhead
	closed      bool
	last        uint64 // sequence number of the last part appended
	// dropUnread drops buffered parts to make room instead of waiting for a reader.
	dropUnread bool
}

// NewReplay returns an empty buffer with a limit in bytes, which shares the pool
// with other buffers. A nil pool has no limit. If retainAcked is true, acknowledged
// parts are kept while there is room.
func NewReplay(limitBytes int, retainAcked bool, pool *Pool) *Replay {
	return &Replay{limitBytes: limitBytes, retainAcked: retainAcked, pool: pool, first: 1, changed: make(chan struct{})}
}

// NewClosedReplay returns a closed buffer whose parts up to last have been trimmed.
func NewClosedReplay(last uint64) *Replay {
	return &Replay{first: last + 1, acked: last, last: last, closed: true, changed: make(chan struct{})}
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (r *Replay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Append adds a part. It blocks while the buffer or the pool is full. It returns
// ErrClosed after Close, and ctx.Err() when ctx is done first.
func (r *Replay) Append(ctx context.Context, p Part) error {
	for {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		added, poolFreed := r.add(p)
		if added {
			r.mu.Unlock()
			return nil
		}
		wait := r.changed
		r.mu.Unlock()
		select {
		case <-wait:
		case <-poolFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// add appends a part. When the pool is full it returns a channel that is closed
// when bytes of the pool are released. Before that it drops the acknowledged parts
// retained for a later reader, since nothing else would ever release them. The
// caller holds mu.
func (r *Replay) add(p Part) (added bool, poolFreed <-chan struct{}) {
	size := p.size()
	if r.bytes+size > r.limitBytes {
		r.reclaim()
	}
	if r.pooledBytes > 0 && r.bytes+size > r.limitBytes {
		return false, nil // only the reader's acknowledgement can make room
	}
	if ok, _ := r.pool.acquire(size+partOverheadBytes, r.pooledBytes == 0); !ok {
		r.reclaim()
		if ok, poolFreed = r.pool.acquire(size+partOverheadBytes, r.pooledBytes == 0); !ok {
			return false, poolFreed
		}
	}
	r.parts = append(r.parts, p)
	r.bytes += size
	r.pooledBytes += size + partOverheadBytes
	r.last++
	r.notify()
	return true, nil
}

// reclaim drops acknowledged parts, or all parts if dropUnread is set. The caller
// holds mu.
func (r *Replay) reclaim() {
	if r.dropUnread {
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
		freed += size + partOverheadBytes
		r.parts[n] = Part{}
		n++
	}
	r.first += uint64(n)
	if r.parts = r.parts[n:]; len(r.parts) == 0 {
		r.parts = nil // releases the array
	}
	r.releaseToPool(freed)
}

// releaseToPool returns n bytes to the pool. The caller holds mu.
func (r *Replay) releaseToPool(n int) {
	r.pooledBytes -= n
	r.pool.release(n)
}

// DetachPool removes a closed buffer from its pool and returns the bytes that it
// had acquired.
func (r *Replay) DetachPool() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.pooledBytes
	r.pool.release(n)
	r.pool = nil
	return n
}

// Ack records that the reader has received every part up to seq. It ignores a seq
// that was acknowledged before or has not been appended.
func (r *Replay) Ack(seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seq <= r.acked || seq > r.last {
		return
	}
	r.acked = seq
	if !r.retainAcked {
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

// View is the result of Since.
type View struct {
	Parts []Part
	// Closed is true when Last is the final part.
	Closed bool
	Last   uint64
	// Changed is closed at the next change of the buffer.
	Changed <-chan struct{}
}

// Since returns the parts from seq on: at most maxBytes of them, but at least one
// if there is any. It returns ErrTrimmed if the part seq is no longer buffered.
func (r *Replay) Since(seq uint64, maxBytes int) (View, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Closed: r.closed, Last: r.last, Changed: r.changed}
	if seq < r.first {
		return v, ErrTrimmed
	}
	i := int(seq - r.first)
	size := 0
	for ; i < len(r.parts); i++ {
		if len(v.Parts) > 0 && size+r.parts[i].size() > maxBytes {
			break
		}
		v.Parts = append(v.Parts, r.parts[i])
		size += r.parts[i].size()
	}
	return v, nil
}

// SetDropUnread sets whether Append drops buffered parts, acknowledged or not, when
// a part doesn't fit, instead of waiting for a reader. Dropped parts are lost to a
// later reader.
func (r *Replay) SetDropUnread(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnread = on
	r.notify()
}

// Discard drops every part, acknowledged or not.
func (r *Replay) Discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = r.last + 1
	r.parts = nil
	r.bytes = 0
	r.releaseToPool(r.pooledBytes)
	r.notify()
}
