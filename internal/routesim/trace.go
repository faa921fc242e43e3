// Package routesim simulates endpoint selection in virtual time. It replays a
// generated trace through the route package against simple models of engines, and
// compares policies. Admission, refusals, retries and hedging are not modelled.
package routesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/prefix"
)

// Sizes of the trace. As in docs/design.md, a prompt consists of nested prefix
// levels: the instructions of a shop, one of the shop's guides, a customer's history
// and a question.
const (
	regions             = 3
	enginesPerRegion    = 6
	shops               = 8
	guides              = 6
	customers           = 40 // per shop
	shopTokens          = 1000
	guideTokens         = 2000
	historyTokens       = 4000
	questionTokens      = 200
	longTokens          = 20_000
	bytesPerPromptToken = 4

	// Duration is the length of the trace.
	Duration = 40 * time.Second
	baseRate = 60.0 // requests per second
	// Demand doubles in the second half of each surgePeriod.
	surgePeriod = 10 * time.Second
	// hotShare of the requests come from the hot customers, which change once per
	// hotPeriod.
	hotPeriod    = 8 * time.Second
	hotShare     = 0.4
	hotCustomers = 3
	longShare    = 0.01
	// randomRegionShare is the share of requests that come from a random region
	// instead of the customer's own.
	randomRegionShare = 0.2
	// In each stragglerPeriod one engine is slower by the factor stragglerSlowdown
	// for stragglerDuration.
	stragglerPeriod   = 4 * time.Second
	stragglerDuration = 1500 * time.Millisecond
	stragglerSlowdown = 8
)

// request is one request of the trace.
type request struct {
	arrival      time.Duration
	region       int
	levels       []prefix.Level
	tokens       int64
	outputTokens int64
	long         bool
}

// newTrace returns the requests of a trace. They depend only on the seed.
func newTrace(seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 1))
	var requests []request
	var at time.Duration
	for at < Duration {
		rate := baseRate
		if inSurge(at) {
			rate *= 2
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		requests = append(requests, newRequest(rng, at, len(requests)))
	}
	return requests
}

func inSurge(at time.Duration) bool { return at%surgePeriod >= surgePeriod/2 }

func newRequest(rng *rand.Rand, at time.Duration, n int) request {
	req := request{arrival: at, region: rng.IntN(regions), outputTokens: 20 + int64(rng.ExpFloat64()*60)}
	customer := rng.IntN(shops * customers)
	if rng.Float64() < hotShare {
		customer = (int(at/hotPeriod)*37 + rng.IntN(hotCustomers)*101) % (shops * customers)
	}
	shop := customer % shops
	if rng.Float64() >= randomRegionShare {
		req.region = customer % regions
	}
	req.addLevel(fmt.Sprintf("shop %d", shop), shopTokens)
	req.addLevel(fmt.Sprintf("guide %d %d", shop, customer/shops%guides), guideTokens)
	req.addLevel(fmt.Sprintf("history %d", customer), historyTokens)
	question := int64(questionTokens)
	if rng.Float64() < longShare {
		req.long, req.outputTokens, question = true, 800, longTokens
	}
	req.addLevel(fmt.Sprintf("question %d", n), question)
	return req
}

// addLevel appends a prefix level of the given length to the prompt.
func (r *request) addLevel(name string, tokens int64) {
	r.tokens += tokens
	r.levels = append(r.levels, prefix.Level{Hash: xxhash.Sum64String(name), Tokens: r.tokens})
}
