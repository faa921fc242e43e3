// Package memory is the scorer that adds a cost to engines whose KV cache memory is
// occupied by running requests, id "price.memory". An engine that runs out of memory
// queues requests although it has free slots.
package memory

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.memory"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

// fullMs is the cost of an engine with full memory: the reduction of the time to first
// token, in milliseconds, for which it is selected instead of an empty one.
const fullMs = 100

// Price adds a cost that grows with the square of the occupied share of memory, so
// that the engines fill evenly before any is full.
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
