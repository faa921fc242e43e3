package rollout

import "context"

// Strategy selects what happens to running requests when an engine's weights change.
type Strategy string

// Strategies.
const (
	// Finish lets running requests complete before the weights change.
	Finish Strategy = "finish"
	// Keep continues running requests with the new weights.
	Keep Strategy = "keep"
	// Cut aborts running requests.
	Cut Strategy = "cut"
)

// Order instructs an engine to load a version of a model's weights.
type Order struct {
	Endpoint string
	Address  string
	Model    string
	Version  int64
	Strategy Strategy
	// Fence is the fencing token of the holder of the lock; see lease.Held.
	Fence int64
	// Expected is the number of orders that the engine must have accepted before
	// this one. It prevents a delayed order from undoing a later one. Nil disables
	// the check.
	Expected *int64
}

// Reply is an engine's reply to an order.
type Reply string

// Replies.
const (
	// Accepted means that the engine has started to load the weights.
	Accepted Reply = "accepted"
	// Current means that the engine already has the version.
	Current Reply = "current"
	// Busy means that another order is in progress, or that Expected doesn't match.
	Busy Reply = "busy"
	// Stale means that the engine has received a higher fencing token.
	Stale Reply = "stale"
)

// State is the state reported by an engine. It may be a few hundred milliseconds
// old.
type State struct {
	// Weights maps each model to the version of its weights.
	Weights map[string]int64
	// Busy is true while an order is in progress.
	Busy bool
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	// Running is the number of running requests.
	Running int64
}

// EngineClient sends orders to engines and reads their state.
type EngineClient interface {
	// Load sends an order. After an error the engine may still execute it.
	Load(ctx context.Context, o Order) (Reply, error)
	// State returns the state that an engine reports.
	State(ctx context.Context, endpoint, address string) (State, error)
}
