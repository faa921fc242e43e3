package route

import (
	"cmp"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citrontiller/citrontiller/member"
)

// paceSettle is the time from the first load report of this process during which
// endpoints that appear, and changes of them, are what the process learns at its start.
const paceSettle = 5 * time.Second

// PaceChange is a step of an endpoint's pace, for the log.
type PaceChange struct {
	Endpoint, Service string
	Step              PaceStep
	Reason            PaceReason
	// Window is the largest number of pending uncached prompt tokens.
	Window  float64
	Answers PaceAnswers
}

// pacing is the state of a tracker that paces endpoints.
type pacing struct {
	// onChange receives each step of a pace.
	onChange func(PaceChange)
	// firstReportAt is the time of the first load report.
	firstReportAt time.Time
	// starts holds the last start by endpoint id and by address.
	starts   *lru.Cache[string, endpointStart]
	lateness lateness
}

// PaceEndpoints turns on the pace of started and recovered endpoints. It must be called
// before the first report. onChange receives each step; it must not block or call the
// tracker.
func (t *Tracker) PaceEndpoints(onChange func(PaceChange)) {
	starts, err := lru.New[string, endpointStart](maxStarts)
	if err != nil {
		panic(err) // lru.New fails only if the size is below 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pacing = &pacing{onChange: onChange, starts: starts, lateness: newLateness()}
}

// PacedEndpoints returns the number of endpoints that take work at a pace.
func (t *Tracker) PacedEndpoints(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.endpoints {
		if s.pace.opened() && s.pace.endStep(now) == "" {
			n++
		}
	}
	return n
}

// record records a load report and begins a pace if the report shows a start or other
// weights. The caller must hold mu.
func (t *Tracker) record(s *endpointState, r Report, now time.Time) {
	first, before := s.reportKey == nil, s.load
	s.report(r, now)
	if t.pacing == nil || r.Key == nil {
		return
	}
	if t.pacing.firstReportAt.IsZero() {
		t.pacing.firstReportAt = now
	}
	switch {
	case first, bootOf(before) != bootOf(s.load):
		s.newestWeights = nil
		t.beginPace(s, PaceStarted, now)
	case s.hasNewerWeights():
		// A list entry may name older weights for a while.
		t.beginPace(s, PaceWeights, now)
	}
	s.noteWeights()
}

// hasNewerWeights reports whether the load names newer weights of a model than the incarnation
// has reported before.
func (s *endpointState) hasNewerWeights() bool {
	for model, v := range s.load.versions() {
		if newest := s.newestWeights[model]; newest > 0 && v > newest {
			return true
		}
	}
	return false
}

// noteWeights records the versions of the weights that the load names.
func (s *endpointState) noteWeights() {
	for model, v := range s.load.versions() {
		if v <= s.newestWeights[model] {
			continue
		}
		if s.newestWeights == nil {
			s.newestWeights = map[string]int64{}
		}
		s.newestWeights[model] = v
	}
}

// versions returns the versions of the weights by model; the model is empty if there is one
// version for all.
func (l Load) versions() map[string]int64 {
	if l.ModelVersions == nil && l.WeightsVersion > 0 {
		return map[string]int64{"": l.WeightsVersion}
	}
	return l.ModelVersions
}

// bootOf returns the part of a load's BootID that identifies the incarnation. What follows
// the last slash is the version of the weights.
func bootOf(l Load) string {
	if i := strings.LastIndexByte(l.BootID, '/'); i >= 0 {
		return l.BootID[:i]
	}
	return l.BootID
}

// beginPace begins a pace with the endpoint's next request. A recovery within a pace has no
// effect. The caller must hold mu.
func (t *Tracker) beginPace(s *endpointState, reason PaceReason, now time.Time) {
	if t.pacing == nil || now.Sub(t.pacing.firstReportAt) < paceSettle {
		return
	}
	recovery := reason == PaceEjection || reason == PacePause
	if recovery && s.pace != nil {
		return
	}
	s.pace = &pace{reason: reason, judgedFrom: now}
}

// observePause begins a pace when a pause that kept requests away is over. The caller must
// hold mu.
func (t *Tracker) observePause(s *endpointState, now time.Time) {
	paused := now.Before(s.pausedUntil)
	if s.paused && !paused {
		t.beginPace(s, PacePause, now)
	}
	s.paused = paused
}

// applyPace sets Paced and AtPace of a candidate for a request. The caller must hold mu.
func (t *Tracker) applyPace(r *Request, e *Endpoint, s *endpointState, now time.Time) {
	if e.State != member.Ready {
		s.pace.limitedAt = now // it can't be the limit before it is ready
		return
	}
	uncached := e.UncachedTokens(r.Tokens)
	if !s.pace.opened() && !t.openPaceFor(r, e, s, uncached, now) {
		return
	}
	if step := s.pace.endStep(now); step != "" {
		t.paceChanged(s, step)
		return
	}
	e.Paced = true
	e.AtPace = !s.pace.admits(uncached, now)
}

// openPaceFor opens the first window of a ready endpoint. It returns false for requests
// without a prompt. The caller must hold mu.
func (t *Tracker) openPaceFor(r *Request, e *Endpoint, s *endpointState, uncached float64, now time.Time) bool {
	usual := cmp.Or(t.usualPrefills[r.Service], uncached)
	if usual <= 0 || r.Tokens == 0 {
		return false
	}
	s.service, s.address = r.Service, e.Address
	t.openPace(s, usual, now)
	return true
}

// openPaceForRemote opens the first window of an endpoint to which another process has
// sent a prompt, so that the windows of all processes follow from the same answers. The
// caller must hold mu.
func (t *Tracker) openPaceForRemote(s *endpointState, now time.Time) {
	usual := t.usualPrefills[s.service]
	if s.pace == nil || s.pace.opened() || usual <= 0 {
		return
	}
	t.openPace(s, usual, now)
}

// openPace opens the first window. The caller must hold mu.
func (t *Tracker) openPace(s *endpointState, usual float64, now time.Time) {
	crashes := 0
	if s.pace.reason == PaceStarted {
		crashes = t.pacing.countStart(s, now)
	}
	s.pace.open(usual, crashes, now)
	t.paceChanged(s, PaceBegin)
}

// applyWindows records which candidates are excluded by their window. If more than half of
// the candidates that can take work are paced, the others can't take the work of these, so
// that none is excluded. The caller must hold mu.
func (t *Tracker) applyWindows(candidates []Endpoint, now time.Time) {
	usable, paced := 0, 0
	for i := range candidates {
		e := &candidates[i]
		if e.State != member.Ready || e.Ejected || e.UnavailableFor() > 0 {
			continue
		}
		usable++
		if e.Paced {
			paced++
		}
	}
	suspended := 2*paced > usable
	for i := range candidates {
		e := &candidates[i]
		switch {
		case !e.Paced:
		case suspended:
			e.AtPace = false
			t.endpoints[e.ID].pace.suspend(now)
		case e.AtPace:
			t.endpoints[e.ID].pace.exclude(now)
		}
	}
}

// predictedMs returns the predicted time to first token of another process's request in
// milliseconds.
func (s *endpointState) predictedMs(e Event, now time.Time) float64 {
	return paceBaseMs + ms(e.TransitTime) + s.backlog.wait(e.Rank, now) + e.UncachedTokens*s.backlog.currentTokenMs()
}

// pacePrefill records a prompt sent to a paced endpoint. The caller must hold mu.
func (t *Tracker) pacePrefill(s *endpointState, key dispatchKey, tokens float64, p prediction) {
	if s.pace == nil {
		return
	}
	after := t.pacing.lateness.spreads[s.service].lateAfter(p.predictedMs)
	s.pace.sent(pacedPrefill{key: key, tokens: tokens, sentAt: p.sentAt, lateAfter: after})
}

// paceRemotePrefill records another process's dispatch of a prompt. The caller must hold mu.
func (t *Tracker) paceRemotePrefill(s *endpointState, key dispatchKey, e Event, now time.Time) {
	if t.pacing == nil {
		return
	}
	p := prediction{sentAt: now, predictedMs: s.predictedMs(e, now)}
	t.pacing.lateness.predictions.Add(key, p)
	t.openPaceForRemote(s, now)
	t.pacePrefill(s, key, e.UncachedTokens, p)
}

// paceRemoteStarted records the first token of another process's request. The caller must
// hold mu.
func (t *Tracker) paceRemoteStarted(s *endpointState, key dispatchKey, now time.Time) {
	if t.pacing == nil {
		return
	}
	if p, ok := t.pacing.lateness.takePrediction(key); ok && s.pace == nil && s.service != "" {
		t.pacing.lateness.observe(s.service, p, now)
	}
	t.paceChanged(s, s.pace.started(key, now))
}

// paceStarted records the first token of an attempt. The caller must hold mu.
func (t *Tracker) paceStarted(a *Attempt, now time.Time) {
	if t.pacing == nil {
		return
	}
	if a.state.pace == nil {
		t.pacing.lateness.observe(a.request.Service, prediction{a.start, a.predictedMs}, now)
	}
	t.paceChanged(a.state, a.state.pace.started(a.key(), now))
}

// paceRemoteEnded records the end of another process's request. The caller must hold mu.
func (t *Tracker) paceRemoteEnded(s *endpointState, key dispatchKey) {
	if t.pacing == nil {
		return
	}
	t.pacing.lateness.predictions.Remove(key)
	s.pace.drop(key)
}

// paceChanged reports a step of an endpoint's pace, and ends the pace if the step does. An
// empty step has no effect. The caller must hold mu.
func (t *Tracker) paceChanged(s *endpointState, step PaceStep) {
	if step == "" {
		return
	}
	if t.pacing.onChange != nil {
		t.pacing.onChange(PaceChange{Endpoint: s.id, Service: s.service, Step: step, Reason: s.pace.reason, Window: s.pace.window, Answers: s.pace.answers})
	}
	switch step {
	case PaceGrown, PaceUnlimited, PaceTimeout:
		s.pace = nil
	}
}
