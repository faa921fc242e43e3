// Package prefill is the scorer that adds a cost for the prompt tokens that an
// endpoint has to compute, id "price.prefill". They delay the other requests at the
// endpoint and evict cached parts of their prompts.
package prefill

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.prefill"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

// delayedRequests is the number of other requests that a prefill is expected to delay
// by its whole length.
const delayedRequests = 2

// Price adds the expected prefill time for each request that it delays. The request's
// own prefill time is part of the predicted time to first token, whose scorer has
// determined it.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(_ *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		scores[i] += delayedRequests * endpoints[i].OwnPrefillMs
	}
}
