package routesim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Policy is the name of a policy that chooses engines.
type Policy string

// The compared policies.
const (
	Random         Policy = "random"
	LeastLoad      Policy = "least load"
	TwoChoice      Policy = "two choices"
	RendezvousHash Policy = "flat hash"
	Design         Policy = "design"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Random, LeastLoad, TwoChoice, RendezvousHash, Design} }

// choose sets the engine of r according to the run's policy.
func (s *sim) choose(r *dispatch) {
	n := len(s.engines)
	switch s.opts.Policy {
	case Random:
		r.engine = s.rng.IntN(n)
	case LeastLoad:
		r.engine = s.rng.IntN(n)
		for i := range n {
			if r.entry.load(i) < r.entry.load(r.engine) {
				r.engine = i
			}
		}
	case TwoChoice:
		a, b := s.rng.IntN(n), s.rng.IntN(n)
		if r.entry.load(b) < r.entry.load(a) {
			a = b
		}
		r.engine = a
	case RendezvousHash:
		r.engine = s.rendezvous(r.request.levels[len(r.request.levels)-2].Hash)
	case Design:
		s.chooseDesign(r)
	}
}

// load returns the reported number of requests of engine i or the number of the
// entry's own requests in flight, whichever is greater.
func (en *entry) load(i int) int64 {
	return max(en.reports[i].load.Running+en.reports[i].load.Queued, en.inFlight[i])
}

// rendezvous chooses an engine by rendezvous hashing of a level.
func (s *sim) rendezvous(level uint64) int {
	best, weight := 0, uint64(0)
	for i := range s.members {
		key := binary.LittleEndian.AppendUint64(nil, level)
		if w := xxhash.Sum64(append(key, s.members[i].ID...)); w > weight {
			best, weight = i, w
		}
	}
	return best
}

// defaultRouting holds the routing settings of a service document that sets none.
var defaultRouting = config.Default().Routing

// chooseDesign chooses an engine with the product's own tracker and scheduler.
func (s *sim) chooseDesign(r *dispatch) {
	req := r.request
	routeReq := &route.Request{Region: regionName(r.entry.region), Stream: true, Idempotent: true, Levels: req.levels, Tokens: req.tokens,
		Bytes: req.tokens * bytesPerPromptToken, Seed: s.rng.Uint64(),
		Policy: route.Policy{PriceMsPerMiB: float64(defaultRouting.CrossRegionPriceMsPerMiB)}}
	index := map[string]int{}
	for i := range s.members {
		index[s.members[i].ID] = i
	}
	eps := r.entry.tracker.Snapshot(routeReq, s.members, func(m member.Endpoint) route.Report {
		i := index[m.ID]
		rtt := 2 * sameRegionDelay
		if i/enginesPerRegion != r.entry.region {
			rtt = 2 * crossRegionDelay
		}
		rep := r.entry.reports[i]
		return route.Report{Key: rep.key, Load: rep.load, RTT: rtt}
	}, virtualTime(s.now))
	d := s.opts.Scheduler.Choose(routeReq, eps)
	for i := range eps {
		if eps[i].ID == d.Chosen {
			r.engine = index[d.Chosen]
			r.attempt = r.entry.tracker.Dispatch(routeReq, &eps[i], d, virtualTime(s.now))
			return
		}
	}
}
