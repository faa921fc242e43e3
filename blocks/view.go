// Package blocks is the agent's view of the blocks in an engine's prefix cache.
// It follows an event stream that is late and has gaps, so that the view is an
// expectation, never a guarantee.
package blocks

import (
	"slices"
	"sync"
	"time"
)

// Kind says what happened to cached blocks.
type Kind uint8

// Kinds of events.
const (
	Stored Kind = iota + 1
	Removed
	Cleared
)

// Block is one cached block.
type Block struct {
	Hash uint64
	// Tokens counts from the start of the prompt to the end of the block.
	Tokens int64
}

// Event is one entry of an engine's event stream. Sequence numbers are
// consecutive within a boot id.
type Event struct {
	Seq    uint64
	BootID string
	Kind   Kind
	Blocks []Block
	// Request is the request that stored the blocks; empty when unknown.
	RequestID string
}

// Level is a nested prefix of a prompt.
type Level struct {
	Hash uint64
	// Tokens counts from the start of the prompt to the end of the level.
	Tokens int64
}

const (
	// maxBlocks bounds the view of one engine. The design size is 36,000 (a
	// fifth of 180,000); the rest is room for engines with unequal caches.
	maxBlocks = 72_000
	// maxLevels bounds the levels mapped to blocks.
	maxLevels = 16_000
	// maxRequests bounds the requests whose levels wait for stored events;
	// older ones are forgotten first.
	maxRequests = 1024
	// maxRetired bounds the boot ids that are remembered as dead.
	maxRetired = 4
	// lossFactor lowers the confidence at a gap, smoothing moves it to the
	// share of expected tokens that the engine reports as cached.
	lossFactor = 0.9
	smoothing  = 0.1
	// lifetimeSmoothing is the weight of a removed block's age.
	lifetimeSmoothing = 0.01
)

// entry is a cached block. It has no pointers, so that the garbage collector
// skips the map.
type entry struct {
	tokens uint32
	// stored is the time in tenths of a second since the view's start.
	stored uint32
}

// mapped is the deepest block of a level.
type mapped struct {
	block  uint64
	tokens uint32
}

// pending is a request whose blocks are not known yet.
type pending struct {
	request string
	levels  []Level
}

// Stats are counters of a view.
type Stats struct {
	Blocks int
	Events uint64
	// Gaps, Duplicates and Resets count jumps of the sequence number, events
	// seen before or of a dead engine, and new boot ids or cleared caches.
	Gaps, Duplicates, Resets uint64
	// Confidence is the expected share of known blocks that are still cached.
	Confidence float64
	// Lifetime is the observed time from storing to removal; zero when unknown.
	Lifetime time.Duration
}

// View is the expected content of one engine's cache. Methods are safe for
// concurrent use.
type View struct {
	mu    sync.Mutex
	start time.Time
	boot  string
	// retired are the last boot ids before boot, whose late events and reports
	// say nothing about the running engine.
	retired    [maxRetired]string
	version    string
	seq        uint64
	blocks     map[uint64]entry
	levels     map[uint64]mapped
	requests   []pending
	next       int
	byRequest  map[string]int
	stats      Stats
	confidence float64
	lifetime   float64 // seconds
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{start: time.Now(), byRequest: map[string]int{}}
	v.clear()
	return v
}

// clear forgets every block. The caller holds mu, except NewView.
func (v *View) clear() {
	v.blocks = map[uint64]entry{}
	v.levels = map[uint64]mapped{}
	v.confidence = 1
}

// SetEngine clears the view when the engine has another boot id or weights
// version. Blocks of other weights must never be expected in the cache.
func (v *View) SetEngine(boot, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Contains(v.retired[:], boot) && boot != "" {
		return
	}
	if boot != v.boot {
		v.restart(boot)
	}
	if version != v.version {
		if v.version != "" {
			v.reset()
		}
		v.version = version
	}
}

func (v *View) restart(boot string) {
	if v.boot != "" {
		v.reset()
		copy(v.retired[1:], v.retired[:])
		v.retired[0] = v.boot
	}
	v.boot, v.seq = boot, 0
}

func (v *View) reset() {
	v.clear()
	v.stats.Resets++
}

// Seq returns the last sequence number, from which the stream continues.
func (v *View) LastSeq() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seq
}

// Expect announces a request whose stored blocks will be events with its id.
func (v *View) RegisterRequest(request string, levels []Level) {
	if len(levels) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.requests) < maxRequests {
		v.requests = append(v.requests, pending{request, levels})
		v.byRequest[request] = len(v.requests) - 1
		return
	}
	if i, ok := v.byRequest[v.requests[v.next].request]; ok && i == v.next {
		delete(v.byRequest, v.requests[v.next].request)
	}
	v.requests[v.next] = pending{request, levels}
	v.byRequest[request] = v.next
	v.next = (v.next + 1) % maxRequests
}

// Apply records an event. Events that were seen before are ignored; events of
// another boot id clear the view first.
func (v *View) Apply(e Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Contains(v.retired[:], e.BootID) && e.BootID != "" {
		v.stats.Duplicates++
		return
	}
	if e.BootID != v.boot {
		v.restart(e.BootID)
	}
	if e.Seq <= v.seq {
		v.stats.Duplicates++
		return
	}
	if e.Seq != v.seq+1 && v.seq != 0 {
		v.stats.Gaps++
		v.confidence *= lossFactor
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

func (v *View) now() uint32 { return uint32(time.Since(v.start) / (100 * time.Millisecond)) }

func (v *View) store(e Event) {
	now := v.now()
	for _, b := range e.Blocks {
		if len(v.blocks) >= maxBlocks {
			evict(v.blocks)
		}
		v.blocks[b.Hash] = entry{tokens: uint32(b.Tokens), stored: now}
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
			evict(v.levels)
		}
		v.levels[l.Hash] = mapped{block: deepest.Hash, tokens: uint32(deepest.Tokens)}
	}
}

// evict removes an arbitrary element of a full map. The event that would have
// removed it may have been lost; an exact order would cost memory per block.
func evict[V any](m map[uint64]V) {
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
		age := float64(now-e.stored) / 10
		if v.lifetime == 0 {
			v.lifetime = age
		}
		v.lifetime += (age - v.lifetime) * lifetimeSmoothing
	}
}

// Cached returns the expected number of prompt tokens in the cache, lowered by
// the confidence.
func (v *View) CachedTokens(levels []Level) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return int64(float64(v.known(levels)) * v.confidence)
}

// known returns the tokens of the deepest level whose block is in the view.
func (v *View) known(levels []Level) int64 {
	for i := len(levels) - 1; i >= 0; i-- {
		m, ok := v.levels[levels[i].Hash]
		if !ok {
			continue
		}
		if _, ok := v.blocks[m.block]; ok {
			return int64(m.tokens)
		}
	}
	return 0
}

// Correct compares what was expected for a request with the cached tokens the
// engine reported for it. expected is Cached's answer at dispatch.
func (v *View) Reconcile(levels []Level, expected, reported int64) {
	if expected <= 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	share := min(1, float64(reported)*v.confidence/float64(expected))
	v.confidence += (share - v.confidence) * smoothing
	if reported > 0 {
		return
	}
	for _, l := range levels {
		if m, ok := v.levels[l.Hash]; ok {
			delete(v.blocks, m.block)
		}
	}
}

// Stats returns the counters.
func (v *View) Stats() Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.stats
	s.Blocks, s.Confidence = len(v.blocks), v.confidence
	s.Lifetime = time.Duration(v.lifetime * float64(time.Second))
	return s
}
