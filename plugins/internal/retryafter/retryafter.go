// Package retryafter parses the Retry-After header.
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

// Max is the upper bound of the wait that a server may request.
const Max = 5 * time.Minute

// Parse returns the wait that a Retry-After header requests, in seconds or as a date
// (RFC 9110, section 10.2.3), at most Max. It returns 0 without a valid header.
func Parse(h http.Header, now time.Time) time.Duration {
	v := h.Get("Retry-After")
	if s, err := strconv.ParseInt(v, 10, 32); err == nil && s >= 0 {
		return min(time.Duration(s)*time.Second, Max)
	}
	if at, err := http.ParseTime(v); err == nil {
		return min(max(at.Sub(now), 0), Max)
	}
	return 0
}
