// Package lowest is the picker of the lowest score, id "picker.lowest".
package lowest

import "github.com/citrontiller/citrontiller/route"

// tieMs is the difference below which scores count as equal. Predictions are
// not more exact, and entries that all took the very lowest would collide.
const tieMs = 0.5

// Picker takes the endpoint with the lowest score.
type Picker struct{}

// Pick implements route.Picker. The request's seed decides between ties.
func (Picker) Pick(r *route.Request, _ []route.Endpoint, scores []float64) int {
	lowest := scores[0]
	for _, s := range scores {
		lowest = min(lowest, s)
	}
	ties := uint64(0)
	for _, s := range scores {
		if s <= lowest+tieMs {
			ties++
		}
	}
	nth := r.Seed % ties
	for i, s := range scores {
		if s > lowest+tieMs {
			continue
		}
		if nth == 0 {
			return i
		}
		nth--
	}
	return 0
}
