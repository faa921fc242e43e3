// Package ratelimit is the scorer that adds a cost to endpoints whose rate limit is nearly
// used up, id "price.ratelimit". Such an endpoint takes few requests, however long their
// prompts are: the longest ones go there, and short ones to endpoints without a limit.
package ratelimit

import (
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.ratelimit"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

const (
	// lastRequestMs is the cost of the last request that a limit allows, for a request with
	// nothing to prefill: the reduction of the time to first token, in milliseconds, for
	// which it is used.
	lastRequestMs = 600
	// halvingPrefillMs is the prefill time in milliseconds that halves the cost. Twice this
	// time reduces it to a third.
	halvingPrefillMs = 40
)

// Price adds a cost that grows with the used part of an endpoint's rate limit and falls
// with the request's prefill time. It leaves out requests without a prompt, whose work is
// not known.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	if r.Tokens == 0 {
		return
	}
	for i := range endpoints {
		e := &endpoints[i]
		scores[i] += lastRequestMs * e.RateLimitUsed / (1 + e.OwnPrefillMs/halvingPrefillMs)
	}
}
