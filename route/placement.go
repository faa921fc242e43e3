package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// maxPlacementLevels bounds the table. At about 200 bytes per level it uses less
	// than 7 MB of the 32 MB available to the daemon.
	maxPlacementLevels = 32 << 10
	// maxLevelHolders bounds the endpoints recorded per level.
	maxLevelHolders = 6
	// defaultLifetime is the assumed block lifetime until that of an endpoint is
	// known. Engines evict blocks within seconds.
	defaultLifetime = 8 * time.Second
)

// holder records that an endpoint served a level, in which boot and when it was last
// used.
type holder struct {
	state  *endpointState
	bootID string
	usedAt time.Time
}

// placement maps level hashes to the endpoints that served them recently. It is
// guarded by the tracker's mutex.
type placement struct {
	levels *lru.Cache[uint64, []holder]
}

func newPlacement() placement {
	c, err := lru.New[uint64, []holder](maxPlacementLevels)
	if err != nil {
		panic(err) // lru.New fails only if the size is below 1
	}
	return placement{c}
}

// probability returns the probability that the level is still cached at the holder.
// It stays near 1 for most of the block lifetime, because engines evict the least
// recently used blocks. It is 0 after a restart of the engine.
func (h *holder) probability(now time.Time) float64 {
	if h.bootID != h.state.load.BootID {
		return 0
	}
	x := float64(now.Sub(h.usedAt)) / float64(h.state.lifetime())
	return max(0, 1-x*x*x*x)
}

// expect computes the expected number of cached prompt tokens at each holder and
// records it for a snapshot.
func (p placement) expect(levels []prefix.Level, now time.Time, snapshot uint64) {
	// chains holds, by endpoint, the lowest probability among the levels so far: a
	// level is usable only if all shorter ones are cached too.
	chains := map[*endpointState]float64{}
	var before int64
	for i, l := range levels {
		holders, ok := p.levels.Get(l.Hash)
		if !ok {
			return
		}
		for j := range holders {
			h := &holders[j]
			chain, seen := chains[h.state]
			if i > 0 && !seen {
				// An endpoint that holds a longer level also holds the shorter
				// ones. Its entry there was evicted by other holders of a
				// frequently used level.
				h.state.addExpected(float64(before)*h.probability(now), snapshot)
				chain = 1
			}
			if i == 0 {
				chain = 1
			}
			chain = min(chain, h.probability(now))
			chains[h.state] = chain
			h.state.addExpected(float64(l.Tokens-before)*chain, snapshot)
		}
		before = l.Tokens
	}
}

// add records that an endpoint holds the levels.
func (p placement) add(levels []prefix.Level, s *endpointState, now time.Time) {
	for _, l := range levels {
		holders, _ := p.levels.Get(l.Hash)
		p.levels.Add(l.Hash, upsertHolder(holders, holder{s, s.load.BootID, now}))
	}
}

// drop removes an endpoint from the holders of a level that it doesn't hold.
func (p placement) drop(l prefix.Level, s *endpointState) {
	holders, _ := p.levels.Peek(l.Hash)
	for i := range holders {
		if holders[i].state == s {
			holders[i] = holders[len(holders)-1]
			p.levels.Add(l.Hash, holders[:len(holders)-1])
			return
		}
	}
}

// upsertHolder adds an endpoint or replaces its entry. If the list is full, it
// replaces the least recently used entry.
func upsertHolder(holders []holder, h holder) []holder {
	oldest := 0
	for i := range holders {
		if holders[i].state == h.state {
			holders[i] = h
			return holders
		}
		if holders[i].usedAt.Before(holders[oldest].usedAt) {
			oldest = i
		}
	}
	if len(holders) < maxLevelHolders {
		return append(holders, h)
	}
	holders[oldest] = h
	return holders
}
