package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// maxRemoved bounds the removals that are remembered for others.
const maxRemoved = 4096

// forget removes a key; the caller holds mu.
func (m *Mirror) forget(ev infra.Event) {
	delete(m.items, ev.Key)
	if len(m.removed) >= maxRemoved {
		clear(m.removed)
		m.floor = m.revision
	}
	m.removed[ev.Key] = ev.Revision
}

// Since returns the changes after a revision, waiting for the first one up to
// wait. complete is true when events holds every key: the removals since that
// revision are not all known.
func (m *Mirror) Since(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool) {
	m.mu.RLock()
	revision, changed := m.revision, m.changed
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
	complete = after <= m.floor
	for _, p := range m.items {
		if complete || p.Revision > after {
			events = append(events, infra.Event{Pair: p})
		}
	}
	if complete {
		return events, m.revision, m.revision > 0
	}
	for key, rev := range m.removed {
		if rev > after {
			events = append(events, infra.Event{Pair: infra.Pair{Key: key, Revision: rev}, Deleted: true})
		}
	}
	return events, m.revision, false
}

// Leader is another process that reads the service for this one.
type Leader interface {
	// Reads reports whether this process reads the service itself.
	IsReader() bool
	// Follow returns the changes after a revision as Since does. An error means
	// that the leader can't be relied on.
	Follow(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error)
}

const (
	// followWait bounds one call to the leader, and with it the time in which a
	// leader that has stopped shows.
	followWait = time.Second
	// aloneTime is how long the service is read after the leader failed.
	aloneTime = 5 * time.Second
)

// follow takes changes from the leader. It returns false when this process
// reads the service itself.
func (m *Mirror) follow(ctx context.Context) bool {
	if m.Leader == nil || m.Leader.IsReader() || time.Now().Before(m.alone) {
		return false
	}
	after := m.position()
	events, rev, complete, err := m.Leader.Follow(ctx, after, followWait)
	if err != nil {
		m.alone = time.Now().Add(aloneTime)
		m.Log.Info("leader lost, reading the store", zap.Int64("revision", after), zap.Error(err))
		return false
	}
	m.heard()
	m.take(events, rev, complete)
	return true
}

// Lost reports whether the service doesn't answer now.
func (m *Mirror) Lost() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lost
}

// Revision returns the revision of the copy.
func (m *Mirror) Revision() int64 { return m.position() }

// Fallback hands on another process's copy while the service doesn't answer, or
// answers without the newest changes.
type Fallback interface {
	// Changes returns the changes after a revision as Since does.
	Changes(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error)
}

const (
	// fallbackWait bounds one call to the fallback.
	fallbackWait = time.Second
	// behindTime is how long the copy may be older than another process's without
	// progress. Changes gather for gatherTime and then pass a leader, so that a
	// shorter time would ask peers for what is on its way.
	behindTime = 600 * time.Millisecond
)

// Hint takes the revision of another process's copy. A poll that the service
// leaves without an answer shows by it long before the poll ends.
func (m *Mirror) NotePeerRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.hinted {
		return
	}
	if m.hinted <= m.revision {
		m.progressed = time.Now()
	}
	m.hinted = revision
}

// behind reports whether the copy has been older than another process's for
// behindTime without progress.
func (m *Mirror) behind() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.hinted > m.revision && time.Since(m.progressed) > behindTime
}

// borrow takes changes from the fallback while the service is lost or the copy
// is behind, until ctx ends.
func (m *Mirror) borrow(ctx context.Context) {
	late := false
	for ctx.Err() == nil {
		behind := m.behind()
		if behind && !late {
			m.Log.Warn("copy is behind, asking peers", zap.String("prefix", m.Prefix), zap.Int64("revision", m.position()))
		}
		late = behind
		if !behind && !m.Lost() {
			wait.Sleep(ctx, minBackoff)
			continue
		}
		after := m.position()
		events, rev, complete, err := m.Fallback.Changes(ctx, after, fallbackWait)
		if err != nil || rev < after {
			wait.Sleep(ctx, maxBackoff/2) // peers may be lost too; the service is still asked
			continue
		}
		m.take(events, rev, complete)
	}
}

// take applies changes.
func (m *Mirror) take(events []infra.Event, rev int64, complete bool) {
	present := make(map[string]bool, len(events))
	for _, ev := range events {
		present[ev.Key] = true
		m.apply(ev)
	}
	if complete {
		for _, key := range m.missing(present, rev) {
			m.apply(infra.Event{Pair: infra.Pair{Key: key, Revision: rev}, Deleted: true})
		}
	}
	m.advance(rev)
}
