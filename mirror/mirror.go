// Package mirror keeps a local copy of a key range of the key-value service,
// with the revision of each key. State never goes back: an older revision of a
// key never replaces a newer one, whatever order answers arrive in.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// minBackoff and maxBackoff bound the time between failed reads.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// gatherTime is the time in which changes gather after a poll that returned
	// some, since each call is paid.
	gatherTime = 150 * time.Millisecond
	// outage is the time without an answer after which removals are deferred:
	// leases may have lapsed while their owners could not renew them.
	outage = 700 * time.Millisecond
	// rejoinTime is how long owners need to write their keys again after an outage.
	rejoinTime = 2500 * time.Millisecond
)

// Source is the part of the key-value service that a mirror reads.
type Source interface {
	// List returns the pairs under a prefix and a revision from which Poll goes on.
	List(ctx context.Context, prefix string) ([]infra.Pair, int64, error)
	// Poll returns the changes after a revision, waiting for the first one up to
	// wait, and the revision to go on from. It returns infra.ErrCompacted when
	// the service no longer has them.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]infra.Event, int64, error)
}

// Options are a mirror's settings.
type Options struct {
	Source Source
	// Prefix is the key range; "" is all keys.
	Prefix string
	// Wait bounds one poll without changes.
	PollWait time.Duration
	// Deferred reports whether a key's removal right after an outage waits until
	// its owner had time to write it again. Nil defers none.
	DeferRemoval func(key string) bool
	// Leader is followed instead of the service while it is able; nil means none.
	Leader Leader
	// Fallback is asked while the service doesn't answer; nil means none.
	Fallback Fallback
	// Changed is called after each change, without a lock held.
	OnChange func(ev infra.Event)
	Log      *zap.Logger
}

// Mirror is the local copy. It is safe for concurrent use.
type Mirror struct {
	Options

	mu       sync.RWMutex
	items    map[string]infra.Pair
	revision int64
	// alone is until when the service is read although there is a leader.
	alone    time.Time
	answered time.Time
	resumed  time.Time
	lost     bool
	// removed holds the revisions at which keys were removed lately. Changes up to
	// floor may be missing in it.
	removed map[string]int64
	floor   int64
	// changed is closed and replaced when the copy changes.
	changed chan struct{}
	// hinted is the newest revision that another process has told of, and
	// progressed is when the copy last caught up with it or came nearer.
	hinted     int64
	progressed time.Time
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	return &Mirror{Options: o, items: map[string]infra.Pair{}, removed: map[string]int64{}, changed: make(chan struct{})}
}

// Get returns a key's pair.
func (m *Mirror) Get(key string) (infra.Pair, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.items[key]
	return p, ok
}

// position returns the revision from which changes are wanted.
func (m *Mirror) position() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.Fallback != nil {
		go m.borrow(ctx)
	}
	backoff := minBackoff
	listed := false
	for ctx.Err() == nil {
		if listed && m.follow(ctx) {
			continue
		}
		var err error
		if listed {
			err = m.poll(ctx)
		} else if err = m.list(ctx); err == nil {
			listed = true
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, infra.ErrCompacted) {
			m.Log.Info("store history is gone, reading anew", zap.String("prefix", m.Prefix), zap.Int64("revision", m.position()))
			listed = false
			continue
		}
		m.failed(err)
		wait.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// failed logs the first error after an answer.
func (m *Mirror) failed(err error) {
	m.mu.Lock()
	first := !m.lost
	m.lost = true
	rev := m.revision
	m.mu.Unlock()
	if first {
		m.Log.Warn("store lost", zap.String("prefix", m.Prefix), zap.Int64("revision", rev), zap.Error(err))
	}
}

// heard notes an answer, and the end of an outage.
func (m *Mirror) heard() {
	now := time.Now()
	m.mu.Lock()
	gap := now.Sub(m.answered)
	lost := m.lost
	if lost && !m.answered.IsZero() && gap > outage {
		m.resumed = now
	}
	m.answered, m.lost = now, false
	rev := m.revision
	m.mu.Unlock()
	if lost {
		m.Log.Info("store regained", zap.String("prefix", m.Prefix), zap.Int64("revision", rev), zap.Duration("gap", gap))
	}
}

func (m *Mirror) list(ctx context.Context) error {
	pairs, rev, err := m.Source.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.heard()
	events := make([]infra.Event, 0, len(pairs))
	for _, p := range pairs {
		events = append(events, infra.Event{Pair: p})
	}
	m.take(events, rev, true)
	return nil
}

// missing returns the keys that a list at a revision no longer has.
func (m *Mirror) missing(present map[string]bool, rev int64) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for key, p := range m.items {
		if !present[key] && p.Revision <= rev {
			out = append(out, key)
		}
	}
	return out
}

func (m *Mirror) poll(ctx context.Context) error {
	events, rev, err := m.Source.Poll(ctx, m.Prefix, m.position(), m.PollWait)
	if err != nil {
		return err
	}
	m.heard()
	m.take(events, rev, false)
	if len(events) > 0 {
		wait.Sleep(ctx, gatherTime)
	}
	return nil
}

func (m *Mirror) advance(rev int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev <= m.revision {
		return
	}
	if m.revision == 0 {
		m.floor = rev // what was removed before is not known
	}
	m.revision, m.progressed = rev, time.Now()
	close(m.changed)
	m.changed = make(chan struct{})
}

// apply takes a change, unless the copy knows a newer one.
func (m *Mirror) apply(ev infra.Event) {
	m.mu.Lock()
	old, ok := m.items[ev.Key]
	switch {
	case ok && old.Revision >= ev.Revision, !ok && ev.Deleted:
		m.mu.Unlock()
		return
	case ev.Deleted && m.deferred(ev.Key):
		m.mu.Unlock()
		m.Log.Info("removal deferred after an outage", zap.String("key", ev.Key), zap.Int64("revision", ev.Revision))
		m.remove(ev)
		return
	case ev.Deleted:
		m.forget(ev)
	default:
		m.items[ev.Key] = ev.Pair
		delete(m.removed, ev.Key)
	}
	m.mu.Unlock()
	m.OnChange(ev)
}

// deferred reports whether a removal waits; the caller holds mu.
func (m *Mirror) deferred(key string) bool {
	return m.DeferRemoval != nil && m.DeferRemoval(key) && !m.resumed.IsZero() && time.Since(m.resumed) < rejoinTime
}

// remove removes a key when its owner's time to write it again is over.
func (m *Mirror) remove(ev infra.Event) {
	m.mu.RLock()
	wait := time.Until(m.resumed.Add(rejoinTime))
	m.mu.RUnlock()
	time.AfterFunc(wait, func() {
		m.mu.Lock()
		p, ok := m.items[ev.Key]
		gone := ok && p.Revision < ev.Revision
		if gone {
			m.forget(ev)
		}
		m.mu.Unlock()
		if gone {
			m.OnChange(ev)
		}
	})
}
