// Package plain is the driver for plain HTTP services, id "endpoint.plain".
package plain

import (
	"context"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/internal/exchange"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "endpoint.plain", New: func() any { return new(Driver) }})
}

// Driver forwards requests to a plain service unchanged. Plain services have no load
// report and no cache, and receive no orders.
type Driver struct {
	client *exchange.Client
}

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	d.client = exchange.New(s)
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.Close()
	return nil
}

// Do implements agent.Driver.
func (d *Driver) Do(ctx context.Context, ep agent.Endpoint, r *agent.Request, sink agent.Sink) error {
	return d.client.Do(ctx, ep, r, r.Body, sink)
}

func unsupported() error { return &agent.DriverError{Code: agent.CodeUnsupported, Run: call.NotRun} }

// Load implements agent.Driver. It returns an error with agent.CodeUnsupported.
func (d *Driver) Load(context.Context, agent.Endpoint) (agent.Load, error) {
	return agent.Load{}, unsupported()
}

// Events implements agent.Driver. It returns an error with agent.CodeUnsupported.
func (d *Driver) Events(context.Context, agent.Endpoint, uint64, func(agent.CacheEvent)) error {
	return unsupported()
}

// Order implements agent.Driver. It returns an error with agent.CodeUnsupported.
func (d *Driver) Order(context.Context, agent.Endpoint, agent.Order) error { return unsupported() }
