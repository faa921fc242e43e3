package mirror

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// Guards against a removed endpoint or a withdrawn key that is in use again, because a
// peer that was asked before the removal answers after it.
func TestRemovedKeyIsNotRestored(t *testing.T) {
	is := is.New(t)
	m := New(Options{OnChange: func(infra.Event) {}, Log: zap.NewNop()})
	m.applyChanges(reply{events: []infra.Event{putEvent("a", 7)}, revision: 7, complete: true})
	m.applyChanges(reply{events: []infra.Event{removal("a", 10)}, revision: 10})
	m.applyChanges(reply{events: []infra.Event{putEvent("a", 7)}, revision: 8})
	is.Equal(value(m, "a"), "none")
	// The copy did not hold b when it learned of the removal.
	m.applyChanges(reply{events: []infra.Event{removal("b", 15)}, revision: 10})
	m.applyChanges(reply{events: []infra.Event{putEvent("b", 12)}, revision: 12})
	is.Equal(value(m, "b"), "none")
}
