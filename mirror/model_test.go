package mirror

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/citrontiller/citrontiller/infra"
)

// history is a store whose past states can be read.
type history struct {
	// eras holds the changes of each era in order of their revisions, whose numbers count
	// from 1. An era begins with the changes before the point to which it was restored.
	eras [][]infra.Event
}

func (h *history) era() int64 { return int64(len(h.eras) - 1) }

// revision returns the revision of the last change, as long as there is one.
func (h *history) revision() int64 { return infra.Revision(h.era(), int64(len(h.eras[h.era()]))) }

// write appends a change.
func (h *history) write(ev infra.Event) {
	h.eras[h.era()] = append(h.eras[h.era()], ev)
}

// restore begins a new era with the first n changes.
func (h *history) restore(n int) {
	var events []infra.Event
	for _, ev := range h.eras[h.era()][:n] {
		ev.Revision = infra.Revision(h.era()+1, infra.RevisionNumber(ev.Revision))
		events = append(events, ev)
	}
	h.eras = append(h.eras, events)
}

// until returns the changes of a revision's era up to the revision, and those after it.
func (h *history) until(revision int64) (before, after []infra.Event) {
	events, n := h.eras[infra.Era(revision)], infra.RevisionNumber(revision)
	return events[:n], events[n:]
}

// state returns the last change of each key up to a revision.
func (h *history) state(revision int64) map[string]infra.Event {
	out := map[string]infra.Event{}
	before, _ := h.until(revision)
	for _, ev := range before {
		out[ev.Key] = ev
	}
	return out
}

// list returns a complete reply as of a revision.
func (h *history) list(revision int64) reply {
	r := reply{source: fromList, revision: revision, complete: true}
	for _, ev := range h.state(revision) {
		if !ev.Deleted {
			r.events = append(r.events, ev)
		}
	}
	return r
}

// changes returns the reply to a poll after a revision of the present era.
func (h *history) changes(after int64) reply {
	_, events := h.until(after)
	return reply{source: fromPoll, events: events, revision: h.revision()}
}

// shown records the revisions that OnChange has reported for each key.
type shown map[string]infra.Event

// peerChanges returns what another copy answers.
func peerChanges(m *Mirror, after int64) reply {
	events, revision, complete := m.Since(context.Background(), after, 0)
	return reply{source: fromPeer, events: events, revision: revision, complete: complete}
}

// Guards against a copy that shows an older state of a key than before, in whatever order
// the answers of the store and of peers arrive, and against one that differs from the
// store at its revision, also after the store was restored from an older copy.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copies = 3
		h := &history{eras: [][]infra.Event{{putEvent("a", 1)}}}
		var mirrors [copies]*Mirror
		var late [copies][]reply
		for i := range mirrors {
			seen := shown{}
			mirrors[i] = New(Options{Log: zap.NewNop(), OnChange: func(ev infra.Event) {
				if ev.Revision <= seen[ev.Key].Revision {
					t.Fatalf("copy %d shows revision %d of key %q after revision %d", i, ev.Revision, ev.Key, seen[ev.Key].Revision)
				}
				seen[ev.Key] = ev
			}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				ev := putEvent(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), h.revision()+1)
				last, held := h.state(h.revision())[ev.Key]
				if held && !last.Deleted && rapid.Bool().Draw(t, "remove") {
					ev = removal(ev.Key, ev.Revision)
				}
				h.write(ev)
			},
			"restore": func(t *rapid.T) {
				if len(h.eras) > 3 {
					return
				}
				h.restore(rapid.IntRange(1, len(h.eras[h.era()])).Draw(t, "changes"))
			},
			"ask": func(t *rapid.T) { // the answer arrives later
				i, j := rapid.IntRange(0, copies-1).Draw(t, "copy"), rapid.IntRange(0, copies-1).Draw(t, "peer")
				after := mirrors[i].Revision()
				switch rapid.IntRange(0, 2).Draw(t, "source") {
				case 0:
					late[i] = append(late[i], h.list(h.revision()))
				case 1:
					// A copy lists before it polls, and lists again after a restore.
					if after > 0 && infra.Era(after) == h.era() {
						late[i] = append(late[i], h.changes(after))
					}
				default:
					if r := peerChanges(mirrors[j], after); r.revision >= after {
						late[i] = append(late[i], r)
					}
				}
			},
			"answer": func(t *rapid.T) {
				i := rapid.IntRange(0, copies-1).Draw(t, "copy")
				if len(late[i]) == 0 {
					return
				}
				k := rapid.IntRange(0, len(late[i])-1).Draw(t, "answer")
				mirrors[i].applyChanges(late[i][k])
				late[i] = append(late[i][:k], late[i][k+1:]...)
			},
			"": func(t *rapid.T) {
				for i, m := range mirrors {
					compareWithStore(t, i, m, h)
				}
			},
		})
	})
}

// compareWithStore checks that a copy equals the store at the copy's revision, but for
// keys of which it knows a later change.
func compareWithStore(t *rapid.T, i int, m *Mirror, h *history) {
	state := h.state(m.Revision())
	for key, ev := range state {
		p, held := m.Get(key)
		if held && p.Revision < ev.Revision || held && ev.Deleted && p.Revision <= m.Revision() {
			t.Fatalf("copy %d at revision %d holds revision %d of key %q, the store has %d (deleted %v)", i, m.Revision(), p.Revision, key, ev.Revision, ev.Deleted)
		}
		if !held && !ev.Deleted && !removedLater(h, key, m.Revision()) {
			t.Fatalf("copy %d at revision %d lacks key %q of revision %d", i, m.Revision(), key, ev.Revision)
		}
	}
	for _, key := range []string{"a", "b", "c"} {
		p, held := m.Get(key)
		if _, known := state[key]; held && !known && p.Revision <= m.Revision() {
			t.Fatalf("copy %d at revision %d holds revision %d of key %q, which a restored store lacks", i, m.Revision(), p.Revision, key)
		}
	}
}

// removedLater reports whether a key was removed after a revision.
func removedLater(h *history, key string, revision int64) bool {
	_, after := h.until(revision)
	for _, ev := range after {
		if ev.Key == key && ev.Deleted {
			return true
		}
	}
	return false
}
