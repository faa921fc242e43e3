package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against estimates that mix client accounts or ignore the prompt length.
func TestPredictor(t *testing.T) {
	is := is.New(t)
	p := NewPredictor()
	is.Equal(p.Predict("s", "a", 0).ServiceTime, defaultServiceTime)
	for range 50 {
		p.Observe("s", "a", Observation{ComputedTokens: 1000, OutputTokens: 10, TimeToFirstToken: 500 * time.Millisecond, TotalTime: time.Second})
	}
	for range 50 {
		p.Observe("s", "b", Observation{ComputedTokens: 1000, OutputTokens: 1000, TimeToFirstToken: 500 * time.Millisecond, TotalTime: 20500 * time.Millisecond})
	}
	is.Equal(p.PrefillSpeed(), int64(2000))
	is.Equal(p.Predict("s", "a", 4000).ServiceTime.Round(time.Millisecond), 2500*time.Millisecond)
	is.Equal(p.Predict("s", "a", 0).OutputTokens, int64(10))
	is.Equal(p.Predict("s", "b", 0).OutputTokens, int64(1000))
	is.True(p.Predict("s", "new", 0).OutputTokens > 500) // the recent average of the service
}

// Guards against a prefill speed that is distorted by requests whose time to first
// token has other causes: few computed tokens, a queue in the engine, no streaming.
func TestPrefillSpeed(t *testing.T) {
	is := is.New(t)
	p := NewPredictor()
	for range 50 {
		p.Observe("s", "a", Observation{ComputedTokens: 4000, TimeToFirstToken: 100 * time.Millisecond, TotalTime: time.Second})
		p.Observe("s", "a", Observation{ComputedTokens: 100, TimeToFirstToken: 60 * time.Millisecond, TotalTime: time.Second})
		p.Observe("s", "a", Observation{ComputedTokens: 4000, Queued: true, TimeToFirstToken: time.Second, TotalTime: 2 * time.Second})
		p.Observe("s", "a", Observation{ComputedTokens: 4000, TotalTime: 5 * time.Second})
	}
	is.Equal(p.PrefillSpeed(), int64(40_000))
	is.Equal(p.Prefill(4000).Round(time.Millisecond), 100*time.Millisecond)
}
