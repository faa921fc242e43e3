// Package ratelimit is the scorer that adds a cost to endpoints whose rate limit is nearly
// used up, id "price.ratelimit". Such an endpoint takes few requests, however long their
// prompts are: the longest ones go there, and short ones to endpoints without a limit.
package ratelimit

import (
	"math"

	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/route"
)

// ID is the plug-in's id in the kernel.
const ID = "price.ratelimit"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Price) }}) }

const (
	// lastRequestMs is the cost of the last request that a limit allows, for a request whose
	// prefill is not longer than usual: the reduction of the time to first token, in
	// milliseconds, for which it is used. It is far above the waits at overloaded endpoints,
	// so that short prompts use no more than a tenth of what a limit allows at once.
	lastRequestMs = 4000
	// lengthExponent is the power of the ratio of the usual prefill to a longer one with
	// which the cost falls.
	lengthExponent = 3
)

// Price adds a cost that grows with the used part of an endpoint's rate limit and falls
// with the request's prefill in relation to the usual one. It leaves out requests without
// a prompt, whose work is not known.
type Price struct{}

// Score implements route.Scorer. It also sets the endpoints' RateLimitPriceMs.
func (Price) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	if r.Tokens == 0 {
		return
	}
	for i := range endpoints {
		e := &endpoints[i]
		e.RateLimitPriceMs = lastRequestMs * e.RateLimitUsed * lengthFactor(r.UsualPrefillTokens, e.UncachedTokens(r.Tokens))
		scores[i] += e.RateLimitPriceMs
	}
}

// lengthFactor returns the part of the cost that a request with so many tokens to prefill
// bears.
func lengthFactor(usual, tokens float64) float64 {
	if usual <= 0 || tokens <= usual {
		return 1
	}
	return math.Pow(usual/tokens, lengthExponent)
}
