package route

import (
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

// minHoldProbability is the minimum probability at which an endpoint is considered
// to hold a level.
const minHoldProbability = 0.5

// Source is an endpoint from which cached parts of a prompt may be fetched.
type Source struct {
	ID      string
	Address string
	// Tokens is the length of the prefix that the endpoint is expected to hold.
	Tokens int64
}

// Source returns the endpoint from which chosen should fetch the parts of the prompt
// that it doesn't hold itself, or false if no endpoint is expected to hold any.
// Whether chosen is expected to hold as much is not considered: the expectation may
// be wrong, and an endpoint fetches only the parts it lacks. An endpoint that served a
// shorter level precedes home, the endpoint at which a level without recorded holders
// is expected; home is asked for the longest shareable level. Only endpoints with the
// same version of the model's weights as chosen are considered. members are all endpoints of the
// service, of which only some may have been candidates.
func (t *Tracker) Source(r *Request, members []member.Endpoint, chosen *Endpoint, home func(l prefix.Level) string, now time.Time) (Source, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(r.Levels) - 1; i >= 0; i-- {
		l := r.Levels[i]
		if m := t.latestHolder(r.Model, l, members, chosen, now); m != nil {
			return Source{m.ID, m.Address, l.Tokens}, true
		}
	}
	shared := r.shared()
	if len(shared) == 0 {
		return Source{}, false
	}
	longest := shared[len(shared)-1]
	if m := t.eligibleSource(r.Model, home(longest), members, chosen); m != nil {
		return Source{m.ID, m.Address, longest.Tokens}, true
	}
	return Source{}, false
}

// latestHolder returns the eligible member that used a level most recently, nil if
// there is none. The caller must hold mu.
func (t *Tracker) latestHolder(model string, l prefix.Level, members []member.Endpoint, chosen *Endpoint, now time.Time) (best *member.Endpoint) {
	holders, _ := t.placement.levels.Peek(l.Hash)
	var at time.Time
	for i := range holders {
		h := &holders[i]
		if !h.usedAt.After(at) || h.probability(now) < minHoldProbability {
			continue
		}
		if m := t.eligibleSource(model, h.state.id, members, chosen); m != nil {
			best, at = m, h.usedAt
		}
	}
	return best
}

// eligibleSource returns the member with an id if chosen may fetch parts of a model's prompts
// from it, otherwise nil. The caller must hold mu.
func (t *Tracker) eligibleSource(model, id string, members []member.Endpoint, chosen *Endpoint) *member.Endpoint {
	s := t.endpoints[id]
	if s == nil || id == chosen.ID || s.ejection > 0 || s.load.versionOf(model) != chosen.Load.WeightsVersion {
		return nil
	}
	for i := range members {
		if m := &members[i]; m.ID == id && m.State == member.Ready {
			return m
		}
	}
	return nil
}
