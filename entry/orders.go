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

// controllerKey is the key of the lock that elects the entry that sends orders.
const controllerKey = "citrontiller/leader/orders"

const (
	// planInterval is the time between comparisons of desired and observed state.
	planInterval = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// leaseMargin is the time that must remain of the lease, beyond orderTimeout,
	// when an order is sent.
	leaseMargin = time.Second
	// loadTimeout is how long an engine that accepted an order counts as loading
	// if it does not report the new state. The order is sent again after that.
	loadTimeout = time.Minute
	// weightRetryInterval is the delay before the weight store is queried again
	// for weights that were not found, unless the store's error sets one.
	weightRetryInterval = 10 * time.Second
)

// controller orders engines to load the weights and adapters in the service
// documents. It runs at one entry at a time, under a lease whose fencing token the
// agents check.
type controller struct {
	server *Server
	log    *zap.Logger
	// sent holds the latest accepted order of each endpoint.
	sent map[string]sentOrder
	// weights holds the time of the next query to the weight store by model and
	// version; the zero time means that the weights exist.
	weights map[weightsKey]time.Time
}

type sentOrder struct {
	state  order.State
	bootID string
	at     time.Time
}

type weightsKey struct{ model, version string }

func newController(s *Server) *controller { return &controller{server: s, log: s.log} }

// run takes part in the leader election until ctx ends.
func (c *controller) run(ctx context.Context) {
	l := &lease.Lock{KV: c.server.store.KV, Key: controllerKey, Holder: c.server.opts.ID, TTL: c.server.opts.LeaseTTL, Log: c.log}
	l.Run(ctx, c.runWithLease)
}

// runWithLease plans and sends orders while this entry holds the lease.
func (c *controller) runWithLease(ctx context.Context, h *lease.Held) {
	c.sent, c.weights = map[string]sentOrder{}, map[weightsKey]time.Time{}
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		for _, name := range c.server.Config.Services() {
			if e, ok := c.server.Config.Get(name); ok && e.Document.Kind == infra.Engine && e.Document.Version != "" {
				c.planService(ctx, h, e.Document)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// planService plans the orders for a service's engines and sends them.
func (c *controller) planService(ctx context.Context, h *lease.Held, d *config.Document) {
	want := order.State{Model: d.Model, Version: d.Version, Adapters: d.Adapters}
	members := c.server.Members.Service(d.Service)
	observed := make([]order.Endpoint, 0, len(members))
	for _, m := range members {
		observed = append(observed, c.observe(m, c.server.loadOf(m), time.Now()))
	}
	orders := order.Plan(want, observed, d.Engine.WeightLoadSlots)
	if len(orders) == 0 || !c.weightsExist(ctx, d.Model, d.Version) {
		return
	}
	for _, o := range orders {
		c.send(ctx, h, d.Service, o)
	}
}

// observe returns an endpoint's state for the plan. Engines do not report
// adapters, so those of the latest order are assumed until the engine restarts.
func (c *controller) observe(m member.Endpoint, l *pb.EndpointLoad, now time.Time) order.Endpoint {
	e := order.Endpoint{ID: m.ID, Reachable: m.State == member.Ready && l.GetVersion() != "",
		State: order.State{Model: l.GetModel(), Version: l.GetVersion()}, Loading: l.GetLoading(), Load: l.GetRunning() + l.GetQueued()}
	s, ok := c.sent[m.ID]
	if !ok || s.bootID != l.GetBootId() {
		return e
	}
	e.State.Adapters = s.state.Adapters
	if e.State.Version != s.state.Version || e.State.Model != s.state.Model {
		e.Loading = e.Loading || now.Sub(s.at) < loadTimeout
	}
	return e
}

// weightsExist checks that the weight store has a version before the first engine
// loads it, because an engine that fails to load weights stops serving.
func (c *controller) weightsExist(ctx context.Context, model, version string) bool {
	store := c.server.opts.Weights
	key := weightsKey{model, version}
	retryAt, checked := c.weights[key]
	switch {
	case store == nil || (checked && retryAt.IsZero()):
		return true
	case checked && time.Now().Before(retryAt):
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := store.Stat(ctx, model, version)
	if err == nil {
		c.weights[key] = time.Time{}
		return true
	}
	delay := weightRetryInterval
	var pe *infra.Error
	if errors.As(err, &pe) && pe.RetryAfter > 0 {
		delay = pe.RetryAfter
	}
	c.weights[key] = time.Now().Add(delay)
	c.log.Error("weights not found", zap.String("model", model), zap.String("version", version), zap.Duration("retry_after", delay), zap.Error(err))
	return false
}

// send sends one order to the endpoint's agent. The lease is checked immediately
// before, because this process may have been paused since the plan was made.
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
		// A lost reply counts as accepted, because the engine may be loading.
		c.sent[o.Endpoint] = sentOrder{state: o.State, bootID: bootID, at: time.Now()}
	}
	c.log.Info("order", zap.String("service", service), zap.String("endpoint", o.Endpoint), zap.String("model", o.State.Model),
		zap.String("version", o.State.Version), zap.Strings("adapters", o.State.Adapters), zap.Int64("fence", h.Fence),
		zap.Bool("accepted", reply.GetAccepted()), zap.String("refused", reply.GetMessage()), zap.Error(err))
}
