package route

import (
	"slices"
	"time"
)

const (
	// paceFirst is the first window in usual prefills. With one, the endpoint is idle from
	// each first token until the next prompt arrives.
	paceFirst = 2
	// paceEstablished is the window, in usual prefills, above which an endpoint is
	// established: after two growths from the first window.
	paceEstablished = 4
	// paceMinLate is the least number of late answers that halves a window. Some answers of
	// established endpoints are late too, so that a single one is no evidence.
	paceMinLate = 2
	// paceQuiet is the time without an exclusion after which an endpoint is established.
	paceQuiet = 5 * time.Second
	// maxPace bounds the pace of an endpoint that has answered. All answers of one that is slower
	// than its service for good are late; the backlog and the residual limit its work then.
	maxPace = 30 * time.Second
	// paceBaseMs is the assumed time to first token of an idle endpoint with the whole
	// prompt cached, in milliseconds, for requests of other processes.
	paceBaseMs = 30
	// maxPaceScale bounds the factor by which crashes reduce the first window. The smallest
	// window is a usual prefill divided by it.
	maxPaceScale = 8
	// paceStaleAfter is the time after which a prefill is no longer counted as pending: the
	// event of its first token may have been lost.
	paceStaleAfter = 10 * time.Second
)

// PaceReason is the reason why an endpoint takes work at a pace.
type PaceReason string

// Values of PaceReason.
const (
	// PaceStarted means that the endpoint's incarnation is new.
	PaceStarted PaceReason = "started"
	// PaceWeights means that the endpoint has loaded other weights.
	PaceWeights PaceReason = "weights"
	// PaceEjection means that the endpoint was ejected.
	PaceEjection PaceReason = "ejection ended"
	// PacePause means that a pause which the endpoint asked for is over.
	PacePause PaceReason = "pause ended"
)

// PaceStep is a reported step of a pace.
type PaceStep string

// Values of PaceStep.
const (
	// PaceBegin means that the pace begins.
	PaceBegin PaceStep = "begin"
	// PaceLate and PaceRefused mean that late first tokens, or a refusal or failure, have
	// halved the window.
	PaceLate    PaceStep = "halved by late first tokens"
	PaceRefused PaceStep = "halved by refusal or failure"
	// PaceGrown, PaceUnlimited and PaceTimeout mean that the endpoint is established:
	// because its window has grown, has excluded no request for some time, or has lasted
	// for the longest time.
	PaceGrown     PaceStep = "end, grown"
	PaceUnlimited PaceStep = "end, window not reached"
	PaceTimeout   PaceStep = "end, timeout"
)

// PaceAnswers counts an endpoint's answers since its pace began.
type PaceAnswers struct {
	// InTime and Late are numbers of first tokens, Refused that of refusals and failures.
	InTime, Late, Refused int
}

// pacedPrefill is a prompt sent to a paced endpoint whose first token has not been seen.
type pacedPrefill struct {
	key    dispatchKey
	tokens float64
	sentAt time.Time
	// lateAfter is the time from sentAt after which the first token is late.
	lateAfter time.Duration
	// beyond is true if the window was exceeded with this prompt.
	beyond bool
	// ended is true if the request ended without a first token.
	ended bool
}

// late reports whether a first token that arrives now is late.
func (w *pacedPrefill) late(now time.Time) bool { return now.Sub(w.sentAt) > w.lateAfter }

// obsolete reports whether the prefill no longer counts as pending.
func (w *pacedPrefill) obsolete(now time.Time) bool {
	return w.ended && w.late(now) || now.Sub(w.sentAt) > paceStaleAfter
}

// pace bounds the prompt tokens that may be pending at an endpoint that has started or
// recovered. The bound, the window, follows from the endpoint's answers. A nil pace is that
// of an established endpoint.
type pace struct {
	reason PaceReason
	// window is the bound in tokens, 0 until open is called. usual is the usual prefill in
	// tokens.
	window, usual float64
	// answersPerGrowth is the number of windows answered in time that a growth needs.
	answersPerGrowth float64
	// answered is the number of tokens answered in time since the last change of the window,
	// inTime and late are the numbers of first tokens, peak is the largest number of pending
	// tokens, and limited whether a request was excluded.
	answered, peak float64
	inTime, late   int
	limited        bool
	// openedAt is when the window was opened, limitedAt when it last excluded a request.
	openedAt, limitedAt time.Time
	// judgedFrom is the dispatch time from which answers may halve the window: requests sent
	// earlier were admitted by a window that no longer applies.
	judgedFrom time.Time
	pending    []pacedPrefill
	answers    PaceAnswers
}

// opened reports whether the pace is in force.
func (p *pace) opened() bool { return p != nil && p.window > 0 }

// open sets the first window. crashes is the number of earlier starts that each were
// followed by another one soon.
func (p *pace) open(usual float64, crashes int, now time.Time) {
	scale := min(maxPaceScale, float64(int(1)<<crashes))
	p.usual, p.window, p.answersPerGrowth = usual, paceFirst*usual/scale, scale
	p.openedAt, p.limitedAt = now, now
}

// admits reports whether a request with a number of uncached tokens fits into the window.
// One request always does.
func (p *pace) admits(tokens float64, now time.Time) bool {
	pending := p.pendingTokens(now)
	return len(p.pending) == 0 || pending+tokens <= p.window
}

