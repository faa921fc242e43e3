// Package memory prices engines whose memory running requests have filled, id
// "price.memory": an engine that runs out of memory lets requests wait although
// it has free slots.
package memory

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.memory"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

// fullMs is the time to first token, in milliseconds, that an engine with a full
// memory must save against an empty one.
const fullMs = 100

// Price adds a price that rises with the square of the part that is filled, so
// that engines fill evenly before any is full.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(_ *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		e := &endpoints[i]
		if e.Load.KVCapacityTokens > 0 {
			filled := e.KVUsedTokens / float64(e.Load.KVCapacityTokens)
			scores[i] += fullMs * filled * filled
		}
	}
}
