package route

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// minHoldingTokens is the minimum length of a level, beyond the next shorter one,
	// for which other regions are told where it is cached.
	minHoldingTokens = 200
	// holdingInterval is the time after which a level that is still in use is told
	// again. It is shorter than the time for which engines cache an unused level.
	holdingInterval = 3 * time.Second
	// maxHoldings bounds the holdings kept until they are taken, and the times at which
	// holdings were collected.
	maxHoldings = 8192
)

// newHoldingTimes returns the table of the times at which holdings were collected.
func newHoldingTimes() *lru.Cache[Holding, time.Time] {
	c, err := lru.New[Holding, time.Time](maxHoldings)
	if err != nil {
		panic(err) // lru.New fails only if the size is below 1
	}
	return c
}

// Holding reports that an endpoint has cached a prefix level.
type Holding struct {
	Level    uint64
	Endpoint string
}

// Part selects one of several disjoint parts of a set: the elements whose hash modulo
// Of is Index.
type Part struct{ Index, Of int }

// contains reports whether a hash belongs to the part.
func (p Part) contains(hash uint64) bool { return hash%uint64(p.Of) == uint64(p.Index) }

// TakeHoldings returns the shareable levels in a part that endpoints of a region have
// begun to serve, or still serve, since the last call. The first call starts the
// collection.
func (t *Tracker) TakeHoldings(region string, part Part) []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdingRegion, t.holdingPart = region, part
	out := t.holdings
	t.holdings = nil
	return out
}

// ApplyHoldings records where another region's endpoints cache levels. Holdings of
// endpoints that aren't tracked are ignored.
func (t *Tracker) ApplyHoldings(holdings []Holding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range holdings {
		if s := t.endpoints[h.Endpoint]; s != nil {
			t.placement.add([]prefix.Level{{Hash: h.Level}}, s, now)
		}
	}
}

// collectHoldings adds the levels of a dispatch to the holdings. It must be called
// before the levels are added to the placement table. The caller must hold mu.
func (t *Tracker) collectHoldings(levels []prefix.Level, s *endpointState, now time.Time) {
	if t.holdingRegion == "" || s.region != t.holdingRegion {
		return
	}
	var before int64
	for _, l := range levels {
		tokens := l.Tokens - before
		before = l.Tokens
		if tokens < minHoldingTokens || !t.holdingPart.contains(l.Hash) || len(t.holdings) >= maxHoldings {
			continue
		}
		if at, ok := t.holdingTimes.Get(Holding{l.Hash, s.id}); ok && now.Sub(at) < holdingInterval {
			continue
		}
		t.holdingTimes.Add(Holding{l.Hash, s.id}, now)
		t.holdings = append(t.holdings, Holding{l.Hash, s.id})
	}
}
