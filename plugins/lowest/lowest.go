// Package lowest is the picker that selects the endpoint with the lowest score, id
// "picker.lowest".
package lowest

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/route"
)

// tieMs is the difference in milliseconds up to which scores count as equal.
// Predictions are not more precise than that, and entries that all selected the exact
// minimum would overload one endpoint.
const tieMs = 0.5

// Picker selects the endpoint with the lowest score.
type Picker struct{}

// Pick implements route.Picker. Ties are broken by a hash of the request's seed and the
// endpoint's id, so the result doesn't depend on the order of the endpoints.
func (Picker) Pick(r *route.Request, endpoints []route.Endpoint, scores []float64) int {
	lowest := slices.Min(scores)
	best, weight := 0, uint64(0)
	for i, s := range scores {
		if s > lowest+tieMs {
			continue
		}
		if w := tieWeight(r.Seed, endpoints[i].ID); w >= weight {
			best, weight = i, w
		}
	}
	return best
}

func tieWeight(seed uint64, id string) uint64 {
	h := (xxhash.Sum64String(id) ^ seed) * 0xff51afd7ed558ccd
	return h ^ h>>33
}
