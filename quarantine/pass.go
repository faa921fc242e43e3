package quarantine

import (
	"slices"
	"time"
)

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Allowed requests may be sent.
	Allowed Verdict = iota
	// Wait means that a request with the same suspect is on trial.
	Wait
	// Blocked requests must not be sent.
	Blocked
)

// Decision is the verdict on a request with its reason.
type Decision struct {
	Verdict Verdict
	// Part is the suspect or the blocked part.
	Part Part
	// Until is when the block ends.
	Until time.Time
	// Pass is set if the request is allowed.
	Pass *Pass
}

// Pass tracks one send of a request. Its end is reported with Started, Crashed or End.
type Pass struct {
	tracker *Tracker
	parts   []Part
	sentAt  time.Time
	// trials holds the parts that were suspects at sentAt.
	trials map[Part]bool
	ended  bool
}

// Enter decides whether a request whose prompt has the given parts may be sent now.
func (t *Tracker) Enter(parts []Part, now time.Time) Decision {
	d, blocks := t.enter(parts, now)
	for _, b := range blocks {
		t.observer.PartBlocked(b)
	}
	return d
}

// enter is Enter; it also returns the blocks that it has decided.
func (t *Tracker) enter(parts []Part, now time.Time) (Decision, []Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	blocks := t.decide(parts, now)
	pass := &Pass{tracker: t, parts: parts, sentAt: now, trials: map[Part]bool{}}
	verdict := Decision{Pass: pass}
	for _, p := range parts {
		if until, ok := t.blockedUntil(p, now); ok {
			return Decision{Verdict: Blocked, Part: p, Until: until}, blocks
		}
		s, ok := t.suspects.Get(p)
		if !ok {
			continue
		}
		if s.busy(now) {
			verdict = Decision{Verdict: Wait, Part: p}
		}
		pass.trials[p] = true
	}
	if verdict.Verdict == Allowed {
		for p := range pass.trials {
			s, _ := t.suspects.Peek(p)
			s.trial = pass
		}
	}
	return verdict, blocks
}

// decide blocks those of the parts that are guilty, the last one first; the caller holds
// mu.
func (t *Tracker) decide(parts []Part, now time.Time) []Block {
	var blocks []Block
	for i, p := range slices.Backward(parts) {
		s, ok := t.suspects.Peek(p)
		if !ok || now.Sub(s.crashedAt) < settleTime || !t.guilty(p, s, parts[:i]) {
			continue
		}
		b := Block{Part: p, Crashes: s.crashes, Until: now.Add(BlockTime)}
		t.block(b)
		blocks = append(blocks, b)
	}
	return blocks
}

// busy reports whether no trial may start yet.
func (s *suspect) busy(now time.Time) bool {
	return s.trial != nil && now.Sub(s.trial.sentAt) < trialTime || now.Sub(s.crashedAt) < settleTime
}

// Started reports that the endpoint has started the response and has not crashed: the
// parts of the request are no suspects.
func (p *Pass) Started(now time.Time) {
	t := p.tracker
	t.mu.Lock()
	var cleared []Part
	if !p.ended {
		for _, part := range p.parts {
			t.started.Add(part, now)
			if t.suspects.Remove(part) {
				cleared = append(cleared, part)
			}
		}
		p.ended = true
	}
	t.mu.Unlock()
	for _, part := range cleared {
		t.observer.PartCleared(part)
	}
}

// Crashed reports that the endpoint crashed before it started the response, or while it
// did. Parts of which another response has started since the request was sent are no
// suspects.
func (p *Pass) Crashed(c Crash, now time.Time) {
	t := p.tracker
	t.mu.Lock()
	r, changed := Report{Crash: c}, false
	if !p.ended {
		for _, part := range p.parts {
			if at, ok := t.started.Peek(part); !ok || at.Before(p.sentAt) {
				r.Suspects = append(r.Suspects, Suspect{Part: part, Trial: p.trials[part]})
			}
		}
		changed = t.apply(r, now)
		p.end()
	}
	t.mu.Unlock()
	if changed {
		t.observer.CrashObserved(r)
	}
}

// End reports that the send has ended in any other way. It has no effect after Started or
// Crashed, nor on a nil pass.
func (p *Pass) End() {
	if p == nil {
		return
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.end()
}

// Ended reports whether the result of the send is known.
func (p *Pass) Ended() bool {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	return p.ended
}

// end ends the trials of the pass; the caller holds the tracker's mu.
func (p *Pass) end() {
	p.ended = true
	for part := range p.trials {
		if s, ok := p.tracker.suspects.Peek(part); ok && s.trial == p {
			s.trial = nil
		}
	}
}
