package fleetsim

import (
	"github.com/citrontiller/citrontiller/plugins/lowest"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/plugins/queue"
	"github.com/citrontiller/citrontiller/plugins/ready"
	"github.com/citrontiller/citrontiller/plugins/region"
	"github.com/citrontiller/citrontiller/route"
)

// hedgePercent is the hedge budget of the design.
const hedgePercent = 5

// Design is the system as it is.
func Design() Variant { return Variant{Name: "design", HedgePercent: hedgePercent} }

// Variants returns the ways that are compared.
func Variants() []Variant {
	return []Variant{
		{Name: "random", HedgePercent: hedgePercent, Scheduler: func() *route.Scheduler { return simple() }},
		{Name: "least load", HedgePercent: hedgePercent, Scheduler: func() *route.Scheduler { return simple(leastLoad{}) }},
		Design(),
		{Name: "no hedging", HedgePercent: 0},
		{Name: "no residual", HedgePercent: hedgePercent, Scheduler: noResidual},
	}
}

func simple(scorers ...route.Scorer) *route.Scheduler {
	return &route.Scheduler{Filters: []route.Filter{ready.Filter{}, flat{}}, Scorers: scorers, Picker: lowest.Picker{}}
}

func noResidual() *route.Scheduler {
	return &route.Scheduler{Filters: []route.Filter{ready.Filter{}, flat{}},
		Scorers: []route.Scorer{queue.Scorer{}, prefixcache.Scorer{}, region.Scorer{}}, Prices: []route.Scorer{region.Price{}}, Picker: lowest.Picker{}}
}

// flat removes the residual from the candidates.
type flat struct{}

// Exclude implements route.Filter.
func (flat) Exclude(_ *route.Request, e *route.Endpoint) string {
	e.Residual = 1
	return ""
}

// leastLoad scores the reported load or the entry's own requests, whichever is more.
type leastLoad struct{}

// Score implements route.Scorer.
func (leastLoad) Score(_ *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		scores[i] += float64(max(endpoints[i].Load.Running+endpoints[i].Load.Queued, endpoints[i].InFlight))
	}
}
