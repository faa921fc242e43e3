package catalog

import "github.com/citrontiller/citrontiller/infra"

// Endpoint is a listed endpoint with the state that it reports.
type Endpoint struct {
	infra.Host
	// BootID identifies the endpoint's incarnation. It changes when an endpoint with
	// the same id restarts.
	BootID string
	// Slots is the maximum number of concurrently running requests, 0 when unknown.
	Slots int
	// Weights maps each of an engine's models to the version of its weights.
	Weights map[string]int64
}

// Target is the version of a model's weights that its engines should have.
type Target struct {
	Model   string
	Version int64
}
