// Package lowest is the picker of the lowest score, id "picker.lowest".
package lowest

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/route"
)

// tieMs is the difference below which scores count as equal. Predictions are
// not more exact, and entries that all took the very lowest would collide.
const tieMs = 0.5

// Picker takes the endpoint with the lowest score.
type Picker struct{}

// Pick implements route.Picker. Among ties the request's seed and the
// endpoints' ids decide, whatever their order.
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
