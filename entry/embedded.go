package entry

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/wire/pb"
)

const (
	// embeddedPrefix marks the address of an embedded agent.
	embeddedPrefix = "embedded."
	// embeddedBuffer is the size of the in-process connection's buffers in bytes.
	embeddedBuffer = 64 << 10
	// embeddedSweep is the time between evictions of expired attempts.
	embeddedSweep = 10 * time.Second
)

// embedded runs an agent in this process for each endpoint whose host has none.
// A request takes the same path as to any agent, over an in-process connection.
// The guarantees hold as long as the entry lives: a non-idempotent call is
// dispatched at most once and "not run" is proven. The agent dies with the entry,
// so that no other entry can attach to its attempts, and the outcome of a keyed
// call that was running is unknown. Each entry has a queue of its own, and the
// endpoint sees the sum of them.
type embedded struct {
	id     string
	driver func(agent.Endpoint) (agent.Driver, error)
	dial   kernel.Dialer
	log    *zap.Logger

	mu     sync.Mutex
	agents map[string]*embeddedAgent
	work   sync.WaitGroup
}

// embeddedAgent is the agent of one endpoint.
type embeddedAgent struct {
	host     infra.Host
	server   *agent.Server
	grpc     *grpc.Server
	listener *bufconn.Listener
	end      context.CancelFunc
}

func newEmbedded(opts Options) *embedded {
	return &embedded{id: opts.ID, driver: opts.Driver, dial: opts.Wire.Dial, log: opts.Log, agents: map[string]*embeddedAgent{}}
}

// serve starts agents for endpoints without one, ends those of endpoints that
// are no longer listed or have moved, and returns the list with the agents'
// addresses.
func (m *embedded) serve(hosts []infra.Host) []infra.Host {
	if m.driver == nil {
		return hosts
	}
	out := make([]infra.Host, len(hosts))
	listed := map[string]infra.Host{}
	for i, h := range hosts {
		if h.Agent == "" {
			h.Agent = embeddedPrefix + m.id + "." + h.ID
			listed[h.Agent] = h
		}
		out[i] = h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, a := range m.agents {
		if h, ok := listed[address]; !ok || h.Address != a.host.Address || h.Service != a.host.Service || h.Kind != a.host.Kind {
			delete(m.agents, address)
			m.work.Go(a.leave)
		}
	}
	for address, h := range listed {
		if m.agents[address] == nil {
			m.start(address, h)
		}
	}
	return out
}

// start runs an agent; the caller holds mu.
func (m *embedded) start(address string, h infra.Host) {
	opts := agent.DefaultOptions()
	opts.Log = m.log
	srv, err := agent.New(opts, []agent.Endpoint{{ID: h.ID, Service: h.Service, Kind: h.Kind, Address: h.Address}}, m.driver)
	if err != nil {
		m.log.Error("endpoint without an agent", zap.String("endpoint", h.ID), zap.Error(err))
		return
	}
	ctx, end := context.WithCancel(context.Background())
	a := &embeddedAgent{host: h, server: srv, grpc: grpc.NewServer(), listener: bufconn.Listen(embeddedBuffer), end: end}
	pb.RegisterAgentServer(a.grpc, srv)
	m.work.Go(func() { _ = a.grpc.Serve(a.listener) })
	m.work.Go(func() { srv.Follow(ctx) })
	m.work.Go(func() { srv.Sweep(ctx, embeddedSweep) })
	m.agents[address] = a
	m.log.Info("embedded agent", zap.String("endpoint", h.ID), zap.String("address", h.Address))
}

// leave finishes the running requests and ends the agent.
func (a *embeddedAgent) leave() {
	a.server.Leave()
	_ = a.server.Drain(context.Background())
	a.stop()
}

func (a *embeddedAgent) stop() {
	a.end()
	a.grpc.Stop()
}

// Dial connects to embedded agents in this process and to others by the network.
func (m *embedded) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if strings.HasPrefix(address, embeddedPrefix) {
		m.mu.Lock()
		a := m.agents[address]
		m.mu.Unlock()
		if a == nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
		}
		return a.listener.DialContext(ctx)
	}
	if m.dial != nil {
		return m.dial(ctx, network, address)
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

// close ends all agents and waits for them.
func (m *embedded) close() {
	m.mu.Lock()
	for _, a := range m.agents {
		a.stop()
	}
	m.agents = map[string]*embeddedAgent{}
	m.mu.Unlock()
	m.work.Wait()
}
