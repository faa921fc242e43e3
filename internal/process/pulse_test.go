package process

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a signal that is taken for a new one although it was sent while the process
// didn't run.
func TestPulseKnowsStalls(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	p := NewPulse(func() time.Duration { return now })
	is.Equal(p.Earliest(), now) // ran all the while
	now += beatInterval
	p.beat()
	is.Equal(p.Earliest(), now)
	stall := now
	now += 2 * time.Second
	is.Equal(p.Earliest(), stall) // noticed before the first beat
	p.beat()
	now += beatInterval / 2
	is.Equal(p.Earliest(), stall) // or shortly after it
	now += beatInterval
	is.Equal(p.Earliest(), now) // the stall is over
}
