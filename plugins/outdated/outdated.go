// Package outdated prices endpoints whose weights are older than the version
// that answers should be made with, id "price.outdated".
package outdated

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.outdated"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

// outdatedMs is the time to first token that an answer from older weights must save.
const outdatedMs = 150

// Price adds the price of older weights.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		if v := endpoints[i].Load.WeightsVersion; v != 0 && v < r.PreferredWeightsVersion {
			scores[i] += outdatedMs
		}
	}
}
