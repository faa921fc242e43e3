package gatewayd

import (
	"sync"
	"time"
)

// othersMayTryAfter is the time for which a lock must have been free before gateways
// other than the first ones of their regions try to acquire it.
const othersMayTryAfter = 2 * time.Second

// settleTime is the age of a process from which it knows the other gateways. Until
// then each of a fleet that starts appears to be the first.
const settleTime = time.Second

// lockTurn decides when a gateway tries to acquire a lock. If all tried at once, each
// loss of the holder and each restart of the fleet would cause several calls to the
// store by every gateway, and all but one in vain.
type lockTurn struct {
	startedAt time.Time

	mu sync.Mutex
	// freeSince is when the lock was first seen free, zero while it is held.
	freeSince time.Time
}

// mayTry records whether the lock is held and reports whether this gateway may try to
// acquire it. first is true for the first gateways of their regions.
func (l *lockTurn) mayTry(held, first bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held:
		l.freeSince = time.Time{}
		return false
	case l.freeSince.IsZero():
		l.freeSince = now
	}
	return first && now.Sub(l.startedAt) >= settleTime || now.Sub(l.freeSince) >= othersMayTryAfter
}
