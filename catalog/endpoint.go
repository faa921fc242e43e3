package catalog

import "github.com/citrontiller/citrontiller/infra"

// Endpoint is a listed endpoint with what it says of itself.
type Endpoint struct {
	infra.Host
	// Boot identifies the endpoint's incarnation; the same id may start again.
	BootID string
	// Slots is how many requests run at once, 0 when unknown.
	Slots int
	// Weights maps each of an engine's models to the version of its weights.
	Weights map[string]int64
}

// Target is the version of a model's weights that its engines must have.
type Target struct {
	Model   string
	Version int64
}
