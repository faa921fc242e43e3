package route

import "math"

const (
	// defaultTokenMs is the time per prompt token before any observation.
	defaultTokenMs = 1000.0 / DefaultPrefillTokensPerSecond
	// tokenTimeWindowMs is the time constant of the moving average, in milliseconds
	// of busy time. tokenTimePriorMs is the busy time for which defaultTokenMs counts
	// as a prior.
	tokenTimeWindowMs, tokenTimePriorMs = 20_000, 100
	// maxTokenTimeFactor bounds the ratio between an observation and the current
	// estimate, in either direction.
	maxTokenTimeFactor = 8
)

// tokenTime estimates the prefill time per prompt token at a service's endpoints
// from observations while they were busy. It is the ratio of exponentially decaying
// sums of times and of tokens. It is kept per service because the estimate of a
// single endpoint is too noisy: an endpoint that appears fast by chance would
// receive more requests than it can handle.
type tokenTime struct{ elapsedMs, tokens float64 }

// observe records the time in which tokens prompt tokens were computed.
func (t *tokenTime) observe(elapsedMs, tokens float64) {
	keep := math.Exp(-elapsedMs / tokenTimeWindowMs)
	t.elapsedMs = t.elapsedMs*keep + elapsedMs
	t.tokens = t.tokens*keep + tokens
}

// tokenMs returns the estimated time per token in milliseconds.
func (t *tokenTime) tokenMs() float64 {
	return (t.elapsedMs + tokenTimePriorMs) / (t.tokens + tokenTimePriorMs/defaultTokenMs)
}

// serviceTokenMs returns the estimated time per prompt token at a service's
// endpoints, in milliseconds. The caller must hold mu.
func (t *Tracker) serviceTokenMs(service string) float64 {
	if p := t.tokenTimes[service]; p != nil {
		return p.tokenMs()
	}
	return defaultTokenMs
}

// observeServed records the prefill that an endpoint completed between two first
// tokens while it was busy. It has no effect for an endpoint that reports its own
// prefill speed. The caller must hold mu.
func (t *Tracker) observeServed(s *endpointState, done served) {
	if done.tokens <= 0 || s.service == "" || s.load.PrefillTokensPerSecond > 0 {
		return
	}
	expected := done.tokens * t.serviceTokenMs(s.service)
	elapsed := min(max(ms(done.elapsed)/max(1, s.load.Slowdown), expected/maxTokenTimeFactor), expected*maxTokenTimeFactor)
	p := t.tokenTimes[s.service]
	if p == nil {
		p = &tokenTime{}
		t.tokenTimes[s.service] = p
	}
	p.observe(elapsed, done.tokens)
	s.backlog.tokenMs = p.tokenMs()
}
