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
	is.True(!p.JustStalled())
	now += beatInterval
	p.beat()
	is.Equal(p.Earliest(), now)
	stalled := now
	now += 2 * time.Second
	is.Equal(p.Earliest(), stalled) // noticed before the first beat
	is.Equal(p.Uncertainty(), 2*time.Second)
	is.True(p.JustStalled())
	now += beatInterval / 2
	p.beat()
	is.Equal(p.Earliest(), stalled) // or shortly after it
	for range int(noticeTime/beatInterval) - 1 {
		now += beatInterval
		p.beat()
		is.Equal(p.Earliest(), stalled) // a busy process notices it late
	}
	is.True(!p.JustStalled())
	now += beatInterval
	is.Equal(p.Earliest(), now) // the stall is over
	is.Equal(p.Uncertainty(), time.Duration(0))
}

// Guards against a stall that is forgotten because a shorter one followed before the signal
// was noticed.
func TestPulseKnowsStallsInARow(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	p := NewPulse(func() time.Duration { return now })
	first := now
	now += 3 * time.Second
	p.beat()
	now += maxBeatGap + time.Millisecond
	is.Equal(p.Earliest(), first)
}
