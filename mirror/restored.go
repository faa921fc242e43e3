package mirror

import (
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// noteEra reports whether a reply is the first of a service that was restored from an older
// copy since the last reply. Owners of keys then need rejoinGrace to write them
// again, as after an outage.
func (m *Mirror) noteEra(r reply) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.revision
	if before == 0 || infra.Era(r.revision) <= infra.Era(before) {
		return false
	}
	m.resumedAt = time.Now()
	m.restoredAt = m.resumedAt
	m.contactBefore = m.lastContactBefore(m.resumedAt)
	m.Log.Warn("store restored from an older copy", zap.String("source", string(r.source)), zap.Int64("from", before), zap.Int64("revision", r.revision))
	return true
}

// lastContactBefore returns the time of the last response before a restore that is noticed
// now. Responses may have come between the end of the outage and the notice. The caller
// holds mu.
func (m *Mirror) lastContactBefore(now time.Time) time.Time {
	if now.Sub(m.gapUntil) < catchUpTimeout {
		return m.gapFrom
	}
	return m.respondedAt
}

// UnsettledUntil returns a time until which the service was not settled, settleTime after
// its last restore, the zero time if it never was restored. The restore itself isn't seen:
// it came after the last response before it, so the result may be too early, but is never
// too late.
func (m *Mirror) UnsettledUntil(settleTime time.Duration) time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.restoredAt.IsZero() {
		return time.Time{}
	}
	until := m.contactBefore.Add(settleTime)
	if m.restoredAt.Before(until) {
		return m.restoredAt
	}
	return until
}

// retained reports whether a pair of an earlier era stays in the copy though the service
// lacks its key.
func (m *Mirror) retained(p infra.Pair, era int64) bool {
	return infra.Era(p.Revision) < era && m.Retain != nil && m.Retain(p)
}

// lostPairs returns the pairs of the copy that the service lost when it was restored.
func (m *Mirror) lostPairs() []infra.Pair {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []infra.Pair
	for _, p := range m.items {
		if m.retained(p, infra.Era(m.revision)) {
			out = append(out, p)
		}
	}
	return out
}

// StoredRevision returns the revision of a key in the service as far as the copy knows, 0
// if the key doesn't exist there. A retained key doesn't.
func (m *Mirror) StoredRevision(key string) int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.items[key]
	if infra.Era(p.Revision) < infra.Era(m.revision) {
		return 0
	}
	return p.Revision
}

// RestoredAt returns when this process learned that the service had been restored from an
// older copy, the zero time if it never was.
func (m *Mirror) RestoredAt() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.restoredAt
}