// exclude records that the window excluded a request.
func (p *pace) exclude(now time.Time) { p.limited, p.limitedAt = true, now }

// suspend records that the window is not applied now. Late answers don't halve it then.
func (p *pace) suspend(now time.Time) { p.judgedFrom = now }

// endStep returns the step by which the pace ends at the time now, empty if it continues.
func (p *pace) endStep(now time.Time) PaceStep {
	switch {
	case !p.opened():
		return ""
	case now.Sub(p.limitedAt) > paceQuiet:
		return PaceUnlimited
	case now.Sub(p.openedAt) > maxPace && p.answers.InTime+p.answers.Late > 0:
		return PaceTimeout
	}
	return ""
}

// sent records a dispatch of any process.
func (p *pace) sent(w pacedPrefill) {
	if p == nil {
		return
	}
	w.beyond = !p.admits(w.tokens, w.sentAt)
	p.pending = append(p.pending, w)
	p.peak = max(p.peak, p.pendingTokens(w.sentAt))
}

// started records a first token and returns the step that follows, empty for none.
func (p *pace) started(key dispatchKey, now time.Time) PaceStep {
	w, ok := p.take(key)
	if !ok || !p.opened() {
		return ""
	}
	if w.late(now) {
		return p.startedLate(w, now)
	}
	return p.startedInTime(w.tokens, now)
}

// startedLate records a late first token. The window halves if at least half of the answers
// since its last change were late. A request that was sent beyond the window doesn't count:
// other processes have established the endpoint, or have not heard of each other yet.
func (p *pace) startedLate(w pacedPrefill, now time.Time) PaceStep {
	p.answers.Late++
	if w.beyond || w.sentAt.Before(p.judgedFrom) {
		return ""
	}
	p.late++
	if p.late < paceMinLate || p.late < p.inTime {
		return ""
	}
	return p.halve(w.sentAt, PaceLate, now)
}

// startedInTime records a first token in time. The window grows if enough tokens were
// answered in time and most answers since its last change were.
func (p *pace) startedInTime(tokens float64, now time.Time) PaceStep {
	p.answers.InTime++
	p.inTime++
	p.answered += min(tokens, p.window)
	if p.answered < p.window*p.answersPerGrowth || p.inTime <= p.late || !p.used() {
		return ""
	}
	p.setWindow(2*p.window, now)
	if p.window > paceEstablished*p.usual {
		return PaceGrown
	}
	return ""
}

// refused records a refusal or failure of a request that was sent at a time, and returns
// the step that follows, empty for none.
func (p *pace) refused(key dispatchKey, sentAt, now time.Time) PaceStep {
	p.drop(key)
	if !p.opened() {
		return ""
	}
	p.answers.Refused++
	return p.halve(sentAt, PaceRefused, now)
}

// drop records that a request ended without a first token. It stays pending until its first
// token would be late; otherwise an endpoint that fails at once would get the most requests.
func (p *pace) drop(key dispatchKey) {
	if i := p.index(key); i >= 0 {
		p.pending[i].ended = true
	}
}

// dropSender removes the requests that a process has dispatched.
func (p *pace) dropSender(sender string) {
	if p == nil {
		return
	}
	p.pending = slices.DeleteFunc(p.pending, func(w pacedPrefill) bool { return w.key.sender == sender })
}

// used reports whether the window was in use since its last change, so that its answers
// tell something about a larger one.
func (p *pace) used() bool { return p.limited || p.peak >= p.window/2 }

// halve halves the window, down to the smallest one, for an answer to a request that was
// sent at a time. It returns the step, empty if the window stays.
func (p *pace) halve(sentAt time.Time, step PaceStep, now time.Time) PaceStep {
	if sentAt.Before(p.judgedFrom) {
		return ""
	}
	p.judgedFrom = now
	before := p.window
	p.setWindow(max(p.usual/maxPaceScale, p.window/2), now)
	if p.window == before {
		return ""
	}
	return step
}

func (p *pace) setWindow(tokens float64, now time.Time) {
	p.window, p.answered, p.limited = tokens, 0, false
	p.inTime, p.late = 0, 0
	p.peak = p.pendingTokens(now)
}

// take removes a pending prefill and returns it, false if there is none.
func (p *pace) take(key dispatchKey) (pacedPrefill, bool) {
	i := p.index(key)
	if i < 0 {
		return pacedPrefill{}, false
	}
	w := p.pending[i]
	p.pending = slices.Delete(p.pending, i, i+1)
	return w, true
}

// index returns the position of a prefill in pending, -1 if it is not there.
func (p *pace) index(key dispatchKey) int {
	if p == nil {
		return -1
	}
	return slices.IndexFunc(p.pending, func(w pacedPrefill) bool { return w.key == key })
}

// pendingTokens returns the number of pending tokens. It removes obsolete prefills.
func (p *pace) pendingTokens(now time.Time) float64 {
	p.pending = slices.DeleteFunc(p.pending, func(w pacedPrefill) bool { return w.obsolete(now) })
	var tokens float64
	for i := range p.pending {
		tokens += p.pending[i].tokens
	}
	return tokens
}
