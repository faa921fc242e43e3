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
	events []infra.Event // in order of their revisions, which count from 1
}

func (h *history) revision() int64 { return int64(len(h.events)) }

// state returns the last change of each key up to a revision.
func (h *history) state(revision int64) map[string]infra.Event {
	out := map[string]infra.Event{}
	for _, ev := range h.events[:revision] {
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

// changes returns the reply to a poll.
func (h *history) changes(after, revision int64) reply {
	return reply{source: fromPoll, events: h.events[min(after, revision):revision], revision: revision}
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
// store when all answers have arrived.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copies = 3
		h := &history{}
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
				h.events = append(h.events, ev)
			},
			"ask": func(t *rapid.T) { // the answer arrives later
				i, j := rapid.IntRange(0, copies-1).Draw(t, "copy"), rapid.IntRange(0, copies-1).Draw(t, "peer")
				after := mirrors[i].Revision()
				switch rapid.IntRange(0, 2).Draw(t, "source") {
				case 0:
					late[i] = append(late[i], h.list(h.revision()))
				case 1:
					if after > 0 { // a copy lists before it polls
						late[i] = append(late[i], h.changes(after, h.revision()))
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
	for key, ev := range h.state(m.Revision()) {
		p, held := m.Get(key)
		if held && p.Revision < ev.Revision || held && ev.Deleted && p.Revision <= m.Revision() {
			t.Fatalf("copy %d at revision %d holds revision %d of key %q, the store has %d (deleted %v)", i, m.Revision(), p.Revision, key, ev.Revision, ev.Deleted)
		}
		if !held && !ev.Deleted && !removedLater(h, key, m.Revision()) {
			t.Fatalf("copy %d at revision %d lacks key %q of revision %d", i, m.Revision(), key, ev.Revision)
		}
	}
}

// removedLater reports whether a key was removed after a revision.
func removedLater(h *history, key string, revision int64) bool {
	for _, ev := range h.events[revision:] {
		if ev.Key == key && ev.Deleted {
			return true
		}
	}
	return false
}
