// Package route chooses the endpoint of a request. The choice is a pure
// function of the request and a snapshot of the candidates: filters drop
// candidates, scorers give each a cost in milliseconds, a picker takes one.
package route

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

// Request is what the choice depends on.
type Request struct {
	ID         string
	Service    string
	Account    string
	Model      string
	Version    string
	Region     string
	Idempotent bool
	Levels     []prefix.Level
	// Exclude names endpoints that have refused or failed this request.
	Exclude map[string]bool
}

// Endpoint is a candidate with what is known of it.
type Endpoint struct {
	member.Endpoint
	// InFlight counts this entry's requests at the endpoint.
	InFlight int64
}

// Candidate is an endpoint's result in a decision.
type Candidate struct {
	ID string
	// Score is the expected time to first token in milliseconds.
	Score float64
	// Excluded says why the endpoint was dropped; empty for scored candidates.
	Excluded string
}

// Decision records a choice and why it was made.
type Decision struct {
	RequestID  string
	Service    string
	Chosen     string
	Reason     string
	Candidates []Candidate
}

// String returns the candidates with their scores for the log.
func (d Decision) String() string {
	var b strings.Builder
	for i, c := range d.Candidates {
		if i > 0 {
			b.WriteByte(',')
		}
		if c.Excluded != "" {
			fmt.Fprintf(&b, "%s:%s", c.ID, c.Excluded)
			continue
		}
		fmt.Fprintf(&b, "%s:%.1f", c.ID, c.Score)
	}
	return b.String()
}

// Scheduler chooses endpoints.
type Scheduler struct{}

// waitPerRequestMs is the assumed cost of one request already in flight.
const waitPerRequestMs = 20

// Choose returns the decision for a request. Chosen is empty when no endpoint
// may take it.
func (s *Scheduler) Choose(r *Request, endpoints []Endpoint) Decision {
	d := Decision{RequestID: r.ID, Service: r.Service}
	best := -1
	var bestWeight uint64
	for i := range endpoints {
		ep := &endpoints[i]
		c := Candidate{ID: ep.ID}
		switch {
		case r.Exclude[ep.ID]:
			c.Excluded = "tried"
		case ep.State != member.Ready:
			c.Excluded = string(ep.State)
		default:
			c.Score = float64(ep.InFlight) * waitPerRequestMs
			if ep.Region != r.Region {
				c.Score += 40
			}
		}
		d.Candidates = append(d.Candidates, c)
		if c.Excluded != "" {
			continue
		}
		w := weight(r, ep.ID)
		if best < 0 || c.Score < d.Candidates[best].Score || (c.Score == d.Candidates[best].Score && w > bestWeight) {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		d.Reason = "no endpoint available"
		return d
	}
	d.Chosen = d.Candidates[best].ID
	d.Reason = "lowest cost"
	return d
}

// weight is the rendezvous weight of an endpoint for the request's prefix.
func weight(r *Request, id string) uint64 {
	var h xxhash.Digest
	h.Reset()
	if n := len(r.Levels); n > 0 {
		level := r.Levels[max(0, n-2)]
		_, _ = fmt.Fprintf(&h, "%x", level.Hash)
	}
	_, _ = h.WriteString(id)
	return h.Sum64()
}
