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
