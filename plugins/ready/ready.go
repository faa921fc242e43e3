// Package ready is the filter of endpoints that must not get a request, id
// "filter.ready".
package ready

import (
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Reasons of exclusion besides the endpoint's state.
const (
	Tried   = "tried"
	Version = "version"
	Ejected = "ejected"
)

// Filter keeps ready endpoints with the right weights.
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
	case e.Ejected && !r.LastResort && !(e.Probe && r.Idempotent):
		return Ejected
	}
	return ""
}
