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
	// embeddedPrefix is the prefix of the addresses of embedded agents.
	embeddedPrefix = "embedded."
	// embeddedBufferBytes is the size of the in-process connection's buffers.
	embeddedBufferBytes = 64 << 10
	// embeddedSweepInterval is the time between evictions of expired attempts.
	embeddedSweepInterval = 10 * time.Second
)

// embeddedAgents runs an agent in this process for each endpoint whose host has
// none. Requests use the same protocol as with any agent, over an in-process
// connection. The guarantees hold while the entry process runs: a non-idempotent
// call is dispatched at most once, and "not run" is proven. The agent ends with the
// entry, so that no other entry can attach to its attempts, and the outcome of a
// running call with an idempotency key is unknown. Each entry has its own queue, so
// that an endpoint's load is the sum over all entries.
type embeddedAgents struct {
	id     string
	driver func(agent.Endpoint) (agent.Driver, error)
	dial   kernel.Dialer
	log    *zap.Logger

	mu     sync.Mutex
	agents map[string]*embeddedAgent
	wg     sync.WaitGroup
}

// embeddedAgent is the embedded agent of one endpoint.
type embeddedAgent struct {
	host     infra.Host
	server   *agent.Server
	grpc     *grpc.Server
	listener *bufconn.Listener
	cancel   context.CancelFunc
}

func newEmbedded(opts Options) *embeddedAgents {
	return &embeddedAgents{id: opts.ID, driver: opts.Driver, dial: opts.Wire.Dial, log: opts.Log, agents: map[string]*embeddedAgent{}}
}

// reconcile starts agents for endpoints without one and drains the agents of
// endpoints that are no longer listed or whose address, service or kind has
// changed. It returns the host list with the addresses of the embedded agents.
func (m *embeddedAgents) reconcile(hosts []infra.Host) []infra.Host {
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
			m.wg.Go(a.drainAndStop)
		}
	}
	for address, h := range listed {
		if m.agents[address] == nil {
			m.start(address, h)
		}
	}
	return out
}

// start starts an agent. The caller holds mu.
func (m *embeddedAgents) start(address string, h infra.Host) {
	opts := agent.DefaultOptions()
	opts.Log = m.log
	srv, err := agent.New(opts, []agent.Endpoint{{ID: h.ID, Service: h.Service, Kind: h.Kind, Address: h.Address}}, m.driver)
	if err != nil {
		m.log.Error("embedded agent not started", zap.String("endpoint", h.ID), zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &embeddedAgent{host: h, server: srv, grpc: grpc.NewServer(), listener: bufconn.Listen(embeddedBufferBytes), cancel: cancel}
	pb.RegisterAgentServer(a.grpc, srv)
	m.wg.Go(func() { _ = a.grpc.Serve(a.listener) })
	m.wg.Go(func() { srv.Follow(ctx) })
	m.wg.Go(func() { srv.Sweep(ctx, embeddedSweepInterval) })
	m.agents[address] = a
	m.log.Info("embedded agent started", zap.String("endpoint", h.ID), zap.String("address", h.Address))
}

// drainAndStop refuses new attempts, waits for the running ones and stops the
// agent.
func (a *embeddedAgent) drainAndStop() {
	a.server.Leave()
	_ = a.server.Drain(context.Background())
	a.stop()
}

func (a *embeddedAgent) stop() {
	a.cancel()
	a.grpc.Stop()
}

// Dial connects to embedded agents in process and to all other addresses over the
// network.
func (m *embeddedAgents) Dial(ctx context.Context, network, address string) (net.Conn, error) {
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

// close stops all agents and waits for their goroutines.
func (m *embeddedAgents) close() {
	m.mu.Lock()
	for _, a := range m.agents {
		a.stop()
	}
	m.agents = map[string]*embeddedAgent{}
	m.mu.Unlock()
	m.wg.Wait()
}
