package mirror

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against a change that was made long ago, before the process started or while it was
// cut off from the store, and is taken for one that was made just now.
func TestChangesAfterOutageAreNotLive(t *testing.T) {
	is := is.New(t)
	m := New(Options{Log: zap.NewNop()})
	is.True(!m.IsLive())
	m.noteResponse()
	m.advance(reply{revision: 3})
	is.True(m.IsLive())
	m.noteFailure(errors.New("no response"))
	is.True(!m.IsLive()) // changes come from peers
	m.respondedAt = time.Now().Add(-5 * time.Second)
	m.noteResponse()
	is.True(!m.IsLive())
	m.resumedAt = time.Now().Add(-rejoinGrace - time.Millisecond)
	is.True(m.IsLive())
}
