package mirror

import (
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// source is where a reply came from.
type source string

// Sources of replies.
const (
	fromList   source = "list"
	fromPoll   source = "poll"
	fromLeader source = "leader"
	fromPeer   source = "peer"
	// fromUrgentList is a list of the keys under UrgentPrefix.
	fromUrgentList source = "urgent list"
)

// reply holds changes of the store.
type reply struct {
	source source
	events []infra.Event
	// revision is the revision up to which the changes are known, 0 if only those of some keys
	// are.
	revision int64
	// complete is true when events holds every key that exists.
	complete bool
}

// applyChanges applies a reply and advances the copy to its revision. It removes the
// keys that a complete reply lacks.
func (m *Mirror) applyChanges(r reply) {
	m.changeMu.Lock()
	defer m.changeMu.Unlock()
	before, applied := m.position(), 0
	restored := m.noteEra(r)
	present := make(map[string]bool, len(r.events))
	for _, ev := range r.events {
		present[ev.Key] = true
		if m.apply(ev) {
			applied++
		}
	}
	if r.complete {
		for _, key := range m.missing(present, r.revision) {
			if m.apply(infra.Event{Pair: infra.Pair{Key: key, Revision: r.revision}, Deleted: true}) {
				applied++
			}
		}
	}
	m.advance(r)
	if r.revision == 0 && applied > 0 {
		m.mu.Lock()
		m.wake()
		m.mu.Unlock()
	}
	if restored && m.OnRestore != nil {
		m.OnRestore(m.lostPairs())
	}
	if len(r.events) > 0 {
		m.Log.Info("changes of the store", zap.String("source", string(r.source)), zap.Int64("from", before), zap.Int64("revision", r.revision),
			zap.Int("changes", len(r.events)), zap.Int("applied", applied), zap.Bool("complete", r.complete))
	}
}
