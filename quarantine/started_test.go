package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crash that is blamed on a part, or not, because the time of day jumped
// between the send and the start of a response: the table keeps no time of day.
func TestStartsAreKeptByMonotonicClock(t *testing.T) {
	is := is.New(t)
	var table startTable
	first := time.Now()
	table.add(1, first)
	table.add(2, first.Add(time.Second))
	table.add(3, first.Add(-time.Second)) // came first, was recorded last
	for key, at := range map[Key]time.Duration{1: 1, 2: 1 + time.Second, 3: 1} {
		e, ok := table.last(key)
		is.True(ok)
		is.Equal(e.at, at)
	}
	is.True(table.since(1, first))
	is.True(table.since(1, first.Add(-time.Hour)))
	is.True(!table.since(1, first.Add(time.Millisecond)))
	is.True(table.since(2, first.Add(time.Second)))
}
