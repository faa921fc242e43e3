// Package quarantine keeps requests that crash endpoints from reaching them again. A part
// of a prompt may crash every endpoint that starts a response to it, whatever else the
// request holds.
//
// A part of a request that was at an endpoint when it crashed is a suspect until a
// response to another request with this part has started. Requests with a suspect are
// sent one at a time, as trials. A part whose trials crash endpoints as well is blocked.
// Gateways tell each other what they observe.
package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// minCrashes is the number of crashes from which a part is blocked: the first one
	// makes it a suspect, the others are those of its trials.
	minCrashes = 2
	// undecidedCrashes is the number of crashes from which a part is blocked even if
	// another part explains them as well.
	undecidedCrashes = 4
	// settleTime is the time in which all gateways report a crash. No trial starts in it.
	settleTime = 200 * time.Millisecond
	// trialTime is the time after which a trial without a result no longer prevents the
	// next one.
	trialTime = 2 * time.Second
	// BlockTime is how long a part is blocked. Engines may have been mended by then.
	BlockTime = 10 * time.Minute
	// maxSuspects, maxBlocked and maxStarted bound the parts that are remembered.
	maxSuspects = 1024
	maxBlocked  = 256
	maxStarted  = 8192
)

// Part is a part of the prompts of a service.
type Part struct {
	Service string
	// ID identifies the part's text.
	ID string
}

// Crash identifies the crash of an endpoint.
type Crash struct {
	Endpoint string `json:"endpoint"`
	// BootID identifies the incarnation that crashed.
	BootID string `json:"boot_id"`
}

// Report names the suspects of one request that was at an endpoint when it crashed.
type Report struct {
	Crash    Crash
	Suspects []Suspect
}

// Suspect is a part in a report.
type Suspect struct {
	Part
	// Trial is true if the part was a suspect when the request was sent.
	Trial bool
}

// Block is a decision to block a part.
type Block struct {
	Part
	// Crashes are those from which it was decided; empty if unknown.
	Crashes []Crash
	// Until is when the block ends.
	Until time.Time
}

// Observer learns what this process has observed or decided. Its methods must not block
// and must not call the Tracker.
type Observer interface {
	// CrashObserved is called with a report of this process.
	CrashObserved(r Report)
	// PartCleared is called when a response to a request with a suspect has started.
	PartCleared(p Part)
	// PartBlocked is called when this process has decided to block a part.
	PartBlocked(b Block)
}

// Tracker holds the suspects and the blocked parts. It is safe for concurrent use.
// Callers pass the present time.
type Tracker struct {
	observer Observer

	mu       sync.Mutex
	suspects *lru.Cache[Part, *suspect]
	blocked  *lru.Cache[Part, time.Time]
	// started holds when a response to a request with a part last started.
	started *lru.Cache[Part, time.Time]
}

// suspect is the evidence against a part since a response to it last started.
type suspect struct {
	crashes []Crash
	// crashedAt is the time of the last report.
	crashedAt time.Time
	// trial is the request on trial, nil for none.
	trial *Pass
}

// New returns an empty tracker.
func New(observer Observer) *Tracker {
	return &Tracker{observer: observer, suspects: newCache[*suspect](maxSuspects), blocked: newCache[time.Time](maxBlocked), started: newCache[time.Time](maxStarted)}
}

// newCache returns a cache that keeps the size most recently used entries.
func newCache[V any](size int) *lru.Cache[Part, V] {
	c, err := lru.New[Part, V](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return c
}

// Counts returns the number of suspects and of blocked parts.
func (t *Tracker) Counts() (suspects, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Len(), t.blocked.Len()
}

// ApplyReport applies a report of another process. It reports whether it was new.
func (t *Tracker) ApplyReport(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(r, now)
}

// apply records a report; the caller holds mu.
func (t *Tracker) apply(r Report, now time.Time) bool {
	changed := false
	for _, reported := range r.Suspects {
		s, known := t.suspects.Get(reported.Part)
		switch {
		case !known:
			s = &suspect{}
			t.suspects.Add(reported.Part, s)
		case slices.Contains(s.crashes, r.Crash):
			continue
		case !reported.Trial:
			// The request was sent before the part was suspected. Several endpoints may
			// crash together for another reason, with requests that share parts.
			continue
		}
		s.crashes = append(s.crashes, r.Crash)
		s.crashedAt = now
		changed = true
	}
	return changed
}

// Clear removes a part from the suspects, because another process has seen a response to
// it start. It reports whether it was one.
func (t *Tracker) Clear(p Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Remove(p)
}

// ApplyBlock applies a decision of another process. It reports whether it was new.
func (t *Tracker) ApplyBlock(b Block) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, known := t.blocked.Peek(b.Part)
	if known && !b.Until.After(until) {
		return false
	}
	t.block(b)
	return !known
}

// Unblock ends the block of a part.
func (t *Tracker) Unblock(p Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked.Remove(p)
}

// block blocks a part and clears others of the crashes that it explains. A part with as
// much evidence stays a suspect: if its next trial crashes an endpoint as well, it is
// blocked too. The caller holds mu.
func (t *Tracker) block(b Block) {
	t.blocked.Add(b.Part, b.Until)
	t.suspects.Remove(b.Part)
	for _, p := range t.suspects.Keys() {
		s, _ := t.suspects.Peek(p)
		unexplained := slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return slices.Contains(b.Crashes, c) })
		switch {
		case len(unexplained) > 0:
			s.crashes = unexplained
		case len(s.crashes) >= minCrashes:
			s.crashes = s.crashes[:1]
		default:
			t.suspects.Remove(p)
		}
	}
}

// blockedUntil returns when the block of a part ends, or false if it is not blocked. The
// caller holds mu.
func (t *Tracker) blockedUntil(p Part, now time.Time) (time.Time, bool) {
	until, ok := t.blocked.Get(p)
	if ok && !now.Before(until) {
		t.blocked.Remove(p)
		return time.Time{}, false
	}
	return until, ok
}

// guilty reports whether a suspect is to be blocked: its trials crashed endpoints, and no
// other suspect explains the last crash as well, except for the parts of the same prompt
// before it, which more requests share. The caller holds mu.
func (t *Tracker) guilty(p Part, s *suspect, before []Part) bool {
	if len(s.crashes) < minCrashes || len(s.crashes) >= undecidedCrashes {
		return len(s.crashes) >= undecidedCrashes
	}
	last := s.crashes[len(s.crashes)-1]
	for _, q := range t.suspects.Keys() {
		other, _ := t.suspects.Peek(q)
		if q == p || !slices.Contains(other.crashes, last) || t.likelier(p, s, q, other) {
			continue
		}
		if !slices.Contains(before, q) || t.likelier(q, other, p, s) {
			return false
		}
	}
	return true
}

// likelier reports whether p rather than q has caused the crash that they share: p was in
// more crashes, or no response to it is known to have started before. The caller holds mu.
func (t *Tracker) likelier(p Part, s *suspect, q Part, other *suspect) bool {
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) > len(other.crashes)
	}
	return !t.started.Contains(p) && t.started.Contains(q)
}
