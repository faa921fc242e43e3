package routesim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Policy names a way to choose.
type Policy string

// Policies that are compared.
const (
	Random         Policy = "random"
	LeastLoad      Policy = "least load"
	TwoChoice      Policy = "two choices"
	RendezvousHash Policy = "flat hash"
	Design         Policy = "design"
)

// Policies lists all of them.
func Policies() []Policy { return []Policy{Random, LeastLoad, TwoChoice, RendezvousHash, Design} }

func (s *sim) choose(r *run) {
	n := len(s.engines)
	switch s.opts.Policy {
	case Random:
		r.engine = s.rng.IntN(n)
	case LeastLoad:
		r.engine = s.rng.IntN(n)
		for i := range n {
			if r.entry.busy(i) < r.entry.busy(r.engine) {
				r.engine = i
			}
		}
	case TwoChoice:
		a, b := s.rng.IntN(n), s.rng.IntN(n)
		if r.entry.busy(b) < r.entry.busy(a) {
			a = b
		}
		r.engine = a
	case RendezvousHash:
		r.engine = s.flat(r.job.levels[len(r.job.levels)-2].Hash)
	case Design:
		s.design(r)
	}
}

// busy is the reported load or the entry's own requests, whichever is more.
func (en *entry) busy(i int) int64 {
	return max(en.reports[i].load.Running+en.reports[i].load.Queued, en.inFlight[i])
}

// flat is plain rendezvous hashing of the deepest shared level.
func (s *sim) flat(level uint64) int {
	best, weight := 0, uint64(0)
	for i := range s.members {
		key := binary.LittleEndian.AppendUint64(nil, level)
		if w := xxhash.Sum64(append(key, s.members[i].ID...)); w > weight {
			best, weight = i, w
		}
	}
	return best
}

// defaults are the settings of a document that names none.
var defaults = config.Default().Routing

func (s *sim) design(r *run) {
	j := r.job
	rr := &route.Request{Region: regionName(r.entry.region), Stream: true, Idempotent: true, Levels: j.levels, Tokens: j.tokens,
		Bytes: j.tokens * bytesPerToken, Seed: s.rng.Uint64(),
		Policy: route.Policy{PriceMsPerMiB: float64(defaults.CrossRegionPriceMsPerMiB)}}
	index := map[string]int{}
	for i := range s.members {
		index[s.members[i].ID] = i
	}
	eps := r.entry.tracker.Snapshot(rr, s.members, func(m member.Endpoint) route.Report {
		i := index[m.ID]
		rtt := 2 * nearDelay
		if i/enginesPerZone != r.entry.region {
			rtt = 2 * farDelay
		}
		rep := r.entry.reports[i]
		return route.Report{Key: rep.key, Load: rep.load, RTT: rtt}
	}, clock(s.now))
	d := s.opts.Scheduler.Choose(rr, eps)
	for i := range eps {
		if eps[i].ID == d.Chosen {
			r.engine = index[d.Chosen]
			r.attempt = r.entry.tracker.Dispatch(rr, &eps[i], d, clock(s.now))
			return
		}
	}
}
