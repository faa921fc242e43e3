package rollout

import "context"

// Strategy says what happens to the requests that run when weights change.
type Strategy string

// Strategies.
const (
	// Finish lets running requests end before the weights change.
	Finish Strategy = "finish"
	// Keep lets them go on with the new weights.
	Keep Strategy = "keep"
	// Cut breaks them off.
	Cut Strategy = "cut"
)

// Order tells an engine to load a version of a model's weights.
type Order struct {
	Endpoint string
	Address  string
	Model    string
	Version  int64
	Strategy Strategy
	// Fence is the holder's fencing number.
	Fence int64
	// Expected is the number of orders that the engine must have accepted before
	// this one; it keeps a delayed order from undoing a later one. Nil is not checked.
	Expected *int64
}

// Reply is an engine's answer to an order.
type Reply string

// Replies.
const (
	// Accepted means that the order is being carried out.
	Accepted Reply = "accepted"
	// Current means that the engine has the version already.
	Current Reply = "current"
	// Busy means that another order is being carried out, or that Expected differs.
	Busy Reply = "busy"
	// Stale means that the engine has seen a higher fencing number.
	Stale Reply = "stale"
)

// State is what an engine says of itself. It may be some hundred milliseconds old.
type State struct {
	// Weights maps models to versions.
	Weights map[string]int64
	// Busy is true while an order is carried out.
	Busy bool
	// Accepted is the number of orders accepted since the engine's start.
	Accepted int64
	Running  int64
}

// Engines talks to the engines.
type EngineClient interface {
	// Load sends an order. After an error the order may still be carried out.
	Load(ctx context.Context, o Order) (Reply, error)
	// State reads an engine's state.
	State(ctx context.Context, endpoint, address string) (State, error)
}
