// Package prefixcache scores the prefill of the tokens expected to be missing,
// id "scorer.prefixcache".
package prefixcache

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// homes is how many endpoints in rendezvous order a level prefers.
	homesPerLevel = 3
	// rendezvousLevels bounds the levels ranked per request.
	maxRankedLevels = 4
	// priorHome is the assumed chance that the first endpoint in rendezvous
	// order holds a level of which this entry knows nothing; each next
	// endpoint has half. Below what a recent use gives, so that knowledge wins.
	firstHomeProbability = 0.8
)

// Scorer adds the prefill time of missing tokens.
type Scorer struct{}

// Score implements route.Scorer.
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
		scores[i] += e.PrefillMs(max(0, float64(r.Tokens)-cached))
	}
}

// Home returns the id of the endpoint that a level prefers, "" without any.
func Home(l prefix.Level, endpoints []route.Endpoint) string {
	id, best := "", 0.0
	for i := range endpoints {
		if w := weight(l.Hash, &endpoints[i]); w > best {
			id, best = endpoints[i].ID, w
		}
	}
	return id
}

// expected is a prior expectation for one endpoint.
type estimate struct {
	endpoint int
	tokens   float64
}

// prior ranks the endpoints for nested levels, deepest shared level first. The
// last level ends the prompt; few other requests share it.
func priorEstimates(levels []prefix.Level, endpoints []route.Endpoint) []estimate {
	var out []estimate
	i := max(0, len(levels)-2)
	for range maxRankedLevels {
		if i >= len(levels) {
			break
		}
		out = appendEstimates(out, levels[i], endpoints)
		if i == 0 {
			break
		}
		i = min(i-1, i/2+1)
	}
	return out
}

type weightedEndpoint struct {
	endpoint int
	weight   float64
}

func appendEstimates(out []estimate, l prefix.Level, endpoints []route.Endpoint) []estimate {
	var best [homesPerLevel]weightedEndpoint
	n := 0
	for i := range endpoints {
		w := weightedEndpoint{i, weight(l.Hash, &endpoints[i])}
		if n == homesPerLevel && w.weight <= best[n-1].weight {
			continue
		}
		at := min(n, homesPerLevel-1)
		n = min(n+1, homesPerLevel)
		for at > 0 && best[at-1].weight < w.weight {
			best[at] = best[at-1]
			at--
		}
		best[at] = w
	}
	p := firstHomeProbability
	for _, b := range best[:n] {
		out = append(out, estimate{b.endpoint, p * float64(l.Tokens)})
		p /= 2
	}
	return out
}

// weight is the weighted rendezvous weight of an endpoint, -capacity/ln(u) for a
// uniform u of the level and the endpoint: larger engines are home to more.
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

// capacity is the engine's concurrency limit rounded to 2 to the power of n, so
// that entries with reports of different age agree.
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
