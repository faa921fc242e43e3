package route

import (
	"cmp"
	"slices"
)

// Filter excludes endpoints that must not receive a request.
type Filter interface {
	// Exclude returns the reason for excluding the endpoint, or "" to keep it.
	Exclude(r *Request, e *Endpoint) string
}

// Scorer computes one component of the cost of endpoints.
type Scorer interface {
	// Score adds the cost of endpoints[i] in milliseconds to scores[i].
	Score(r *Request, endpoints []Endpoint, scores []float64)
}

// Picker selects one of the scored endpoints.
type Picker interface {
	// Pick returns an index into scores, which is not empty. scores[i] is the cost of
	// endpoints[i] in milliseconds.
	Pick(r *Request, endpoints []Endpoint, scores []float64) int
}

// Scheduler selects endpoints with its filters, scorers and picker. It is stateless.
type Scheduler struct {
	Filters []Filter
	// Scorers predict the time to first token, Prices add other costs. An endpoint's
	// residual is applied only to the prediction.
	Scorers []Scorer
	Prices  []Scorer
	Picker  Picker
	// BaseMs is the time to first token of an idle endpoint with the whole prompt
	// cached, in milliseconds; 0 means the default. If it is too low, endpoints in use
	// appear as stragglers compared with rarely used ones, whose residual has
	// decayed.
	BaseMs float64
}

const (
	// defaultBaseMs is the default of Scheduler.BaseMs. It is not zero, so that the
	// residual has an effect when all scorers add nothing.
	defaultBaseMs = 5
	// maxRecordedCandidates bounds the candidates of a decision record; 4,096 records
	// of 2,000 candidates would exceed the 32 MB available to a daemon.
	maxRecordedCandidates = 16
)

// Choose selects an endpoint for a request. Decision.Chosen is empty if no endpoint
// may receive it. Choose reorders endpoints and sets their PredictedMs.
func (s *Scheduler) Choose(r *Request, endpoints []Endpoint) Decision {
	d := Decision{RequestID: r.ID, Service: r.Service, Reason: ReasonLowest, Total: len(endpoints)}
	kept := s.filter(r, endpoints, &d)
	if len(kept) == 0 {
		kept = s.filterRelaxed(r, endpoints, &d)
	}
	if len(kept) == 0 {
		d.Reason = ReasonNone
		return d
	}
	scores := make([]float64, len(kept))
	for i := range scores {
		scores[i] = cmp.Or(s.BaseMs, defaultBaseMs)
	}
	for _, sc := range s.Scorers {
		sc.Score(r, kept, scores)
	}
	for i := range kept {
		kept[i].PredictedMs = scores[i]
		scores[i] *= max(1, kept[i].Residual)
	}
	for _, p := range s.Prices {
		p.Score(r, kept, scores)
	}
	best := s.Picker.Pick(r, kept, scores)
	if i := probe(kept); i >= 0 && d.Reason == ReasonLowest {
		// By score alone, the endpoint would not be probed for as long as other
		// endpoints hold the prefixes.
		best, d.Reason = i, ReasonProbe
	}
	d.Chosen, d.Score = kept[best].ID, scores[best]
	d.record(kept, scores)
	return d
}

// filterRelaxed is filter for a request that has no endpoint: it relaxes the request's conditions
// step by step until an endpoint fulfils them.
func (s *Scheduler) filterRelaxed(r *Request, endpoints []Endpoint, d *Decision) []Endpoint {
	last := *r
	var kept []Endpoint
	for len(kept) == 0 && last.relax(d) {
		d.Candidates = nil
		kept = s.filter(&last, endpoints, d)
	}
	return kept
}

// relax permits further endpoints: first those at the limit of their pace, then ejected ones. It
// records the reason, and returns false if all are permitted.
func (r *Request) relax(d *Decision) bool {
	switch {
	case r.LastResort:
		return false
	case !r.IgnorePace:
		r.IgnorePace, d.Reason = true, ReasonPaced
	default:
		r.LastResort, d.Reason = true, ReasonLastResort
	}
	return true
}

// probe returns the index of an endpoint whose probe is due, or -1. Unlike
// slices.IndexFunc, it does not copy endpoints.
func probe(endpoints []Endpoint) int {
	for i := range endpoints {
		if endpoints[i].Probe {
			return i
		}
	}
	return -1
}

// filter moves the endpoints that no filter excludes to the front and returns them.
// It records some of the excluded ones in d.
func (s *Scheduler) filter(r *Request, endpoints []Endpoint, d *Decision) []Endpoint {
	n := 0
next:
	for i := range endpoints {
		for _, f := range s.Filters {
			if why := f.Exclude(r, &endpoints[i]); why != "" {
				if len(d.Candidates) < maxRecordedCandidates/2 {
					d.Candidates = append(d.Candidates, Candidate{ID: endpoints[i].ID, Excluded: why})
				}
				continue next
			}
		}
		if n != i {
			endpoints[n], endpoints[i] = endpoints[i], endpoints[n]
		}
		n++
	}
	return endpoints[:n]
}

// record inserts the candidates with the lowest scores before the excluded ones.
func (d *Decision) record(kept []Endpoint, scores []float64) {
	room := maxRecordedCandidates - len(d.Candidates)
	best := make([]Candidate, 0, room+1)
	for i := range kept {
		if len(best) == room && scores[i] >= best[room-1].Score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, scores[i], func(c Candidate, score float64) int {
			if c.Score <= score {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, Candidate{ID: kept[i].ID, Score: scores[i]})
		best = best[:min(len(best), room)]
	}
	d.Candidates = append(best, d.Candidates...)
}
