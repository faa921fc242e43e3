package retryafter

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against waits that a server did not ask for: values that are malformed, without
// bound or in the past.
func TestParse(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-1": 0, "soon": 0, "NaN": 0, "1e300": Max, "Inf": Max,
		now.Add(3 * time.Second).Format(http.TimeFormat): 3 * time.Second, now.Add(-time.Second).Format(http.TimeFormat): 0,
	} {
		t.Run(value, func(t *testing.T) {
			is.New(t).Equal(Parse(http.Header{"Retry-After": {value}}, now), want)
		})
	}
}

// Guards against a pause that is too long or left out because the clock of the server, or of
// this host, is ahead or behind.
func TestDateCountsFromResponse(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, ahead := range []time.Duration{-9 * time.Second, 0, 9 * time.Second} {
		server := now.Add(ahead)
		h := http.Header{"Date": {server.Format(http.TimeFormat)}, "Retry-After": {server.Add(3 * time.Second).Format(http.TimeFormat)}}
		is.Equal(Parse(h, now), 3*time.Second)
	}
}
