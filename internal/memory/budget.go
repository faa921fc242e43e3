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
	buffers       map[*Buffer]struct{}
	// changed is closed and replaced when a buffer shrinks or is revoked.
	changed chan struct{}
}

// maxDropTime is the longest wait for the owners of revoked buffers.
const maxDropTime = time.Second

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, buffers: map[*Buffer]struct{}{}, changed: make(chan struct{})}
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

// Buffer is the account of one buffer. Its owner reports each growth before it allocates,
// and releases the account when it has dropped the buffer. The owner must not use it from
// several goroutines at once.
type Buffer struct {
	budget *Budget
	group  string
	bytes  int64
	// revoke tells the owner to drop the buffer.
	revoke  func()
	revoked bool
}

// Buffer returns the account of an empty buffer. revoke is called at most once, when the
// buffer must yield to others. It must not block and must not use the budget; the owner
// must then drop the buffer soon.
func (b *Budget) Buffer(group string, revoke func()) *Buffer {
	return &Buffer{budget: b, group: group, revoke: revoke}
}

// Grow adds bytes to the account, after the buffers that had to yield have been dropped. It
// returns ErrSpent, without adding them, if the buffer has been revoked, is itself the one to
// yield, or the others are not dropped in time.
func (u *Buffer) Grow(n int64) error {
	b := u.budget
	if b == nil || n <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(u, n)
	if b.makeRoom(u) && b.waitForRoom(u) {
		return nil
	}
	b.add(u, -n)
	return ErrSpent
}

// makeRoom revokes buffers until the others fit. It returns false if u is one of them; the
// caller holds mu.
func (b *Budget) makeRoom(u *Buffer) bool {
	for !u.revoked && b.used-b.revoked > b.limit {
		victim := b.victim()
		if victim == u {
			return false
		}
		victim.revoked = true
		b.revoked += victim.bytes
		victim.revoke()
		b.notify() // the victim may itself wait for room
	}
	return !u.revoked
}

// waitForRoom waits until revoked buffers have been dropped. It returns false after
// maxDropTime, or if u is revoked meanwhile. The caller holds mu.
func (b *Budget) waitForRoom(u *Buffer) bool {
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
		if expired || u.revoked {
			return false
		}
	}
	return true
}

// TryGrow adds bytes to the account if they fit. Otherwise it returns ErrSpent; no other
// buffer yields.
func (u *Buffer) TryGrow(n int64) error {
	b := u.budget
	if b == nil || n <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return ErrSpent
	}
	b.add(u, n)
	return nil
}

// add changes the bytes of a buffer; the caller holds mu.
func (b *Budget) add(u *Buffer, n int64) {
	u.bytes += n
	b.used += n
	if u.revoked {
		b.revoked += n
	}
	if n < 0 {
		b.notify()
	}
	if u.bytes > 0 {
		b.buffers[u] = struct{}{}
	} else {
		delete(b.buffers, u)
	}
}

// notify wakes the buffers that wait for room; the caller holds mu.
func (b *Budget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// victim returns the largest buffer of the group that holds the most; the caller holds mu.
func (b *Budget) victim() *Buffer {
	held := map[string]int64{}
	largest := map[string]*Buffer{}
	var heaviest string
	for u := range b.buffers {
		if u.revoked {
			continue
		}
		held[u.group] += u.bytes
		if l := largest[u.group]; l == nil || u.bytes > l.bytes {
			largest[u.group] = u
		}
	}
	for group, n := range held {
		if heaviest == "" || n > held[heaviest] {
			heaviest = group
		}
	}
	return largest[heaviest]
}

// OnRevoke replaces the function that tells the owner to drop the buffer.
func (u *Buffer) OnRevoke(revoke func()) {
	if u.budget == nil {
		return
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.revoke = revoke
}

// Revoked reports whether the buffer has been revoked.
func (u *Buffer) Revoked() bool {
	if u.budget == nil {
		return false
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.revoked
}

// Release empties the account. It may be called several times and on a nil Buffer; the
// account may be used again unless the buffer was revoked.
func (u *Buffer) Release() {
	if u == nil || u.budget == nil {
		return
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	if u.bytes > 0 {
		u.budget.add(u, -u.bytes)
	}
}
