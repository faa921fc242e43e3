package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes from which a part is blocked: the first one
	// makes it a suspect, the others are those of its trials.
	minCrashes = 2
	// undecidedCrashes is the number of crashes from which a part is blocked even if
	// a part of other prompts explains them as well.
	undecidedCrashes = 4
	// maxSuspects bounds the suspects. It exceeds the parts that fit one request's headers.
	maxSuspects = 1 << 14
)

// suspects holds the evidence against parts.
type suspects map[Key]*suspect

// suspect is the evidence against a part since a response to it last started.
type suspect struct {
	// crashes are those that no block explains, the oldest first, and explained the others.
	crashes, explained []*observedCrash
	// crashedAt is the time of the last report.
	crashedAt time.Time
	// trial is the request on trial, nil for none.
	trial *Pass
}

// observedCrash is a crash of which suspects are remembered.
type observedCrash struct {
	Crash
	// incomplete is true if other suspects of the crash were forgotten. One of them may have
	// caused it, so that it proves nothing against the others.
	incomplete bool
}

// busy reports whether no trial may start yet.
func (s *suspect) busy(now time.Time) bool {
	return s.trial != nil && now.Sub(s.trial.sentAt) < trialTime || now.Sub(s.crashedAt) < settleTime
}

// find returns the record of a crash, nil if the part was not in it.
func (s *suspect) find(c Crash) *observedCrash {
	for _, list := range [][]*observedCrash{s.crashes, s.explained} {
		for _, o := range list {
			if o.Crash == c {
				return o
			}
		}
	}
	return nil
}

// all returns all crashes that the part was in.
func (s *suspect) all() []Crash {
	var out []Crash
	for _, o := range slices.Concat(s.explained, s.crashes) {
		out = append(out, o.Crash)
	}
	return out
}

// proofs returns the crashes that count against the part.
func (s *suspect) proofs() []*observedCrash {
	if !slices.ContainsFunc(s.crashes, isIncomplete) {
		return s.crashes
	}
	return slices.DeleteFunc(slices.Clone(s.crashes), isIncomplete)
}

func isIncomplete(o *observedCrash) bool { return o.incomplete }

// remove forgets a part and reports whether it was a suspect.
func (s suspects) remove(k Key) bool {
	_, ok := s[k]
	delete(s, k)
	return ok
}

// apply records a report and reports whether it was new.
func (s suspects) apply(r Report, started *startTable, now time.Time) bool {
	crash := s.crash(r)
	s.makeRoom(r, started)
	changed := false
	for _, reported := range r.Suspects {
		p, known := s[reported.Key]
		switch {
		case !known && len(s) >= maxSuspects:
			crash.incomplete = true
			continue
		case !known:
			p = &suspect{}
			s[reported.Key] = p
		case p.find(r.Crash) != nil:
			continue
		case !reported.Trial:
			// The request was sent before the part was suspected. Several endpoints may
			// crash together for another reason, with requests that share parts.
			continue
		}
		p.crashes = append(p.crashes, crash)
		p.crashedAt = now
		changed = true
	}
	return changed
}

// crash returns the record of a report's crash, which all its suspects share.
func (s suspects) crash(r Report) *observedCrash {
	for _, p := range s {
		if o := p.find(r.Crash); o != nil {
			return o
		}
	}
	return &observedCrash{Crash: r.Crash}
}

// makeRoom forgets suspects if those of a report would exceed maxSuspects: those with the
// weakest evidence first. Their crashes are then incomplete.
func (s suspects) makeRoom(r Report, started *startTable) {
	excess := len(s) - maxSuspects
	for _, reported := range r.Suspects {
		if s[reported.Key] == nil {
			excess++
		}
	}
	if excess <= 0 {
		return
	}
	keys := make([]Key, 0, len(s))
	for k := range s {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if c := rankOf(a, s[a], started).compare(rankOf(b, s[b], started)); c != 0 {
			return c
		}
		return cmp.Or(s[a].crashedAt.Compare(s[b].crashedAt), cmp.Compare(a, b))
	})
	for _, k := range keys[:min(excess, len(keys))] {
		for _, o := range slices.Concat(s[k].crashes, s[k].explained) {
			o.incomplete = true
		}
		delete(s, k)
	}
}

