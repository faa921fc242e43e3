// Package selection assembles endpoint selection from its plug-ins, for the
// entry and the gateway alike.
package selection

import (
	"context"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/lowest"
	"github.com/citrontiller/citrontiller/plugins/memory"
	"github.com/citrontiller/citrontiller/plugins/outdated"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/plugins/queue"
	"github.com/citrontiller/citrontiller/plugins/ready"
	"github.com/citrontiller/citrontiller/plugins/region"
	"github.com/citrontiller/citrontiller/route"
)

// New loads the plug-ins of endpoint selection. They are linked in and need no
// settings, so a failure is a programming error.
func New(log *zap.Logger) *route.Scheduler {
	set := kernel.Settings{Log: log}
	return &route.Scheduler{
		Filters: []route.Filter{load[route.Filter](ready.ID, set)},
		Scorers: []route.Scorer{load[route.Scorer](queue.ID, set), load[route.Scorer](prefixcache.ID, set), load[route.Scorer](region.ID, set)},
		Prices:  []route.Scorer{load[route.Scorer](region.PriceID, set), load[route.Scorer](outdated.ID, set), load[route.Scorer](memory.ID, set)},
		Picker:  load[route.Picker](lowest.ID, set),
	}
}

func load[T any](id string, set kernel.Settings) T {
	p, err := kernel.Load[T](context.Background(), id, set)
	if err != nil {
		panic(err)
	}
	return p
}
