package mirror

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// maxRemoved bounds the removals kept for callers of Since.
const maxRemoved = 4096

// deleteKey removes a key and records the removal; the caller holds mu.
func (m *Mirror) deleteKey(ev infra.Event) {
	delete(m.items, ev.Key)
	delete(m.deferred, ev.Key)
	m.recordRemoval(ev)
}

// recordRemoval records a removal for callers of Since; the caller holds mu.
func (m *Mirror) recordRemoval(ev infra.Event) {
	if len(m.removed) >= maxRemoved {
		clear(m.removed)
		m.removedFloor = m.revision
	}
	m.removed[ev.Key] = ev.Revision
}

// Since returns the changes after a revision, waiting up to wait for the first
// one, and the copy's revision. Removals that this copy delays are among the changes:
// a caller that continues from the revision would never learn of them. complete is true
// when events holds every key of the copy, because the removals since that revision are not
// all known; keys that have not changed since are without their values. It is false before
// the copy has been filled.
func (m *Mirror) Since(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool) {
	m.mu.RLock()
	revision, changed := m.revision, m.updated
	m.mu.RUnlock()
	if revision <= after {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	complete = after <= m.removedFloor
	for _, p := range m.items {
		switch {
		case p.Revision > after:
			events = append(events, infra.Event{Pair: p})
		case complete:
			events = append(events, infra.Event{Pair: infra.Pair{Key: p.Key, Revision: p.Revision}})
		}
	}
	if complete {
		return m.appendDeferred(events, 0), m.revision, m.revision > 0
	}
	for key, rev := range m.removed {
		if rev > after {
			events = append(events, infra.Event{Pair: infra.Pair{Key: key, Revision: rev}, Deleted: true})
		}
	}
	return m.appendDeferred(events, after), m.revision, false
}

// Leader gives access to the process that polls the service on behalf of this one,
// one of the readers that package peer selects.
type Leader interface {
	// IsReader reports whether this process polls the service itself.
	IsReader() bool
	// Follow returns the changes after a revision as Since does. After an error the
	// mirror polls the service itself for directReadTime.
	Follow(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error)
}

// errLeaderBehind means that the leader's copy is older than this one and has not made
// up for it while it was asked, for example because the leader has just started.
var errLeaderBehind = errors.New("leader's copy is older than this one")

const (
	// followWait is how long one call to the leader waits for a change. It bounds
	// the time to detect a leader that has stopped.
	followWait = time.Second
	// directReadTime is how long the service is polled after the leader failed.
	directReadTime = 5 * time.Second
)

// follow applies changes from the leader. It returns false when this process must
// poll the service itself.
func (m *Mirror) follow(ctx context.Context) bool {
	if m.Leader == nil || m.Leader.IsReader() || time.Now().Before(m.directUntil) {
		return false
	}
	after, asked := m.position(), time.Now()
	events, rev, complete, err := m.Leader.Follow(ctx, after, followWait)
	if err == nil && rev < after && time.Since(asked) >= followWait {
		err = errLeaderBehind
	}
	if err != nil {
		m.directUntil = time.Now().Add(directReadTime)
		m.doubtful = true // the leader may have failed because it gets no responses itself
		m.Log.Info("leader lost, reading the store", zap.Int64("revision", after), zap.Error(err))
		return false
	}
	m.noteResponse()
	m.applyChanges(reply{source: fromLeader, events: events, revision: rev, complete: complete})
	return true
}

// Lost reports whether a read of the service has failed since the last response of
// the service or the leader.
func (m *Mirror) Lost() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lost
}

// Revision returns the revision of the copy.
func (m *Mirror) Revision() int64 { return m.position() }

// IsLive reports whether changes that are applied now were made just before. It is false while
// the first list is applied, during an outage of the store, and until rejoinGrace after it.
func (m *Mirror) IsLive() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision > 0 && !m.lost && time.Since(m.resumedAt) > rejoinGrace
}

// Fallback supplies changes from another process's copy while the service doesn't
// respond, or responds without the newest changes.
type Fallback interface {
	// Changes returns the changes after a revision as Since does.
	Changes(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error)
}

const (
	// fallbackWait is how long one call to the fallback waits for a change.
	fallbackWait = time.Second
	// behindThreshold is how long the copy may be older than another process's
	// without progress. Changes are delayed by batchDelay and then pass a leader, so
	// a shorter time would request changes from peers that are about to arrive.
	behindThreshold = 600 * time.Millisecond
)

// NotePeerRevision records the revision of another process's copy. It reveals that
// the service doesn't respond to a poll long before that poll times out.
func (m *Mirror) NotePeerRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.peerRevision {
		return
	}
	if m.peerRevision <= m.revision {
		m.progressedAt = time.Now()
	}
	m.peerRevision = revision
}

// behind reports whether the copy has been older than another process's for
// behindThreshold without progress.
func (m *Mirror) behind() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.peerRevision > m.revision && time.Since(m.progressedAt) > behindThreshold
}

// runFallback applies changes from the fallback while the service is lost or the
// copy is behind, until ctx ends.
func (m *Mirror) runFallback(ctx context.Context) {
	wasBehind := false
	for ctx.Err() == nil {
		behind := m.behind()
		if behind && !wasBehind {
			m.Log.Warn("copy is behind, asking peers", zap.String("prefix", m.Prefix), zap.Int64("revision", m.position()))
		}
		wasBehind = behind
		if !behind && !m.Lost() {
			wait.Sleep(ctx, minBackoff)
			continue
		}
		after := m.position()
		events, rev, complete, err := m.Fallback.Changes(ctx, after, fallbackWait)
		if err != nil || rev < after {
			wait.Sleep(ctx, maxBackoff/2) // peers may fail too; Run still polls the service
			continue
		}
		m.applyChanges(reply{source: fromPeer, events: events, revision: rev, complete: complete})
	}
}
