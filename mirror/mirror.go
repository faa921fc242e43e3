// Package mirror keeps a local copy of a key range of the key-value service (the
// store), with the revision of each key. An older revision of a key never replaces a
// newer one, in whatever order responses arrive.
package mirror

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

const (
	// minBackoff and maxBackoff bound the time between failed reads.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// batchDelay is the pause after a poll that returned changes. Changes made
	// meanwhile come with one poll, because each call is billed.
	batchDelay = 150 * time.Millisecond
	// outageThreshold is the time without a response after which removals are
	// deferred: leases may have expired while their owners could not renew them.
	outageThreshold = 700 * time.Millisecond
	// catchUpTimeout bounds the read of the changes made during a list. Without them the
	// list is applied as it is, since peers may have newer changes.
	catchUpTimeout = 500 * time.Millisecond
	// rejoinGrace is the time that owners need to write their keys again after an
	// outage.
	rejoinGrace = 2500 * time.Millisecond
)

// Source is the part of the key-value service that a mirror reads.
type Source interface {
	// List returns the pairs under a prefix and the revision to poll from.
	List(ctx context.Context, prefix string) ([]infra.Pair, int64, error)
	// Poll returns the changes after a revision, waiting up to wait for the first
	// one, and the revision to poll from next. It returns infra.ErrCompacted when
	// the service no longer has the changes.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]infra.Event, int64, error)
	// Ping returns the service's revision, or an older one, when the service responds.
	// It must be cheap, because all processes call it repeatedly during an outage.
	Ping(ctx context.Context) (int64, error)
}

// Options are a mirror's settings.
type Options struct {
	Source Source
	// Prefix is the prefix of the copied keys; empty means all keys.
	Prefix string
	// PollWait is how long one poll waits for a change.
	PollWait time.Duration
	// UrgentPrefix is the prefix of keys that are read by themselves while the response to a
	// poll takes long; empty means none.
	UrgentPrefix string
	// DeferRemoval reports whether a key's removal right after an outage is delayed
	// until rejoinGrace has passed, so that its owner can write it again. Nil means
	// that no removal is delayed.
	DeferRemoval func(key string) bool
	// Retain reports whether a key that a restored service lacks stays in the copy, because
	// only processes of this system write it. Nil means that no key does.
	Retain func(p infra.Pair) bool
	// OnRestore is called after the copy was brought to the state of a restored service,
	// with the retained pairs that the service lacks. Nil means that nothing is called.
	OnRestore func(lost []infra.Pair)
	// Leader gives access to a process whose copy is followed instead of polling the
	// service; nil means none.
	Leader Leader
	// Fallback supplies changes while the service doesn't respond or the copy is
	// behind; nil means none.
	Fallback Fallback
	// OnChange is called after each change, in the order in which the changes were
	// applied. It may read the mirror. It must not be nil.
	OnChange func(ev infra.Event)
	Log      *zap.Logger
}

// Mirror is the local copy. It is safe for concurrent use.
type Mirror struct {
	Options

	// changeMu keeps replies from overtaking each other between the copy and OnChange. It
	// is locked before mu and held while OnChange is called.
	changeMu sync.Mutex

	mu    sync.RWMutex
	items map[string]infra.Pair
	// revision is the revision up to which the copy is complete.
	revision int64
	// directUntil is when the mirror follows the leader again after a failure; until
	// then it polls the service. Only Run uses it.
	directUntil time.Time
	// doubtful is true after a read or the leader failed, until the next read succeeds.
	// Only Run uses it.
	doubtful bool
	// respondedAt is the time of the last response of the service or the leader.
	respondedAt time.Time
	// resumedAt is the time of the first response after the last outage.
	resumedAt time.Time
	// restoredAt is when the copy learned that the service had been restored, and
	// contactBefore the time of the last response before that.
	restoredAt, contactBefore time.Time
	// gapFrom and gapUntil are the ends of the last time without responses that exceeded
	// outageThreshold.
	gapFrom, gapUntil time.Time
	// lost is true between a failed read of the service and the next response.
	lost bool
	// removed maps recently removed keys to the revisions of their removal. It may
	// miss removals up to removedFloor.
	removed      map[string]int64
	removedFloor int64
	// deferred maps the keys whose removal is delayed to that removal.
	deferred map[string]deferredRemoval
	// updated is closed and replaced when the revision advances.
	updated chan struct{}
	// peerRevision is the newest revision reported by another process. progressedAt
	// is when the copy's revision last advanced, or when the copy first fell behind
	// peerRevision if that is later.
	peerRevision int64
	progressedAt time.Time
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{Options: o, items: map[string]infra.Pair{}, removed: map[string]int64{}, deferred: map[string]deferredRemoval{}, updated: make(chan struct{})}
}

// Get returns a key's pair, and whether the copy holds the key.
func (m *Mirror) Get(key string) (infra.Pair, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.items[key]
	return p, ok
}

// position returns the revision after which the next changes are requested.
func (m *Mirror) position() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// missing returns the keys of the copy that a complete list at a revision lacks, but for
// those that are retained.
func (m *Mirror) missing(present map[string]bool, rev int64) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for key, p := range m.items {
		if !present[key] && p.Revision <= rev && !m.retained(p, infra.Era(rev)) {
			out = append(out, key)
		}
	}
	return out
}

// advance raises the copy's revision to that of a reply and wakes the callers of Since.
func (m *Mirror) advance(r reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.revision <= m.revision {
		return
	}
	if r.complete || m.revision == 0 {
		m.removedFloor = r.revision // removals of keys that the copy never held are unknown
	}
	m.revision, m.progressedAt = r.revision, time.Now()
	m.wake()
}

// wake wakes the callers of Since. The caller holds mu.
func (m *Mirror) wake() {
	close(m.updated)
	m.updated = make(chan struct{})
}

// apply applies a change unless the copy knows the same or a newer revision of the
// key. It reports whether the copy has changed. The caller holds changeMu.
func (m *Mirror) apply(ev infra.Event) bool {
	m.mu.Lock()
	_, ok := m.items[ev.Key]
	delay := m.removalDelay(ev)
	switch {
	case m.outdated(ev):
		m.mu.Unlock()
		return false
	case !ok && ev.Deleted:
		m.recordRemoval(ev) // an older revision may still arrive
		m.mu.Unlock()
		return false
	case delay > 0:
		m.deferred[ev.Key] = deferredRemoval{revision: ev.Revision, at: time.Now().Add(delay)}
		m.mu.Unlock()
		m.Log.Info("removal deferred after an outage", zap.String("key", ev.Key), zap.Int64("revision", ev.Revision), zap.Duration("delay", delay))
		m.removeLater(ev, delay)
		return false
	case ev.Deleted:
		m.deleteKey(ev)
	default:
		m.items[ev.Key] = ev.Pair
		delete(m.removed, ev.Key)
		delete(m.deferred, ev.Key)
	}
	m.mu.Unlock()
	m.OnChange(ev)
	return true
}

// outdated reports whether the copy already knows the same or a newer state of the
// change's key. The copy knows all changes up to its own revision. The caller holds mu.
func (m *Mirror) outdated(ev infra.Event) bool {
	return ev.Revision <= max(m.revision, m.items[ev.Key].Revision, m.removed[ev.Key])
}
