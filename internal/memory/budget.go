// Package memory bounds the bytes that the buffers of many requests hold together. Each
// buffer is bounded by itself, but their number is not.
package memory

import (
	"errors"
	"sync"
	"time"
)

// ErrSpent means that a buffer must not grow, because the budget is spent and other groups
// of buffers hold less.
var ErrSpent = errors.New("buffer memory is spent")

// Budget is a number of bytes that buffers share. When they would exceed it, the group of
// buffers that holds the most yields: its largest buffer is revoked, until the others fit.
// A group is what may be at fault for its buffers, such as an endpoint. It is safe for
// concurrent use, and a nil Budget has no limit.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used are the bytes of all buffers. revoked are those of buffers whose owners have been
	// told to drop them.
	used, revoked int64
	reservations  map[*Reservation]struct{}
	// changed is closed and replaced when a buffer shrinks or is revoked.
	changed chan struct{}
}

// maxDropTime is the longest wait for the owners of revoked buffers.
const maxDropTime = time.Second

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reservations: map[*Reservation]struct{}{}, changed: make(chan struct{})}
}

// Used returns the bytes that buffers hold, including those that their owners are about to
// drop.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is the share of one buffer. Its owner reports each growth before it allocates,
// and releases the reservation when it has dropped the buffer. The owner must not use it from
// several goroutines at once.
type Reservation struct {
	budget *Budget
	group  string
	bytes  int64
	// revoke tells the owner to drop the buffer.
	revoke  func()
	revoked bool
}

// Reserve returns the reservation of an empty buffer. revoke is called when the buffer must
// yield to others. It must not block and must not use the budget; the owner
// must then drop the buffer soon.
func (b *Budget) Reserve(group string, revoke func()) *Reservation {
	return &Reservation{budget: b, group: group, revoke: revoke}
}

// Grow adds bytes to the reservation, after the buffers that had to yield have been dropped. It
// returns ErrSpent, without adding them, if the buffer has been revoked, is itself the one to
// yield, or the others are not dropped in time.
func (r *Reservation) Grow(n int64) error {
	b := r.budget
	if b == nil || n <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(r, n)
	if b.makeRoom(r) && b.waitForRoom(r) {
		return nil
	}
	b.add(r, -n)
	return ErrSpent
}

// makeRoom revokes buffers until the others fit. It returns false if r is one of them; the
// caller holds mu.
func (b *Budget) makeRoom(r *Reservation) bool {
	for !r.revoked && b.used-b.revoked > b.limit {
		victim := b.victim()
		if victim == r {
			return false
		}
		victim.revoked = true
		b.revoked += victim.bytes
		victim.revoke()
		b.notify() // the victim may itself wait for room
	}
	return !r.revoked
}

// waitForRoom waits until revoked buffers have been dropped. It returns false after
// maxDropTime, or if r is revoked meanwhile. The caller holds mu.
func (b *Budget) waitForRoom(r *Reservation) bool {
	timeout := time.NewTimer(maxDropTime)
	defer timeout.Stop()
	for b.used > b.limit {
		changed := b.changed
		b.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		}
		b.mu.Lock()
		if expired || r.revoked {
			return false
		}
	}
	return true
}

// TryGrow adds bytes to the reservation if they fit. Otherwise it returns ErrSpent; no other
// buffer yields.
func (r *Reservation) TryGrow(n int64) error {
	b := r.budget
	if b == nil || n <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return ErrSpent
	}
	b.add(r, n)
	return nil
}

// add changes the bytes of a buffer; the caller holds mu.
func (b *Budget) add(r *Reservation, n int64) {
	r.bytes += n
	b.used += n
	if r.revoked {
		b.revoked += n
	}
	if n < 0 {
		b.notify()
	}
	if r.bytes > 0 {
		b.reservations[r] = struct{}{}
	} else {
		delete(b.reservations, r)
	}
}

// notify wakes the buffers that wait for room; the caller holds mu.
func (b *Budget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// victim returns the largest buffer of the group that holds the most; the caller holds mu.
func (b *Budget) victim() *Reservation {
	held := map[string]int64{}
	largest := map[string]*Reservation{}
	var heaviest string
	for r := range b.reservations {
		if r.revoked {
			continue
		}
		held[r.group] += r.bytes
		if l := largest[r.group]; l == nil || r.bytes > l.bytes {
			largest[r.group] = r
		}
	}
	for group, n := range held {
		if heaviest == "" || n > held[heaviest] {
			heaviest = group
		}
	}
	return largest[heaviest]
}

// OnRevoke replaces the function that tells the owner to drop the buffer. It is called at once
// if the buffer has been revoked: the one before may have had no effect any more.
func (r *Reservation) OnRevoke(revoke func()) {
	if r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.revoke = revoke
	if r.revoked {
		revoke()
	}
}

// Revoked reports whether the buffer has been revoked.
func (r *Reservation) Revoked() bool {
	if r.budget == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.revoked
}

// Release empties the reservation. It may be called several times and on a nil Reservation; the
// reservation may be used again unless the buffer was revoked.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.bytes > 0 {
		r.budget.add(r, -r.bytes)
	}
}
