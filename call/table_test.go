package call

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against running a delayed Open of a revoked attempt, and against a Revoke
// that reports an attempt as not run although it ran and its record was evicted.
func TestTableAttemptLifecycle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tb := NewTable(Limits{10 * time.Minute, time.Minute, 100}, func(Key, State, int) string { return "trace" })
	tb.now, tb.start = func() time.Time { return now }, now
	k, yes, no := Key{"r", "a"}, func(time.Time) bool { return true }, func(time.Time) bool { return false }
	admit := func() (string, bool) { return "v", true }

	_, s, created := tb.Begin(k, func() (string, bool) { return "", false })
	is.Equal(s, Absent) // a permanent refusal leaves no record
	is.True(!created)
	_, s = tb.Revoke(k, yes)
	is.Equal(s, Revoked)
	_, s, created = tb.Begin(k, admit)
	is.Equal(s, Revoked)
	is.True(!created && !tb.Dispatch(k))
	now = now.Add(time.Minute + 2*time.Millisecond)
	is.Equal(tb.Sweep(), 0)

	_, _, created = tb.Begin(k, admit)
	is.True(created && tb.Dispatch(k) && !tb.Dispatch(k))
	tb.Finish(k)
	now = now.Add(time.Minute + 2*time.Millisecond)
	is.Equal(tb.Sweep(), 1) // results outlive tombstones
	_, s = tb.Revoke(k, yes)
	is.Equal(s, Finished)
	tb.Compact(k, 1)
	v, s := tb.Lookup(k)
	is.Equal(s, Finished) // a compact attempt still has a record
	is.Equal(v, "trace")
	now = now.Add(10 * time.Minute)
	is.Equal(tb.Sweep(), 0)
	_, s = tb.Revoke(k, no)
	is.Equal(s, Absent) // it ran; a tombstone would report that it did not
	is.Equal(tb.Sweep(), 0)
}

// Guards against a table that grows with the request rate, and against early
// eviction after which a delayed Open runs or Revoke reports a false "not run".
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tb := NewTable(Limits{10 * time.Minute, time.Minute, 100}, func(Key, State, int) string { return "trace" })
	tb.now, tb.start = func() time.Time { return now }, now
	key := func(i int) Key { return Key{strconv.Itoa(i), "a"} }
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		is.True(tb.MakeRoom())
		tb.Begin(key(i), func() (string, bool) { return "v", true })
		tb.Dispatch(key(i))
		tb.Finish(key(i))
		tb.Compact(key(i), 1)
	}
	is.True(!tb.MakeRoom()) // all of them protect against delayed Opens
	_, s := tb.Revoke(key(1000), func(time.Time) bool { return true })
	is.Equal(s, Absent)
	ended := now
	now = now.Add(2 * time.Minute)
	is.True(tb.MakeRoom())
	_, s = tb.Lookup(key(0))
	is.Equal(s, Absent)
	_, s = tb.Lookup(key(99))
	is.Equal(s, Finished)
	tb.Revoke(key(0), func(lastEvictedEnd time.Time) bool {
		is.True(lastEvictedEnd.After(ended.Add(-time.Second)) && lastEvictedEnd.Before(ended))
		return false
	})
}
