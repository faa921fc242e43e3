// Package quarantine keeps requests that crash endpoints from reaching them again. A part
// of a prompt may crash every endpoint that starts a response to it, whatever else the
// request holds.
//
// A part of a request that was at an endpoint when it crashed is a suspect until a
// response to another request with this part has started. Requests with a suspect are
// sent one at a time, as trials. A part whose trials crash endpoints as well is blocked.
// Parts are known by a hash, so that all parts of a prompt can be remembered, however many
// it has. Gateways tell each other what they observe.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// settleTime is the time in which all gateways report a crash. No trial starts in it.
	settleTime = 200 * time.Millisecond
	// trialTime is the time after which a trial without a result no longer prevents the
	// next one.
	trialTime = 2 * time.Second
	// BlockTime is how long a part is blocked. Engines may have been mended by then.
	BlockTime = 10 * time.Minute
	// maxBlocked bounds the blocked parts.
	maxBlocked = 256
	// maxNamed bounds the parts that an Observer is given by name.
	maxNamed = 4
)

// Part is a part of the prompts of a service.
type Part struct {
	Service string
	// ID identifies the part's text.
	ID string
}

// Key identifies a part by a hash of its service and its id.
type Key uint64

// Key returns the part's key.
func (p Part) Key() Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(p.Service) // never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(p.ID)
	return Key(d.Sum64())
}

// clone returns a copy that doesn't keep the request's headers in memory.
func (p Part) clone() Part {
	return Part{Service: p.Service, ID: strings.Clone(p.ID)}
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
	Key Key
	// Trial is true if the part was a suspect when the request was sent.
	Trial bool
}

// Block is a decision to block a part.
type Block struct {
	Part
	// Crashes are those that the part explains; empty if unknown.
	Crashes []Crash
	// Until is when the block ends.
	Until time.Time
}

// Observer learns what this process has observed or decided. Its methods must not block
// and must not call the Tracker. Of many parts it is given the first ones by name.
type Observer interface {
	// CrashObserved is called with a report of this process.
	CrashObserved(r Report, named []Part)
	// PartsCleared is called when a response to a request with suspects has started.
	PartsCleared(keys []Key, named []Part)
	// PartBlocked is called when this process has decided to block a part.
	PartBlocked(b Block)
	// PartReleased is called when a decision of this process has ended the block of a part.
	PartReleased(p Part)
}

// Tracker holds the suspects and the blocked parts. It is safe for concurrent use.
// Callers pass the present time.
type Tracker struct {
	observer Observer

	mu       sync.Mutex
	suspects suspects
	blocked  *lru.Cache[Key, Block]
	// started holds when a response to a request with a part last started.
	started startTable
}

// New returns an empty tracker.
func New(observer Observer) *Tracker {
	blocked, err := lru.New[Key, Block](maxBlocked)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Tracker{observer: observer, suspects: suspects{}, blocked: blocked}
}

// Counts returns the number of suspects and of blocked parts.
func (t *Tracker) Counts() (suspects, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects), t.blocked.Len()
}

// ApplyReport applies a report of another process. It reports whether it was new.
func (t *Tracker) ApplyReport(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.apply(r, &t.started, now)
}

// Clear removes a part from the suspects, because another process has seen a response to
// it start. It reports whether it was one.
func (t *Tracker) Clear(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.remove(k)
}

// ApplyBlock applies a decision of another process. It reports whether it was new, and
// returns the parts whose blocks it has ended.
func (t *Tracker) ApplyBlock(b Block) (fresh bool, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.blocked.Peek(b.Part.Key())
	if known && !b.Until.After(old.Until) || t.isExplained(b) {
		return false, nil
	}
	return !known, t.block(b)
}

// Unblock ends the block of a part.
func (t *Tracker) Unblock(p Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked.Remove(p.Key())
}

// IsBlocked reports whether a part is blocked.
func (t *Tracker) IsBlocked(p Part, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.blockOf(p.Key(), now)
	return ok
}

// block blocks a part and clears others of the crashes that it explains. It returns the
// parts whose blocks end, because the part explains their crashes and a later one, which
// they didn't prevent. The caller holds mu.
func (t *Tracker) block(b Block) (released []Part) {
	key := b.Part.Key()
	for _, k := range t.blocked.Keys() {
		other, _ := t.blocked.Peek(k)
		if k != key && b.supersedes(other) {
			t.blocked.Remove(k)
			released = append(released, other.Part)
		}
	}
	t.blocked.Add(key, b)
	t.suspects.remove(key)
	t.suspects.explain(b.Crashes)
	return released
}

// isExplained reports whether the block of another part supersedes b. The caller holds mu.
func (t *Tracker) isExplained(b Block) bool {
	return slices.ContainsFunc(t.blocked.Values(), func(other Block) bool { return other.Part != b.Part && other.supersedes(b) })
}

// supersedes reports whether b's part explains all crashes of another block and more.
func (b Block) supersedes(other Block) bool {
	if len(other.Crashes) == 0 || len(b.Crashes) <= len(other.Crashes) {
		return false
	}
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return !slices.Contains(b.Crashes, c) })
}

// blockOf returns the block of a part, or false if it is not blocked. The caller holds mu.
func (t *Tracker) blockOf(k Key, now time.Time) (Block, bool) {
	b, ok := t.blocked.Get(k)
	if ok && !now.Before(b.Until) {
		t.blocked.Remove(k)
		return Block{}, false
	}
	return b, ok
}