// explain clears the suspects of crashes that a block explains. A part with as much evidence
// stays a suspect: if its next trial crashes an endpoint as well, it is blocked too. The same
// block may be learnt more than once.
func (s suspects) explain(crashes []Crash) {
	for k, p := range s {
		var open, explained []*observedCrash
		for _, o := range p.crashes {
			if slices.Contains(crashes, o.Crash) {
				explained = append(explained, o)
			} else {
				open = append(open, o)
			}
		}
		switch {
		case len(explained) == 0:
			continue
		case len(open) == 0 && len(p.explained)+len(explained) < minCrashes:
			delete(s, k)
			continue
		case len(open) == 0:
			open, explained = explained[:1], explained[1:]
		}
		p.crashes, p.explained = open, append(p.explained, explained...)
	}
}

// rank orders suspects by how likely they have caused a crash that they share.
type rank struct {
	// crashes is the number of unexplained crashes.
	crashes int
	// unseen is true if no response to the part is known to have started.
	unseen bool
}

func rankOf(k Key, s *suspect, started *startTable) rank {
	return rank{len(s.crashes), !started.contains(k)}
}

// compare returns a negative number if r is less likely than o, 0 if they are equally
// likely, else a positive number.
func (r rank) compare(o rank) int {
	switch {
	case r.crashes != o.crashes:
		return cmp.Compare(r.crashes, o.crashes)
	case r.unseen == o.unseen:
		return 0
	case r.unseen:
		return 1
	}
	return -1
}

// guilty returns the index of the part of a prompt to block, -1 for none. It is one whose
// trials crashed endpoints, and no other suspect explains the last crash as well, except
// for the parts of the prompt before it, which more requests share.
func (s suspects) guilty(prompt []Key, started *startTable, now time.Time) int {
	standings := map[Crash]standing{}
	for i, k := range slices.Backward(prompt) {
		p, ok := s[k]
		if !ok || len(p.crashes) < minCrashes || now.Sub(p.crashedAt) < settleTime {
			continue
		}
		proofs := p.proofs()
		if len(proofs) < minCrashes {
			continue
		}
		last := proofs[len(proofs)-1].Crash
		st, ok := standings[last]
		if !ok {
			st = s.standing(last, prompt, started)
			standings[last] = st
		}
		if st.deepest == i && (st.undisputed || len(proofs) >= undecidedCrashes) {
			return i
		}
	}
	return -1
}

// standing is the result of comparing the suspects of a crash with each other.
type standing struct {
	// deepest is the index of the last of the prompt's likeliest parts.
	deepest int
	// undisputed is true if no part outside the prompt is as likely.
	undisputed bool
}

// standing compares the suspects of a crash, of which a prompt has one or more.
func (s suspects) standing(c Crash, prompt []Key, started *startTable) standing {
	var best rank
	st, own := standing{deepest: -1}, map[Key]bool{}
	for i, k := range prompt {
		if !s.inCrash(k, c) {
			continue
		}
		r := rankOf(k, s[k], started)
		if order := r.compare(best); order > 0 {
			best = r
			clear(own)
		} else if order < 0 {
			continue
		}
		own[k], st.deepest = true, i
	}
	st.undisputed = true
	for k, p := range s {
		if !own[k] && p.find(c) != nil && rankOf(k, p, started).compare(best) >= 0 {
			st.undisputed = false
		}
	}
	return st
}

// inCrash reports whether a part is known to have been in a crash.
func (s suspects) inCrash(k Key, c Crash) bool {
	p, ok := s[k]
	return ok && p.find(c) != nil
}
