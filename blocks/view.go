// Package blocks implements the agent's view of the blocks in an engine's prefix
// cache. The view follows an event stream that is delayed and may have gaps, so it
// is an expectation and not a guarantee.
package blocks

import (
	"slices"
	"sync"
	"time"
)

// Kind is the kind of a change to cached blocks.
type Kind uint8

// Kinds of events.
const (
	Stored Kind = iota + 1
	Removed
	// Cleared means that all blocks were removed.
	Cleared
)

// Block is one cached block.
type Block struct {
	Hash uint64
	// Tokens counts from the start of the prompt to the end of the block.
	Tokens int64
}

// Event is one event of an engine's event stream. Sequence numbers are
// consecutive within a boot id.
type Event struct {
	Seq    uint64
	BootID string
	Kind   Kind
	Blocks []Block
	// RequestID is the id of the request that stored the blocks; empty if unknown.
	RequestID string
}

// Level is a nested prefix of a prompt.
type Level struct {
	Hash uint64
	// Tokens counts from the start of the prompt to the end of the level.
	Tokens int64
}

const (
	// maxBlocks bounds the blocks in the view of one engine. The design size is
	// 36,000: 180,000 blocks at an agent with five engines. The rest is headroom for
	// caches of unequal size.
	maxBlocks = 72_000
	// maxLevels bounds the levels mapped to blocks.
	maxLevels = 16_000
	// maxRequests bounds the registered requests whose stored events are expected.
	// The oldest ones are dropped first.
	maxRequests = 1024
	// maxRetiredBootIDs bounds the remembered boot ids of earlier engine runs.
	maxRetiredBootIDs = 4
	// gapConfidenceFactor is multiplied with the confidence at a gap.
	// confidenceSmoothing is the weight of each new observation of the share of
	// expected tokens that the engine reports as cached.
	gapConfidenceFactor = 0.9
	confidenceSmoothing = 0.1
	// lifetimeSmoothing is the weight of each removed block's age in the lifetime.
	lifetimeSmoothing = 0.01
)

// cachedBlock is a cached block. It has no pointers, so that the garbage collector
// does not scan the map.
type cachedBlock struct {
	tokens uint32
	// storedAt is the time in tenths of a second since the view's start.
	storedAt uint32
}

// levelBlock is the deepest block within a level.
type levelBlock struct {
	hash   uint64
	tokens uint32
}

// pendingRequest is a registered request whose stored blocks are expected as
// events.
type pendingRequest struct {
	requestID string
	levels    []Level
}

// Stats are counters of a view.
type Stats struct {
	// Blocks is the number of blocks in the view.
	Blocks int
	// Events counts the applied events.
	Events uint64
	// Gaps counts gaps in the sequence numbers. Duplicates counts ignored events,
	// which are repeated or from an earlier run of the engine. Resets counts the
	// times the view was cleared, for a new boot id or version or a cleared cache.
	Gaps, Duplicates, Resets uint64
	// Confidence is the expected share of the view's blocks that are still cached.
	Confidence float64
	// Lifetime is the smoothed time from storing to removal of a block; zero if
	// unknown.
	Lifetime time.Duration
}

// View is the expected content of one engine's cache. Methods are safe for
// concurrent use.
type View struct {
	mu     sync.Mutex
	start  time.Time
	bootID string
	// retiredBootIDs are the last boot ids before bootID, newest first. Late events
	// and reports with these ids are ignored.
	retiredBootIDs [maxRetiredBootIDs]string
	version        string
	// seq is the sequence number of the last applied event.
	seq    uint64
	blocks map[uint64]cachedBlock // by block hash
	levels map[uint64]levelBlock  // by level hash
	// requests becomes a ring buffer when it has maxRequests elements. nextRequest is
	// then the index of the oldest one. byRequest maps request ids to indexes.
	requests    []pendingRequest
	nextRequest int
	byRequest   map[string]int
	stats       Stats
	confidence  float64
	lifetime    float64 // seconds
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{start: time.Now(), byRequest: map[string]int{}}
	v.clear()
	return v
}

// clear removes all blocks and levels and restores full confidence. The caller
// holds mu, except NewView.
func (v *View) clear() {
	v.blocks = map[uint64]cachedBlock{}
	v.levels = map[uint64]levelBlock{}
	v.confidence = 1
}

// SetEngine clears the view if the engine's boot id or weights version has changed.
// Blocks computed with other weights must never be expected in the cache.
func (v *View) SetEngine(bootID, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Contains(v.retiredBootIDs[:], bootID) && bootID != "" {
		return
	}
	if bootID != v.bootID {
		v.setBootID(bootID)
	}
	if version != v.version {
		if v.version != "" {
			v.reset()
		}
		v.version = version
	}
}

// setBootID records a new run of the engine and clears the view, unless it is the
// first run. The caller holds mu.
func (v *View) setBootID(bootID string) {
	if v.bootID != "" {
		v.reset()
		copy(v.retiredBootIDs[1:], v.retiredBootIDs[:])
		v.retiredBootIDs[0] = v.bootID
	}
	v.bootID, v.seq = bootID, 0
}

