// Package queue scores the wait before an endpoint starts a request, id
// "scorer.queue".
package queue

import "github.com/citrontiller/citrontiller/route"

const (
	// tokenMs is the time between output tokens that the service aims at.
	outputTokenMs = 64
	// defaultOutput is assumed for accounts without observed answers.
	defaultOutputTokens = 100
)

// Scorer adds the expected wait.
type Scorer struct{}

// Score implements route.Scorer. An endpoint at its concurrency limit costs at
// least the time until enough running answers have ended; their length is the observed
// one, because max_tokens says little about it.
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
