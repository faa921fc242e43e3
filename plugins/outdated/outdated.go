// Package outdated is the scorer that adds a cost to endpoints whose weights are older
// than the preferred version, id "price.outdated".
package outdated

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.outdated"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

// outdatedMs is the reduction of the time to first token, in milliseconds, for which
// an endpoint with older weights is selected.
const outdatedMs = 150

// Price adds a fixed cost to endpoints with outdated weights.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		if v := endpoints[i].Load.WeightsVersion; v != 0 && v < r.PreferredWeightsVersion {
			scores[i] += outdatedMs
		}
	}
}
