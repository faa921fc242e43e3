package catalog

import (
	"math"
	"time"

	"github.com/citrontiller/citrontiller/infra"
)

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

// Incarnation identifies the process behind an endpoint's list entry. It changes when
// the endpoint restarts or moves to another address.
type Incarnation struct{ ID, BootID, Address string }

// Incarnation returns the incarnation that the entry lists.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{e.ID, e.BootID, e.Address} }

// RateLimit is the number of requests that an incarnation takes from all gateways
// together, as it has announced.
type RateLimit struct {
	Incarnation
	// PerSecond is in requests a second, math.Inf(1) when there is no limit.
	PerSecond float64
	// At is when the response was requested that says so.
	At time.Time
}

// Limited reports whether there is a limit.
func (r RateLimit) Limited() bool { return !math.IsInf(r.PerSecond, 1) }

// Target is the version of a model's weights that its engines should have.
type Target struct {
	Model   string
	Version int64
}
