package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// placementLevels bounds the table; at about 200 bytes a level it stays
	// under 7 MB of the daemon's 32 MB.
	placementLevels = 32 << 10
	// placementHolders bounds the endpoints remembered per level.
	placementHolders = 6
	// defaultLifetime is assumed until an endpoint's block lifetime is known.
	// Engines evict within seconds.
	defaultLifetime = 8 * time.Second
)

// holder is an endpoint that served a level.
type holder struct {
	state *endpointState
	boot  string
	at    time.Time
}

// placement maps level hashes to the endpoints that served them recently. The
// tracker's lock guards it.
type placement struct {
	levels *lru.Cache[uint64, []holder]
}

func newPlacement() placement {
	c, err := lru.New[uint64, []holder](placementLevels)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return placement{c}
}

// probability is the chance that the holder still has the level. It stays near
// 1 for most of the lifetime, because engines evict the least recently used.
func (h *holder) probability(now time.Time) float64 {
	if h.boot != h.state.load.BootID {
		return 0
	}
	x := float64(now.Sub(h.at)) / float64(h.state.lifetime())
	return max(0, 1-x*x*x*x)
}

// expect records the expected cached tokens of each holder for a snapshot.
func (p placement) expect(levels []prefix.Level, now time.Time, round uint64) {
	reach := map[*endpointState]float64{}
	var before int64
	for i, l := range levels {
		holders, ok := p.levels.Get(l.Hash)
		if !ok {
			return
		}
		for j := range holders {
			h := &holders[j]
			chain, seen := reach[h.state]
			if i > 0 && !seen {
				// A shallower level is implied by a deeper one; its own entry
				// was displaced by other holders of a hot level.
				h.state.expect(float64(before)*h.probability(now), round)
				chain = 1
			}
			if i == 0 {
				chain = 1
			}
			chain = min(chain, h.probability(now))
			reach[h.state] = chain
			h.state.expect(float64(l.Tokens-before)*chain, round)
		}
		before = l.Tokens
	}
}

// add records that an endpoint holds the levels.
func (p placement) add(levels []prefix.Level, s *endpointState, now time.Time) {
	for _, l := range levels {
		holders, _ := p.levels.Get(l.Hash)
		p.levels.Add(l.Hash, put(holders, holder{s, s.load.BootID, now}))
	}
}

// drop removes an endpoint from levels that it turned out not to hold.
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

// put replaces the endpoint's entry, or the oldest when the list is full.
func put(holders []holder, h holder) []holder {
	oldest := 0
	for i := range holders {
		if holders[i].state == h.state {
			holders[i] = h
			return holders
		}
		if holders[i].at.Before(holders[oldest].at) {
			oldest = i
		}
	}
	if len(holders) < placementHolders {
		return append(holders, h)
	}
	holders[oldest] = h
	return holders
}
