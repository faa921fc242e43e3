// Package ready is the filter that excludes endpoints which must not receive a
// request, id "filter.ready".
package ready

import (
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Reasons for exclusion other than the endpoint's state.
const (
	// Tried means that the request was already sent to the endpoint.
	Tried = "tried"
	// Version means that the endpoint has other or older weights than required.
	Version = "version"
	// Paused means that the endpoint wants no requests from this process for some time.
	Paused = "paused"
	// RateLimited means that the gateways have sent as many requests as the endpoint takes.
	RateLimited = "rate limit"
	// Pace means that the endpoint has started or recovered and has as much work as its pace
	// permits.
	Pace = "pace"
	// Ejected means that the endpoint receives only probes, after failures.
	Ejected = "ejected"
)

// Filter keeps the ready endpoints that have the required weights and that the request
// has not tried. It keeps an ejected endpoint for an idempotent request when its next
// probe is due, and for any request as a last resort. It keeps one at the limit of its pace if
// no other is available.
type Filter struct{}

// Exclude implements route.Filter.
func (Filter) Exclude(r *route.Request, e *route.Endpoint) string {
	switch {
	case r.Exclude[e.ID]:
		return Tried
	case e.State != member.Ready:
		return string(e.State)
	case r.Version != "" && e.Load.Version != "" && r.Version != e.Load.Version:
		return Version
	case e.Load.WeightsVersion != 0 && e.Load.WeightsVersion < r.MinWeightsVersion:
		return Version
	case e.PausedFor > 0:
		return Paused
	case e.RateLimitedFor > 0:
		return RateLimited
	case e.Ejected && !r.LastResort && !(e.Probe && r.Idempotent):
		return Ejected
	case e.AtPace && !r.IgnorePace && !r.LastResort:
		return Pace
	}
	return ""
}
