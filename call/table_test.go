package call

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a delayed Open that runs after its tombstone, and against an
// evicted attempt that a later Revoke reports as not run.
func TestTableKeepsProofs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tb := NewTable[string](10*time.Minute, time.Minute)
	tb.now = func() time.Time { return now }
	k, yes, no := Key{"r", "a"}, func() bool { return true }, func() bool { return false }
	admit := func() (string, bool) { return "v", true }

	_, s, created := tb.Begin(k, func() (string, bool) { return "", false })
	is.Equal(s, Absent) // a permanent refusal leaves no record
	is.True(!created)
	_, s = tb.Revoke(k, yes)
	is.Equal(s, Revoked)
	_, s, created = tb.Begin(k, admit)
	is.Equal(s, Revoked)
	is.True(!created && !tb.Dispatch(k))
	now = now.Add(time.Minute + 1)
	is.Equal(tb.Sweep(), 0)

	_, _, created = tb.Begin(k, admit)
	is.True(created && tb.Dispatch(k) && !tb.Dispatch(k))
	tb.Finish(k)
	now = now.Add(time.Minute + 1)
	is.Equal(tb.Sweep(), 1) // results outlive tombstones
	_, s = tb.Revoke(k, yes)
	is.Equal(s, Finished)
	now = now.Add(10 * time.Minute)
	is.Equal(tb.Sweep(), 0)
	_, s = tb.Revoke(k, no)
	is.Equal(s, Absent) // it ran; no tombstone may claim otherwise
	is.Equal(tb.Sweep(), 0)
}
