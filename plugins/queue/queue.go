// Package queue is the scorer of the expected wait until an endpoint starts a
// request, id "scorer.queue".
package queue

import "github.com/citrontiller/citrontiller/route"

const (
	// outputTokenMs is the assumed time between output tokens in milliseconds, the
	// service's target.
	outputTokenMs = 64
	// defaultOutputTokens is the assumed length of a response for accounts without
	// observed responses.
	defaultOutputTokens = 100
)

// Scorer adds the expected wait in the endpoint's queue.
type Scorer struct{}

// Score implements route.Scorer. For an endpoint at its concurrency limit it adds at
// least the expected time until a slot is free. That time is computed from the
// observed length of responses, because max_tokens is a poor predictor of it.
func (Scorer) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	outputTokens := r.OutputTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	for i := range endpoints {
		e := &endpoints[i]
		wait := e.WaitMs
		running := max(e.Load.Running+e.Load.Queued, e.InFlight)
		if excess := running - e.Load.Limit + 1; e.Load.Limit > 0 && excess > 0 {
			wait = max(wait, float64(excess)*outputTokens*outputTokenMs/float64(e.Load.Limit))
		}
		scores[i] += wait
	}
}
