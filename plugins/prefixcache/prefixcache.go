// Package prefixcache is the scorer of the expected prefill time, id
// "scorer.prefixcache". It depends on the part of the prompt that an endpoint is
// expected to have cached.
package prefixcache

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// maxRankedLevels bounds the levels per request whose home is determined.
	maxRankedLevels = 4
	// homeProbability is the assumed probability that the home of a level holds it,
	// without any observation. It is lower than the probability after a recent use, so
	// that observations take precedence.
	homeProbability = 0.8
)

// Scorer adds the expected time to prefill the tokens that are not cached.
type Scorer struct{}

// Score implements route.Scorer. It also sets the endpoints' OwnPrefillMs.
func (Scorer) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	estimates := priorEstimates(r.Levels, endpoints)
	for i := range endpoints {
		e := &endpoints[i]
		cached := e.CachedTokens
		for _, p := range estimates {
			if p.endpoint == i {
				cached = max(cached, p.tokens)
			}
		}
		e.OwnPrefillMs = e.PrefillMs(max(0, float64(r.Tokens)-cached))
		scores[i] += e.OwnPrefillMs
	}
}

// Home returns the id of the home of a level, the first endpoint in the level's
// rendezvous order, or "" if there are no endpoints. Other endpoints are not expected
// to hold the level: further copies would evict other levels.
func Home(l prefix.Level, endpoints []route.Endpoint) string {
	if len(endpoints) == 0 {
		return ""
	}
	return endpoints[home(l, endpoints)].ID
}

// home returns the index of the home of a level. endpoints must not be empty.
func home(l prefix.Level, endpoints []route.Endpoint) int {
	first, best := 0, 0.0
	for i := range endpoints {
		if endpoints[i].Sampled {
			continue
		}
		if w := weight(l.Hash, &endpoints[i]); w > best {
			first, best = i, w
		}
	}
	return first
}

// estimate is the prior estimate of the tokens that one endpoint has cached.
type estimate struct {
	// endpoint is the index of the endpoint.
	endpoint int
	tokens   float64
}

// priorEstimates returns the estimates for the homes of nested levels, longest first.
// It skips the last level unless it is the only one: it covers the whole prompt, which
// few other requests share. The index of the level is about halved at each step.
func priorEstimates(levels []prefix.Level, endpoints []route.Endpoint) []estimate {
	if len(levels) == 0 || len(endpoints) == 0 {
		return nil
	}
	out := make([]estimate, 0, maxRankedLevels)
	i := max(0, len(levels)-2)
	for range maxRankedLevels {
		out = append(out, estimate{home(levels[i], endpoints), homeProbability * float64(levels[i].Tokens)})
		if i == 0 {
			break
		}
		i = min(i-1, i/2+1)
	}
	return out
}

// weight returns the weight of an endpoint in weighted rendezvous hashing,
// -capacity/ln(u), where u is a uniform hash of the level and the endpoint. An
// endpoint is the first for a share of the levels proportional to its capacity.
func weight(level uint64, e *route.Endpoint) float64 {
	h := xxhash.Sum64String(e.ID) ^ level
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -capacity(e) / math.Log(u)
}

// capacity returns the engine's concurrency limit rounded to a power of two, so that
// entries with load reports of different age compute the same order.
func capacity(e *route.Endpoint) float64 {
	if e.Load.Limit <= 0 {
		return 1
	}
	f, exp := math.Frexp(float64(e.Load.Limit))
	if f < math.Sqrt2/2 {
		exp--
	}
	return math.Ldexp(1, exp)
}
