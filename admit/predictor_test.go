package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against estimates that mix accounts or ignore the prompt's length.
func TestPredictor(t *testing.T) {
	is := is.New(t)
	p := NewPredictor()
	is.Equal(p.Predict("s", "a", 0).Service, defaultService)
	for range 50 {
		p.Observe("s", "a", Observation{Computed: 1000, Output: 10, First: 500 * time.Millisecond, Total: time.Second})
	}
	for range 50 {
		p.Observe("s", "b", Observation{Computed: 1000, Output: 1000, First: 500 * time.Millisecond, Total: 20500 * time.Millisecond})
	}
	is.Equal(p.PrefillSpeed(), int64(2000))
	is.Equal(p.Predict("s", "a", 4000).Service.Round(time.Millisecond), 2500*time.Millisecond)
	is.Equal(p.Predict("s", "a", 0).Output, int64(10))
	is.Equal(p.Predict("s", "b", 0).Output, int64(1000))
	is.True(p.Predict("s", "new", 0).Output > 500) // as the service lately
}

// Guards against a prefill speed spoiled by prompts whose first token took long
// for other reasons: few computed tokens, a queue in the engine, no streaming.
func TestPrefillSpeed(t *testing.T) {
	is := is.New(t)
	p := NewPredictor()
	for range 50 {
		p.Observe("s", "a", Observation{Computed: 4000, First: 100 * time.Millisecond, Total: time.Second})
		p.Observe("s", "a", Observation{Computed: 100, First: 60 * time.Millisecond, Total: time.Second})
		p.Observe("s", "a", Observation{Computed: 4000, Queued: true, First: time.Second, Total: 2 * time.Second})
		p.Observe("s", "a", Observation{Computed: 4000, Total: 5 * time.Second})
	}
	is.Equal(p.PrefillSpeed(), int64(40_000))
	is.Equal(p.Prefill(4000).Round(time.Millisecond), 100*time.Millisecond)
}
