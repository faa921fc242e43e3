// Package routesim measures endpoint selection. It replays a generated trace
// against simple models of engines at the route interface, in virtual time.
// Admission, refusals, retries and hedging are not modelled.
package routesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/prefix"
)

// Sizes of the trace. The prefixes nest in the order of the design page.
const (
	regions        = 3
	enginesPerZone = 6
	shops          = 8
	guides         = 6
	customers      = 40
	shopTokens     = 1000
	guideTokens    = 2000
	historyTokens  = 4000
	questionTokens = 200
	longTokens     = 20_000
	bytesPerToken  = 4

	// Duration is the length of the trace.
	Duration = 40 * time.Second
	baseRate = 60.0 // requests per second
	// Demand doubles for the second half of each swing period.
	swingPeriod = 10 * time.Second
	// The hot customers change once per hotPeriod and take hotShare of requests.
	hotPeriod = 8 * time.Second
	hotShare  = 0.4
	hotCount  = 3
	longShare = 0.01
	// strayShare is the share of a customer's requests from another region.
	strayShare = 0.2
	// In each stragglePeriod one engine is slower for straggleTime.
	stragglePeriod = 4 * time.Second
	straggleTime   = 1500 * time.Millisecond
	straggleFactor = 8
)

// job is one request of the trace.
type job struct {
	at     time.Duration
	region int
	levels []prefix.Level
	tokens int64
	output int64
	long   bool
}

// newTrace returns the same jobs for the same seed.
func newTrace(seed uint64) []job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	var at time.Duration
	for at < Duration {
		rate := baseRate
		if surge(at) {
			rate *= 2
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		jobs = append(jobs, newJob(rng, at, len(jobs)))
	}
	return jobs
}

func surge(at time.Duration) bool { return at%swingPeriod >= swingPeriod/2 }

func newJob(rng *rand.Rand, at time.Duration, n int) job {
	j := job{at: at, region: rng.IntN(regions), output: 20 + int64(rng.ExpFloat64()*60)}
	customer := rng.IntN(shops * customers)
	if rng.Float64() < hotShare {
		customer = (int(at/hotPeriod)*37 + rng.IntN(hotCount)*101) % (shops * customers)
	}
	shop := customer % shops
	if rng.Float64() >= strayShare {
		j.region = customer % regions
	}
	j.add(fmt.Sprintf("shop %d", shop), shopTokens)
	j.add(fmt.Sprintf("guide %d %d", shop, customer/shops%guides), guideTokens)
	j.add(fmt.Sprintf("history %d", customer), historyTokens)
	question := int64(questionTokens)
	if rng.Float64() < longShare {
		j.long, j.output, question = true, 800, longTokens
	}
	j.add(fmt.Sprintf("question %d", n), question)
	return j
}

func (j *job) add(name string, tokens int64) {
	j.tokens += tokens
	j.levels = append(j.levels, prefix.Level{Hash: xxhash.Sum64String(name), Tokens: j.tokens})
}
