package route

import (
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

// likelyHeld is the chance from which a level counts as held by an endpoint.
const likelyHeld = 0.5

// Source is an endpoint that may hand over cached parts of a prompt.
type Source struct {
	ID      string
	Address string
	// Tokens is the length of the prefix that it is expected to hold.
	Tokens int64
}

// Source returns the endpoint from which chosen should fetch the part of the
// prompt that it doesn't hold itself; ok is false when none is expected to hold
// any. It doesn't matter whether chosen is expected to hold as much: the
// expectation may be wrong, and an endpoint fetches only what it lacks.
// home says where a level of which the tracker knows nothing is expected. Only
// endpoints with the same weights as chosen are considered.
func (t *Tracker) Source(r *Request, endpoints []Endpoint, chosen *Endpoint, home func(l prefix.Level) string, now time.Time) (Source, bool) {
	byID := make(map[string]*Endpoint, len(endpoints))
	for i := range endpoints {
		if e := &endpoints[i]; e.ID != chosen.ID && e.State == member.Ready && !e.Ejected && e.Load.WeightsVersion == chosen.Load.WeightsVersion {
			byID[e.ID] = e
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(r.Levels) - 1; i >= 0; i-- {
		l := r.Levels[i]
		best := t.placement.newest(l, byID, now)
		if best != nil {
			return Source{best.ID, best.Address, l.Tokens}, true
		}
		if i == len(r.Levels)-2 {
			if e := byID[home(l)]; e != nil {
				return Source{e.ID, e.Address, l.Tokens}, true
			}
		}
	}
	return Source{}, false
}

// newest returns the eligible endpoint that used a level last, nil without one.
func (p placement) newest(l prefix.Level, eligible map[string]*Endpoint, now time.Time) (best *Endpoint) {
	holders, _ := p.levels.Peek(l.Hash)
	var at time.Time
	for i := range holders {
		h := &holders[i]
		if h.probability(now) < likelyHeld {
			continue
		}
		if e := eligible[h.state.id]; e != nil && h.at.After(at) {
			best, at = e, h.at
		}
	}
	return best
}
