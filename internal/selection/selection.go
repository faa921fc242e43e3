// Package selection assembles the scheduler for endpoint selection from its
// plug-ins. The entry and the gateway share it.
package selection

import (
	"context"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/lowest"
	"github.com/citrontiller/citrontiller/plugins/memory"
	"github.com/citrontiller/citrontiller/plugins/outdated"
	"github.com/citrontiller/citrontiller/plugins/prefill"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/plugins/queue"
	"github.com/citrontiller/citrontiller/plugins/ratelimit"
	"github.com/citrontiller/citrontiller/plugins/ready"
	"github.com/citrontiller/citrontiller/plugins/region"
	"github.com/citrontiller/citrontiller/route"
)

// New returns a scheduler with the default plug-ins. They are linked into the
// binary and need no settings, so New panics if one fails to load.
func New(log *zap.Logger) *route.Scheduler {
	settings := kernel.Settings{Log: log}
	return &route.Scheduler{
		Filters: []route.Filter{mustLoad[route.Filter](ready.ID, settings)},
		Scorers: []route.Scorer{mustLoad[route.Scorer](queue.ID, settings), mustLoad[route.Scorer](prefixcache.ID, settings), mustLoad[route.Scorer](region.ID, settings)},
		Prices:  []route.Scorer{mustLoad[route.Scorer](region.PriceID, settings), mustLoad[route.Scorer](outdated.ID, settings), mustLoad[route.Scorer](memory.ID, settings)},
		Picker:  mustLoad[route.Picker](lowest.ID, settings),
	}
}

// NewDirect returns a scheduler for a router that sends requests to engines directly.
// No agent limits what an engine has running, so the scheduler also weighs what a
// request costs the others there.
func NewDirect(log *zap.Logger) *route.Scheduler {
	s := New(log)
	settings := kernel.Settings{Log: log}
	s.Prices = append(s.Prices, mustLoad[route.Scorer](prefill.ID, settings), mustLoad[route.Scorer](ratelimit.ID, settings))
	return s
}

func mustLoad[T any](id string, settings kernel.Settings) T {
	p, err := kernel.Load[T](context.Background(), id, settings)
	if err != nil {
		panic(err)
	}
	return p
}
