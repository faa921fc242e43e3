package route

import "math"

const (
	// assumedTokenMs is the time for a prompt token where no pace is known.
	assumedTokenMs = 1000.0 / DefaultPrefillTokensPerSecond
	// paceWindowMs is the length of busy time, in milliseconds, over which a
	// service's pace is averaged, and priorPaceMs what the assumed one counts for.
	paceWindowMs, priorPaceMs = 20_000, 100
	// maxPaceFactor bounds how far an observation may be from the pace believed.
	maxPaceFactor = 8
)

// pace is the time for a prompt token at a service's endpoints, observed while
// they were busy: a sum of times over a sum of tokens, in which old ones fade. An
// endpoint's own pace is too noisy: one that seems fast by chance would be sent
// more than it can do.
type pace struct{ elapsedMs, tokens float64 }

// observe takes the time that tokens took.
func (p *pace) observe(elapsedMs, tokens float64) {
	keep := math.Exp(-elapsedMs / paceWindowMs)
	p.elapsedMs = p.elapsedMs*keep + elapsedMs
	p.tokens = p.tokens*keep + tokens
}

// tokenMs returns the time for a token.
func (p *pace) tokenMs() float64 {
	return (p.elapsedMs + priorPaceMs) / (p.tokens + priorPaceMs/assumedTokenMs)
}

// paceOf returns the time for a prompt token at a service's endpoints, in
// milliseconds; the caller holds mu.
func (t *Tracker) paceOf(service string) float64 {
	if p := t.paces[service]; p != nil {
		return p.tokenMs()
	}
	return assumedTokenMs
}

// learn takes what an endpoint has done between two first tokens while it was
// busy; the caller holds mu.
func (t *Tracker) learn(s *endpointState, done served) {
	if done.tokens <= 0 || s.service == "" || s.load.PrefillTokensPerSecond > 0 {
		return
	}
	believed := done.tokens * t.paceOf(s.service)
	elapsed := min(max(ms(done.elapsed)/max(1, s.load.Slowdown), believed/maxPaceFactor), believed*maxPaceFactor)
	p := t.paces[s.service]
	if p == nil {
		p = &pace{}
		t.paces[s.service] = p
	}
	p.observe(elapsed, done.tokens)
	s.backlog.tokenMs = p.tokenMs()
}
