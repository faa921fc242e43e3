package region

import "github.com/citrontiller/citrontiller/kernel"

// Ids of the plug-ins in the kernel.
const (
	ID      = "scorer.region"
	PriceID = "price.region"
)

func init() {
	kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Scorer) }})
	kernel.Register(kernel.Plugin{ID: PriceID, New: func() any { return new(Price) }})
}
