package quarantine

import "time"

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
	keys    []Key
	sentAt  time.Time
	// trials holds the parts that were suspects at sentAt.
	trials []Key
	ended  bool
}

// Enter decides whether a request whose prompt has the given parts may be sent now. The
// caller must not change parts while the pass is in use.
func (t *Tracker) Enter(parts []Part, now time.Time) Decision {
	d, blocks, released := t.enter(parts, now)
	for _, b := range blocks {
		t.observer.PartBlocked(b)
	}
	for _, p := range released {
		t.observer.PartReleased(p)
	}
	return d
}

// enter is Enter; it also returns the blocks that it has decided and ended.
func (t *Tracker) enter(parts []Part, now time.Time) (Decision, []Block, []Part) {
	pass := &Pass{tracker: t, parts: parts, keys: make([]Key, len(parts)), sentAt: now}
	for i, p := range parts {
		pass.keys[i] = p.Key()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	blocks, released := t.decide(pass, now)
	verdict := Decision{Pass: pass}
	for i, k := range pass.keys {
		if b, ok := t.blockOf(k, now); ok {
			return Decision{Verdict: Blocked, Part: parts[i], Until: b.Until}, blocks, released
		}
		s, ok := t.suspects[k]
		if !ok {
			continue
		}
		if s.busy(now) {
			verdict = Decision{Verdict: Wait, Part: parts[i]}
		}
		pass.trials = append(pass.trials, k)
	}
	if verdict.Verdict == Allowed {
		for _, k := range pass.trials {
			t.suspects[k].trial = pass
		}
	}
	return verdict, blocks, released
}

// decide blocks those of the parts that are guilty, the last one first; the caller holds
// mu.
func (t *Tracker) decide(p *Pass, now time.Time) (blocks []Block, released []Part) {
	for len(t.suspects) > 0 {
		i := t.suspects.guilty(p.keys, &t.started, now)
		if i < 0 {
			break
		}
		b := Block{Part: p.parts[i].clone(), Crashes: t.suspects[p.keys[i]].all(), Until: now.Add(BlockTime)}
		released = append(released, t.block(b)...)
		blocks = append(blocks, b)
	}
	return blocks, released
}

// Started reports that the endpoint has started the response and has not crashed: the
// parts of the request are no suspects.
func (p *Pass) Started(now time.Time) {
	t := p.tracker
	t.mu.Lock()
	var cleared []Key
	var named []Part
	if !p.ended {
		for i, k := range p.keys {
			t.started.add(k, now)
			if !t.suspects.remove(k) {
				continue
			}
			cleared = append(cleared, k)
			named = appendNamed(named, p.parts[i])
		}
		p.ended = true
	}
	t.mu.Unlock()
	if len(cleared) > 0 {
		t.observer.PartsCleared(cleared, named)
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
	if !p.ended {
		trials := p.trials // in the order of keys
		for i, k := range p.keys {
			trial := len(trials) > 0 && trials[0] == k
			if trial {
				trials = trials[1:]
			}
			if t.started.since(k, p.sentAt) || t.suspects.inCrash(k, c) {
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
