package routesim

import (
	"time"

	"github.com/citrontiller/citrontiller/route"
)

// Properties of the engine model.
const (
	// prefillTokensPerSecond lets an idle engine meet the target for the time to
	// first token with no cached block. An engine has about 4 accelerators.
	prefillTokensPerSecond = 40_000
	// cacheCapacityTokens is the size of an engine's prefix cache.
	cacheCapacityTokens = 100_000
	// blockLifetime is the time after which an unused block is evicted.
	blockLifetime = 6 * time.Second
	// slots is the number of requests that an engine runs at a time.
	slots = 16
	// tokenGap is the time between two output tokens.
	tokenGap = 15 * time.Millisecond
	// firstTokenOverhead is the time to first token without prefill.
	firstTokenOverhead = 5 * time.Millisecond
)

// block is the cached part of one prefix level.
type block struct {
	lastUsed time.Duration
	tokens   int64
}

// engine models an engine that prefills one request at a time and runs up to slots
// requests at once. slowEnd is the end of its last slowdown, longPrefillEnd the end of
// its last prefill of a long request.
type engine struct {
	cache          map[uint64]block
	cachedTokens   int64
	queue          []*dispatch
	running        int
	prefilling     bool
	prefillEnd     time.Duration
	slowEnd        time.Duration
	longPrefillEnd time.Duration
}

func newEngine() *engine { return &engine{cache: map[uint64]block{}} }

// lookup returns the number of cached prompt tokens of a request. It does not
// change the cache.
func (e *engine) lookup(req *request, now time.Duration) int64 {
	var cached int64
	for _, l := range req.levels {
		b, ok := e.cache[l.Hash]
		if !ok || now-b.lastUsed > blockLifetime {
			break
		}
		cached = l.Tokens
	}
	return cached
}

// storeLevels marks the levels of a request as just used and evicts expired blocks,
// then the least recently used ones until the cache is within its capacity.
func (e *engine) storeLevels(req *request, now time.Duration) {
	var parentTokens int64
	for _, l := range req.levels {
		if _, ok := e.cache[l.Hash]; !ok {
			e.cachedTokens += l.Tokens - parentTokens
		}
		e.cache[l.Hash] = block{now, l.Tokens - parentTokens}
		parentTokens = l.Tokens
	}
	for h, b := range e.cache {
		if now-b.lastUsed > blockLifetime {
			e.remove(h)
		}
	}
	for e.cachedTokens > cacheCapacityTokens {
		var oldest uint64
		at := now + 1
		for h, b := range e.cache {
			if b.lastUsed < at || (b.lastUsed == at && h < oldest) {
				oldest, at = h, b.lastUsed
			}
		}
		e.remove(oldest)
	}
}

func (e *engine) remove(h uint64) {
	e.cachedTokens -= e.cache[h].tokens
	delete(e.cache, h)
}

// report returns the engine's load report. It predicts waits at normal speed, so a
// temporary slowdown only shows later, in the length of the queue.
func (e *engine) report(now time.Duration) route.Load {
	wait := max(0, e.remainingPrefill(now))
	for _, r := range e.queue {
		wait += prefillTime(r.request.tokens - e.lookup(r.request, now))
	}
	return route.Load{BootID: "1", Running: int64(e.running), Queued: int64(len(e.queue)), Limit: slots, Wait: wait,
		PrefillTokensPerSecond: prefillTokensPerSecond, BlockLifetime: blockLifetime}
}

// remainingPrefill returns the rest of the running prefill at normal speed.
func (e *engine) remainingPrefill(now time.Duration) time.Duration {
	if !e.prefilling {
		return 0
	}
	rest := e.prefillEnd - now
	if now < e.slowEnd {
		rest /= stragglerSlowdown
	}
	return rest
}

func prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}
