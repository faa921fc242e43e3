package routesim

import (
	"time"

	"github.com/citrontiller/citrontiller/route"
)

// Properties of the engine model.
const (
	// prefillPerSecond lets a prompt without any cached block meet the first
	// token target on an idle engine; about 4 accelerators share an engine.
	prefillPerSecond = 40_000
	// cacheTokens is the size of an engine's prefix cache.
	cacheTokens = 100_000
	// blockLifetime is the time after which an unused block is evicted.
	blockLifetime = 6 * time.Second
	// slots is the number of requests that an engine runs at a time.
	slots    = 16
	tokenGap = 15 * time.Millisecond
	// overhead is the time to first token besides prefill.
	overhead = 5 * time.Millisecond
)

type block struct {
	used   time.Duration
	tokens int64
}

// engine prefills one request after the other and decodes up to slots at once.
type engine struct {
	cache     map[uint64]block
	size      int64
	queue     []*run
	running   int
	busy      bool
	busyUntil time.Duration
	slowUntil time.Duration
	longUntil time.Duration
}

func newEngine() *engine { return &engine{cache: map[uint64]block{}} }

// lookup returns the cached tokens of a job without changing the cache.
func (e *engine) lookup(j *job, now time.Duration) int64 {
	var cached int64
	for _, l := range j.levels {
		b, ok := e.cache[l.Hash]
		if !ok || now-b.used > blockLifetime {
			break
		}
		cached = l.Tokens
	}
	return cached
}

// store makes the job's levels the most recent and evicts over capacity.
func (e *engine) store(j *job, now time.Duration) {
	var before int64
	for _, l := range j.levels {
		if _, ok := e.cache[l.Hash]; !ok {
			e.size += l.Tokens - before
		}
		e.cache[l.Hash] = block{now, l.Tokens - before}
		before = l.Tokens
	}
	for h, b := range e.cache {
		if now-b.used > blockLifetime {
			e.remove(h)
		}
	}
	for e.size > cacheTokens {
		var oldest uint64
		at := now + 1
		for h, b := range e.cache {
			if b.used < at || (b.used == at && h < oldest) {
				oldest, at = h, b.used
			}
		}
		e.remove(oldest)
	}
}

func (e *engine) remove(h uint64) {
	e.size -= e.cache[h].tokens
	delete(e.cache, h)
}

// load is the report at normal speed: a momentary slowdown shows late, by the
// queue that it causes.
func (e *engine) load(now time.Duration) route.Load {
	wait := max(0, e.busyNominal(now))
	for _, r := range e.queue {
		wait += prefillTime(r.job.tokens - e.lookup(r.job, now))
	}
	return route.Load{BootID: "1", Running: int64(e.running), Queued: int64(len(e.queue)), Limit: slots, Wait: wait,
		PrefillTokensPerSecond: prefillPerSecond, BlockLifetime: blockLifetime}
}

func (e *engine) busyNominal(now time.Duration) time.Duration {
	if !e.busy {
		return 0
	}
	rest := e.busyUntil - now
	if now < e.slowUntil {
		rest /= straggleFactor
	}
	return rest
}

func prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillPerSecond * float64(time.Second))
}
