// Package quarantine keeps requests that crash endpoints from reaching them again. A part
// of a prompt may crash every endpoint that starts a response to it, whatever else the
// request holds.
//
// A part of a request that was at an endpoint when it crashed is a suspect until a
// response to another request with this part has started. Requests with a suspect are
// sent one at a time, as trials. A part whose trials crash endpoints as well is blocked.
// Endpoints may have crashed for other reasons all the same, so a blocked part is probed: at
// growing intervals one request of the fleet is sent, and a response that starts ends the block.
// Parts are known by a hash, so that all parts of a prompt can be remembered, however many
// it has. Gateways tell each other what they observe.
package quarantine

import (
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

// Observer learns what this process has observed or decided. Its methods must not block
// and must not call the Tracker. Of many parts it is given the first ones by name.
type Observer interface {
	// CrashObserved is called with a report of this process.
	CrashObserved(r Report, named []Part)
	// PartsCleared is called when a response to a request with suspects has started.
	PartsCleared(keys []Key, named []Part)
	// PartBlocked is called when this process has decided to block a part, and when its probe
	// of a blocked part has crashed an endpoint.
	PartBlocked(b Block)
	// PartProbed is called when this process sends a request with a blocked part. The block
	// names the time of the next probe.
	PartProbed(b Block)
	// PartReleased is called when this process has ended the block of a part.
	PartReleased(p Part, cause ReleaseCause)
}

// Tracker holds the suspects and the blocked parts. It is safe for concurrent use.
// Callers pass the present time.
type Tracker struct {
	// ProbeTurn returns this process's place, from 0, in the order in which the gateways of the
	// fleet may probe a part. nil means that there are no others. It must not call the Tracker.
	ProbeTurn func(k Key) int

	observer Observer

	mu       sync.Mutex
	suspects suspects
	blocked  *lru.Cache[Key, blockState]
	// ended holds until when the blocks would have lasted that a response has ended.
	ended *lru.Cache[Key, time.Time]
	// started holds when a response to a request with a part last started.
	started startTable
}

// New returns an empty tracker.
func New(observer Observer) *Tracker {
	return &Tracker{observer: observer, suspects: suspects{}, blocked: newCache[blockState](), ended: newCache[time.Time]()}
}

// newCache returns a cache of maxBlocked parts.
func newCache[V any]() *lru.Cache[Key, V] {
	c, err := lru.New[Key, V](maxBlocked)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return c
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

// Clear ends the suspicion against a part and its block, because another process has seen a
// response to it start. It reports whether there was one, and returns the part if it was blocked.
func (t *Tracker) Clear(k Key) (known bool, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(k)
}

// clear is Clear; the caller holds mu.
func (t *Tracker) clear(k Key) (known bool, released []Part) {
	known = t.suspects.remove(k)
	if b, ok := t.blocked.Peek(k); ok {
		t.blocked.Remove(k)
		t.ended.Add(k, b.Until)
		return true, []Part{b.Part}
	}
	return known, nil
}
