package gateway

import (
	"sync"
	"time"
)

const (
	// initialPace is the prompt speed assumed of a service's engines before any
	// answer, in tokens a second.
	initialPace = 60_000
	// paceStep is the relative change by one observation, and paceQuantile the
	// share of observations that are faster than the pace believed.
	paceStep     = 0.03
	paceQuantile = 0.2
	// minPaceTokens is the least number of computed tokens that tells the pace:
	// with fewer, the fixed time of an answer dominates.
	minPaceTokens = 1000
	// maxPaceWaitMs is the longest expected wait, in milliseconds, of an answer
	// that tells the pace.
	maxPaceWaitMs = 3
	// answerOverhead is the part of the time to a first token that doesn't depend
	// on the prompt.
	answerOverhead = 25 * time.Millisecond
	// minPace and maxPace bound what is believed.
	minPace, maxPace = 5_000, 2_000_000
)

// paces learns how fast the engines of each service compute prompts, from the
// time to the first token of requests that did not have to wait. It is safe for
// concurrent use.
type paces struct {
	mu sync.Mutex
	// seconds is the usual time for a token, by service.
	seconds map[string]float64
}

// rate returns a service's tokens a second.
func (p *paces) rate(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.seconds[service]; s > 0 {
		return 1 / s
	}
	return initialPace
}

// observe takes an answer whose first token came after a time, with the number
// of tokens that had to be computed and the wait that was expected.
func (p *paces) observe(service string, tokens, waitMs float64, first time.Duration) {
	if tokens < minPaceTokens || waitMs > maxPaceWaitMs || first <= answerOverhead {
		return
	}
	seen := min(1.0/minPace, max(1.0/maxPace, (first-answerOverhead).Seconds()/tokens))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seconds == nil {
		p.seconds = map[string]float64{}
	}
	s := p.seconds[service]
	if s == 0 {
		s = 1.0 / initialPace
	}
	if seen > s {
		p.seconds[service] = s * (1 + paceStep*paceQuantile)
	} else {
		p.seconds[service] = s * (1 - paceStep*(1-paceQuantile))
	}
}
