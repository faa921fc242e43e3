package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against durations of long ago, or of a few requests, that decide which requests a
// stopping process takes.
func TestDurationsForgetOldRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	_, known := d.ShareOver("r", time.Second)
	is.True(!known)
	for i := range minDurationSamples {
		_, known = d.ShareOver("r", time.Second)
		is.True(!known) // too few
		d.Observe("r", time.Duration(i)*time.Second)
	}
	share, known := d.ShareOver("r", 3*time.Second)
	is.True(known)
	is.Equal(share, 0.75) // 4 to 15 s
	for range durationSamples {
		d.Observe("r", 100*time.Millisecond)
	}
	share, _ = d.ShareOver("r", time.Second)
	is.Equal(share, 0.0)
}
