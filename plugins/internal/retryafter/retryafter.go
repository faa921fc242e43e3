// Package retryafter reads the Retry-After header.
package retryafter

import (
	"net/http"
	"strconv"
	"time"
)

// Max bounds the wait that a server may ask for.
const Max = 5 * time.Minute

// Parse returns the wait that a Retry-After header asks for, in seconds or as
// a date (RFC 9110, section 10.2.3), or zero without a valid one.
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
