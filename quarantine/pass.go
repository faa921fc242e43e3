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
	// Until is when a blocked request may be sent.
	Until time.Time
	// Pass is set if the request is allowed.
	Pass *Pass
}

// Pass tracks one send of a request. Its end is reported with Started, Crashed or End.
type Pass struct {
	tracker *Tracker
	parts   []Part
	keys    []Key
	sentAt  time.Time
	// trials holds the parts that were suspects at sentAt.
	trials []Key
	// probes holds the parts that were blocked at sentAt.
	probes []Key
	ended  bool
}

// decisions are what a tracker tells its Observer after a change.
type decisions struct {
	blocks   []Block
	released []Part
}

// tell passes decisions on. The caller doesn't hold the tracker's mu.
func (t *Tracker) tell(d decisions) {
	for _, b := range d.blocks {
		t.observer.PartBlocked(b)
	}
	for _, p := range d.released {
		t.observer.PartReleased(p, PartSuperseded)
	}
}

// Enter decides whether a request whose prompt has the given parts may be sent now. The
// caller must not change parts while the pass is in use.
func (t *Tracker) Enter(parts []Part, now time.Time) Decision {
	pass := &Pass{tracker: t, parts: parts, keys: make([]Key, len(parts)), sentAt: now}
	for i, p := range parts {
		pass.keys[i] = p.Key()
	}
	t.mu.Lock()
	decided := t.decide(pass, now)
	verdict := t.enter(pass, now)
	t.mu.Unlock()
	t.tell(decided)
	return verdict
}

// enter returns the verdict on a request. The caller holds mu.
func (t *Tracker) enter(pass *Pass, now time.Time) Decision {
	verdict := Decision{Pass: pass}
	for i, k := range pass.keys {
		if b, ok := t.blockOf(k, now); ok {
			if !t.mayProbe(b, now) {
				return Decision{Verdict: Blocked, Part: pass.parts[i], Until: b.NextTry()}
			}
			pass.probes = append(pass.probes, k)
			continue
		}
		s, ok := t.suspects[k]
		if !ok {
			continue
		}
		if s.busy(now) {
			verdict = Decision{Verdict: Wait, Part: pass.parts[i]}
		}
		pass.trials = append(pass.trials, k)
	}
	if verdict.Verdict != Allowed {
		return verdict
	}
	for _, k := range pass.trials {
		t.suspects[k].trial = pass
	}
	for _, k := range pass.probes {
		t.admitProbe(k, pass)
	}
	return verdict
}

// Sent reports that the request is being sent. It has no effect on a nil pass.
func (p *Pass) Sent(now time.Time) {
	if p == nil || len(p.probes) == 0 {
		return
	}
	t := p.tracker
	var probed []Block
	t.mu.Lock()
	for _, k := range p.probes {
		if b, ok := t.sendProbe(k, now); ok {
			probed = append(probed, b)
		}
	}
	t.mu.Unlock()
	for _, b := range probed {
		t.observer.PartProbed(b)
	}
}

// decide blocks those of the parts that are guilty, the last one first; the caller holds
// mu.
func (t *Tracker) decide(p *Pass, now time.Time) decisions {
	var out decisions
	for len(t.suspects) > 0 {
		i := t.suspects.guilty(p.keys, &t.started, now)
		if i < 0 {
			break
		}
		s := t.suspects[p.keys[i]]
		b, released := t.block(newBlock(p.parts[i], s.all(), s.crashedAt, now))
		out.blocks = append(out.blocks, b)
		out.released = append(out.released, released...)
	}
	return out
}

// Started reports that the endpoint has started the response and has not crashed: the
// parts of the request are no suspects, and not blocked.
func (p *Pass) Started(now time.Time) {
	t := p.tracker
	t.mu.Lock()
	var cleared []Key
	var named, released []Part
	if !p.ended {
		for i, k := range p.keys {
			t.started.add(k, now)
			known, ended := t.clear(k)
			if !known {
				continue
			}
			cleared = append(cleared, k)
			named = appendNamed(named, p.parts[i])
			released = append(released, ended...)
		}
		p.ended = true
	}
	t.mu.Unlock()
	if len(cleared) > 0 {
		t.observer.PartsCleared(cleared, named)
	}
	for _, part := range released {
		t.observer.PartReleased(part, PartStarted)
	}
}

// Crashed reports that the endpoint crashed before it started the response, or while it
// did. Parts of which another response has started since the request was sent are no
// suspects, and those that are known to have been in the crash are not reported again.
func (p *Pass) Crashed(c Crash, now time.Time) {
	t := p.tracker
	t.mu.Lock()
	r, changed := Report{Crash: c}, false
	var named []Part
	var decided decisions
	if !p.ended {
		decided = p.extendProbed(c, now)
		trials := p.trials // in the order of keys
		for i, k := range p.keys {
			trial := len(trials) > 0 && trials[0] == k
			if trial {
				trials = trials[1:]
			}
			if slices.Contains(p.probes, k) || t.started.since(k, p.sentAt) || t.suspects.inCrash(k, c) {
				continue
			}
			r.Suspects = append(r.Suspects, Suspect{Key: k, Trial: trial})
			named = appendNamed(named, p.parts[i])
		}
		changed = t.suspects.apply(r, &t.started, now)
		p.end()
	}
	t.mu.Unlock()
	if changed {
		t.observer.CrashObserved(r, named)
	}
	t.tell(decided)
}

// extendProbed extends the blocks that the request was a probe of, unless a response to the
// part has started since it was sent. The caller holds the tracker's mu.
func (p *Pass) extendProbed(c Crash, now time.Time) decisions {
	var out decisions
	for _, k := range p.probes {
		state, ok := p.tracker.blockOf(k, now)
		if !ok {
			continue
		}
		b, released := p.tracker.extend(state.Block, c, now)
		out.blocks = append(out.blocks, b)
		out.released = append(out.released, released...)
	}
	return out
}

// appendNamed appends a part to those that an Observer is given by name.
func appendNamed(named []Part, p Part) []Part {
	if len(named) >= maxNamed {
		return named
	}
	return append(named, p)
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
	for _, k := range p.trials {
		if s, ok := p.tracker.suspects[k]; ok && s.trial == p {
			s.trial = nil
		}
	}
}
