// Package retryafter parses the Retry-After header.
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

// Max is the upper bound of the wait that a server may request.
const Max = 5 * time.Minute

// Parse returns the wait that a Retry-After header requests, in seconds, which may have
// a fraction, or as a date (RFC 9110, section 10.2.3), at most Max. A date counts from that
// of the response, since the clocks of two hosts may differ; without one from now. It
// returns 0 without a valid header.
func Parse(h http.Header, now time.Time) time.Duration {
	v := h.Get("Retry-After")
	if s, err := strconv.ParseFloat(v, 64); err == nil && s >= 0 { // not for NaN
		return time.Duration(min(s, Max.Seconds()) * float64(time.Second))
	}
	if at, err := http.ParseTime(v); err == nil {
		if date, err := http.ParseTime(h.Get("Date")); err == nil {
			now = date
		}
		return min(max(at.Sub(now), 0), Max)
	}
	return 0
}
