package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/lease"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/order"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// controllerKey is the lock of the one entry that sends orders.
const controllerKey = "citrontiller/leader/orders"

const (
	// planInterval is the time between comparisons of wanted and observed state.
	planInterval = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// leaseMargin must remain of the lease when an order is sent, besides the
	// order's timeout.
	leaseMargin = time.Second
	// loadLimit is how long an engine that accepted an order counts as loading
	// when it doesn't report the new state. It is ordered again after that.
	loadLimit = time.Minute
	// weightRetry is the pause before weights that could not be found are
	// asked for again.
	weightRetry = 10 * time.Second
)

// controller makes engines load what the documents say. One entry at a time
// runs it, under a lease whose fencing number the agents check.
type controller struct {
	server *Server
	log    *zap.Logger
	// sent holds the latest accepted order of each endpoint.
	sent map[string]sentOrder
	// weights holds when each model and version may be asked for again; the
	// zero time means that the weights exist.
	weights map[weightsKey]time.Time
}

type sentOrder struct {
	state  order.State
	bootID string
	at     time.Time
}

type weightsKey struct{ model, version string }

func newController(s *Server) *controller { return &controller{server: s, log: s.log} }

// run takes part in the election until ctx ends.
func (c *controller) run(ctx context.Context) {
	l := &lease.Lock{KV: c.server.store.KV, Key: controllerKey, Holder: c.server.opts.ID, TTL: c.server.opts.LeaseTTL, Log: c.log}
	l.Run(ctx, c.hold)
}

// hold plans and sends orders while the lease is held.
func (c *controller) hold(ctx context.Context, h *lease.Held) {
	c.sent, c.weights = map[string]sentOrder{}, map[weightsKey]time.Time{}
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		for _, name := range c.server.Config.Services() {
			if e, ok := c.server.Config.Get(name); ok && e.Document.Kind == infra.Engine && e.Document.Version != "" {
				c.service(ctx, h, e.Document)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// service sends the orders that a service's engines need now.
func (c *controller) service(ctx context.Context, h *lease.Held, d *config.Document) {
	want := order.State{Model: d.Model, Version: d.Version, Adapters: d.Adapters}
	members := c.server.Members.Service(d.Service)
	observed := make([]order.Endpoint, 0, len(members))
	for _, m := range members {
		observed = append(observed, c.observe(m, c.server.loadOf(m), time.Now()))
	}
	orders := order.Plan(want, observed, d.Engine.WeightLoadSlots)
	if len(orders) == 0 || !c.exist(ctx, d.Model, d.Version) {
		return
	}
	for _, o := range orders {
		c.send(ctx, h, d.Service, o)
	}
}

// observe returns an endpoint's state for the plan. Engines report no
// adapters; those of the latest order count until the engine restarts.
func (c *controller) observe(m member.Endpoint, l *pb.EndpointLoad, now time.Time) order.Endpoint {
	e := order.Endpoint{ID: m.ID, Reachable: m.State == member.Ready && l.GetVersion() != "",
		State: order.State{Model: l.GetModel(), Version: l.GetVersion()}, Loading: l.GetLoading(), Load: l.GetRunning() + l.GetQueued()}
	s, ok := c.sent[m.ID]
	if !ok || s.bootID != l.GetBootId() {
		return e
	}
	e.State.Adapters = s.state.Adapters
	if e.State.Version != s.state.Version || e.State.Model != s.state.Model {
		e.Loading = e.Loading || now.Sub(s.at) < loadLimit
	}
	return e
}

// exist asks the weight store for a version before the first engine loads it:
// engines that fail to load one would be lost to the service.
func (c *controller) exist(ctx context.Context, model, version string) bool {
	store := c.server.opts.Weights
	key := weightsKey{model, version}
	until, asked := c.weights[key]
	switch {
	case store == nil || (asked && until.IsZero()):
		return true
	case asked && time.Now().Before(until):
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := store.Stat(ctx, model, version)
	if err == nil {
		c.weights[key] = time.Time{}
		return true
	}
	pause := weightRetry
	var pe *infra.Error
	if errors.As(err, &pe) && pe.RetryAfter > 0 {
		pause = pe.RetryAfter
	}
	c.weights[key] = time.Now().Add(pause)
	c.log.Error("weights not found", zap.String("model", model), zap.String("version", version), zap.Duration("retry_after", pause), zap.Error(err))
	return false
}

// send passes one order to the endpoint's agent. The lease is checked just
// before, since this process may have been paused since the plan was made.
func (c *controller) send(ctx context.Context, h *lease.Held, service string, o order.Order) {
	m, link := c.server.target(service, o.Endpoint)
	if link == nil {
		return
	}
	bootID := link.State().Loads[m.ID].GetBootId()
	if h.Remaining() < orderTimeout+leaseMargin {
		return
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := link.Order(octx, &pb.OrderRequest{EndpointId: o.Endpoint, Model: o.State.Model, Version: o.State.Version,
		Adapters: o.State.Adapters, Role: o.State.Role, Fence: h.Fence})
	var lost *wire.Error
	if reply.GetAccepted() || errors.As(err, &lost) {
		// A lost answer counts as accepted: the engine may be loading.
		c.sent[o.Endpoint] = sentOrder{state: o.State, bootID: bootID, at: time.Now()}
	}
	c.log.Info("order", zap.String("service", service), zap.String("endpoint", o.Endpoint), zap.String("model", o.State.Model),
		zap.String("version", o.State.Version), zap.Strings("adapters", o.State.Adapters), zap.Int64("fence", h.Fence),
		zap.Bool("accepted", reply.GetAccepted()), zap.String("refused", reply.GetMessage()), zap.Error(err))
}
