package fleetsim

import (
	"github.com/citrontiller/citrontiller/plugins/lowest"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/plugins/queue"
	"github.com/citrontiller/citrontiller/plugins/ready"
	"github.com/citrontiller/citrontiller/plugins/region"
	"github.com/citrontiller/citrontiller/route"
)

// hedgePercent is the default hedge budget of service documents, in hedged attempts
// per 100 requests.
const hedgePercent = 5

// Design returns the variant with the product's default scheduler and hedging.
func Design() Variant { return Variant{Name: "design", HedgePercent: hedgePercent} }

// Variants returns the compared variants.
func Variants() []Variant {
	return []Variant{
		{Name: "random", HedgePercent: hedgePercent, Scheduler: func() *route.Scheduler { return newSimpleScheduler() }},
		{Name: "least load", HedgePercent: hedgePercent, Scheduler: func() *route.Scheduler { return newSimpleScheduler(leastLoad{}) }},
		Design(),
		{Name: "no hedging", HedgePercent: 0},
		{Name: "no residual", HedgePercent: hedgePercent, Scheduler: newSchedulerWithoutResidual},
	}
}

// newSimpleScheduler returns a scheduler that uses only the given scorers. Without
// any, it chooses at random.
func newSimpleScheduler(scorers ...route.Scorer) *route.Scheduler {
	return &route.Scheduler{Filters: []route.Filter{ready.Filter{}, residualRemover{}}, Scorers: scorers, Picker: lowest.Picker{}}
}

// newSchedulerWithoutResidual returns a scheduler with the scorers for queue, prefix
// cache and region that ignores residuals.
func newSchedulerWithoutResidual() *route.Scheduler {
	return &route.Scheduler{Filters: []route.Filter{ready.Filter{}, residualRemover{}},
		Scorers: []route.Scorer{queue.Scorer{}, prefixcache.Scorer{}, region.Scorer{}}, Prices: []route.Scorer{region.Price{}}, Picker: lowest.Picker{}}
}

// residualRemover is a filter that excludes no endpoint and sets each residual to 1,
// so that it has no effect.
type residualRemover struct{}

// Exclude implements route.Filter.
func (residualRemover) Exclude(_ *route.Request, e *route.Endpoint) string {
	e.Residual = 1
	return ""
}

// leastLoad scores an endpoint by its reported number of requests or the number of
// the entry's own requests in flight, whichever is greater.
type leastLoad struct{}

// Score implements route.Scorer.
func (leastLoad) Score(_ *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		scores[i] += float64(max(endpoints[i].Load.Running+endpoints[i].Load.Queued, endpoints[i].InFlight))
	}
}