func (v *View) reset() {
	v.clear()
	v.stats.Resets++
}

// LastSeq returns the sequence number of the last applied event, after which a new
// stream continues.
func (v *View) LastSeq() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seq
}

// RegisterRequest registers a request and its levels, so that events with its id
// map the levels to the stored blocks.
func (v *View) RegisterRequest(request string, levels []Level) {
	if len(levels) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.requests) < maxRequests {
		v.requests = append(v.requests, pendingRequest{request, levels})
		v.byRequest[request] = len(v.requests) - 1
		return
	}
	if i, ok := v.byRequest[v.requests[v.nextRequest].requestID]; ok && i == v.nextRequest {
		delete(v.byRequest, v.requests[v.nextRequest].requestID)
	}
	v.requests[v.nextRequest] = pendingRequest{request, levels}
	v.byRequest[request] = v.nextRequest
	v.nextRequest = (v.nextRequest + 1) % maxRequests
}

// Apply applies an event. It ignores repeated events and events of an earlier boot
// id. An event with a new boot id clears the view first.
func (v *View) Apply(e Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Contains(v.retiredBootIDs[:], e.BootID) && e.BootID != "" {
		v.stats.Duplicates++
		return
	}
	if e.BootID != v.bootID {
		v.setBootID(e.BootID)
	}
	if e.Seq <= v.seq {
		v.stats.Duplicates++
		return
	}
	if e.Seq != v.seq+1 && v.seq != 0 {
		v.stats.Gaps++
		v.confidence *= gapConfidenceFactor
	}
	v.seq = e.Seq
	v.stats.Events++
	switch e.Kind {
	case Stored:
		v.store(e)
	case Removed:
		v.remove(e.Blocks)
	case Cleared:
		v.reset()
	}
}

// now returns the time since the view's start in tenths of a second.
func (v *View) now() uint32 { return uint32(time.Since(v.start) / (100 * time.Millisecond)) }

func (v *View) store(e Event) {
	now := v.now()
	for _, b := range e.Blocks {
		if len(v.blocks) >= maxBlocks {
			evictAny(v.blocks)
		}
		v.blocks[b.Hash] = cachedBlock{tokens: uint32(b.Tokens), storedAt: now}
	}
	if i, ok := v.byRequest[e.RequestID]; ok {
		v.mapLevels(v.requests[i].levels, e.Blocks)
	}
}

// mapLevels maps each level to the deepest of the blocks that lies within it.
func (v *View) mapLevels(levels []Level, blocks []Block) {
	for _, l := range levels {
		var deepest Block
		for _, b := range blocks {
			if b.Tokens <= l.Tokens && b.Tokens > deepest.Tokens {
				deepest = b
			}
		}
		if deepest.Tokens == 0 {
			continue
		}
		if len(v.levels) >= maxLevels {
			evictAny(v.levels)
		}
		v.levels[l.Hash] = levelBlock{hash: deepest.Hash, tokens: uint32(deepest.Tokens)}
	}
}

// evictAny removes an arbitrary element of a full map. The event that would have
// removed it may have been lost; a defined eviction order would cost memory per
// block.
func evictAny[V any](m map[uint64]V) {
	for k := range m {
		delete(m, k)
		return
	}
}

func (v *View) remove(blocks []Block) {
	now := v.now()
	for _, b := range blocks {
		e, ok := v.blocks[b.Hash]
		if !ok {
			continue
		}
		delete(v.blocks, b.Hash)
		age := float64(now-e.storedAt) / 10
		if v.lifetime == 0 {
			v.lifetime = age
		}
		v.lifetime += (age - v.lifetime) * lifetimeSmoothing
	}
}

// CachedTokens returns the expected number of prompt tokens in the cache, scaled by
// the confidence. The prompt's levels are ordered from shortest to longest.
func (v *View) CachedTokens(levels []Level) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return int64(float64(v.knownTokens(levels)) * v.confidence)
}

// knownTokens returns the tokens of the deepest level whose block is in the view.
// The caller holds mu.
func (v *View) knownTokens(levels []Level) int64 {
	for i := len(levels) - 1; i >= 0; i-- {
		m, ok := v.levels[levels[i].Hash]
		if !ok {
			continue
		}
		if _, ok := v.blocks[m.hash]; ok {
			return int64(m.tokens)
		}
	}
	return 0
}

// Reconcile adjusts the confidence to the cached tokens that the engine reported
// for a request. expected is the result of CachedTokens for the request. If the
// engine reported zero, the blocks of the request's levels are removed from the view.
func (v *View) Reconcile(levels []Level, expected, reported int64) {
	if expected <= 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	share := min(1, float64(reported)*v.confidence/float64(expected))
	v.confidence += (share - v.confidence) * confidenceSmoothing
	if reported > 0 {
		return
	}
	for _, l := range levels {
		if m, ok := v.levels[l.Hash]; ok {
			delete(v.blocks, m.hash)
		}
	}
}

// Stats returns the current counters.
func (v *View) Stats() Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.stats
	s.Blocks, s.Confidence = len(v.blocks), v.confidence
	s.Lifetime = time.Duration(v.lifetime * float64(time.Second))
	return s
}
