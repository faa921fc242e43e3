package mirror

import (
	"time"

	"github.com/citrontiller/citrontiller/infra"
)

// deferredRemoval is a removal that is delayed, so that the key's owner can write the
// key again.
type deferredRemoval struct {
	// revision is that of the removal.
	revision int64
	// at is when the key is removed.
	at time.Time
}

// removalDelay returns how long a change is delayed, 0 or less for none. Only removals
// are. The caller holds mu.
func (m *Mirror) removalDelay(ev infra.Event) time.Duration {
	if !ev.Deleted || m.DeferRemoval == nil || !m.DeferRemoval(ev.Key) {
		return 0
	}
	if m.resumedAt.IsZero() {
		return ev.RemoveIn
	}
	return max(ev.RemoveIn, time.Until(m.resumedAt.Add(rejoinGrace)))
}

// removeLater removes a key after a delay, unless it was written again.
func (m *Mirror) removeLater(ev infra.Event, delay time.Duration) {
	time.AfterFunc(delay, func() {
		m.changeMu.Lock()
		defer m.changeMu.Unlock()
		m.mu.Lock()
		p, ok := m.items[ev.Key]
		gone := ok && p.Revision < ev.Revision
		if gone {
			m.deleteKey(ev)
		}
		m.mu.Unlock()
		if gone {
			m.OnChange(ev)
		}
	})
}

// appendDeferred appends the delayed removals after a revision; the caller holds mu.
func (m *Mirror) appendDeferred(events []infra.Event, after int64) []infra.Event {
	for key, d := range m.deferred {
		if d.revision > after {
			ev := infra.Event{Pair: infra.Pair{Key: key, Revision: d.revision}, Deleted: true, RemoveIn: max(0, time.Until(d.at))}
			events = append(events, ev)
		}
	}
	return events
}
