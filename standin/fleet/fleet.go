package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
	_ "github.com/citrontiller/citrontiller/plugins/etcd"   // registers kv.etcd
	_ "github.com/citrontiller/citrontiller/plugins/httpsd" // registers hosts.httpsd
	_ "github.com/citrontiller/citrontiller/plugins/openai" // registers endpoint.openai
	_ "github.com/citrontiller/citrontiller/plugins/plain"  // registers endpoint.plain
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/hosts"
	"github.com/citrontiller/citrontiller/standin/kv"
	"github.com/citrontiller/citrontiller/standin/plain"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Fleet is a running system: stand-ins, agents and entries.
type Fleet struct {
	Network Network
	KV      *kv.Server
	Hosts   *hosts.Server
	Log     *zap.Logger
	// Engines and Plains hold the stand-ins of the endpoints by endpoint id.
	Engines map[string]*engine.Server
	Plains  map[string]*plain.Server
	Agents  []*Agent
	Entries []*Entry
	// KVAddress and HostsAddress are the addresses of the key-value service and
	// the host list.
	KVAddress    string
	HostsAddress string
	// Recorder records every message; nil disables recording.
	Recorder *Recorder

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	hostList []infra.Host // guarded by mu
}

// Agent is an agent of a fleet with its gRPC server.
type Agent struct {
	*agent.Server
	Address string
	GRPC    *grpc.Server

	stop      context.CancelFunc
	name      string
	opts      agent.Options
	endpoints []agent.Endpoint
}

// Entry is an entry of a fleet with its HTTP server.
type Entry struct {
	*entry.Server
	Address string

	drain   context.CancelFunc
	drained chan struct{}
}

// Drain shuts the entry down as SIGTERM does and may be called more than once.
// The returned channel is closed when the last request has finished.
func (e *Entry) Drain() <-chan struct{} {
	e.drain()
	return e.drained
}

// DrainDelay is the time for which a draining entry keeps its listener open.
const DrainDelay = 3 * time.Second

// New starts a fleet with the platform's stand-ins and neither agents nor entries.
// A nil log discards all log output.
func New(n Network, log *zap.Logger) (*Fleet, error) { return NewRecorded(n, log, nil) }

// NewRecorded is New with a recorder of all messages; nil disables recording.
func NewRecorded(n Network, log *zap.Logger, r *Recorder) (*Fleet, error) {
	if log == nil {
		log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{Network: n, KV: kv.New(), Hosts: hosts.New(), Log: log, Engines: map[string]*engine.Server{},
		Plains: map[string]*plain.Server{}, Recorder: r, ctx: ctx, cancel: cancel}
	var err error
	if f.KVAddress, err = f.Serve("kv", f.KV); err != nil {
		return nil, err
	}
	if f.HostsAddress, err = f.Serve("hosts", f.Hosts); err != nil {
		return nil, err
	}
	return f, nil
}

// Serve starts an HTTP server for a handler and returns its address. The server
// runs until Close.
func (f *Fleet) Serve(name string, h http.Handler) (string, error) {
	l, addr, err := f.Network.Listen(name)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: f.Recorder.handler(name, h), ReadHeaderTimeout: 10 * time.Second, BaseContext: func(net.Listener) context.Context { return f.ctx }}
	f.wg.Go(func() { _ = srv.Serve(l) })
	f.wg.Go(func() {
		<-f.ctx.Done()
		_ = srv.Close()
	})
	return addr, nil
}

func (f *Fleet) settings(address string) kernel.Settings {
	return kernel.Settings{Address: address, Dial: f.Network.Dial, Timeout: 2 * time.Second, Log: f.Log}
}

// AgentSpec describes an agent and its endpoints.
type AgentSpec struct {
	Name          string
	Region        string
	FailureDomain string
	// Engines holds the options of the engines to start, Plains the ids of the
	// plain services.
	Engines []engine.Options
	Plains  []string
	// Service maps an endpoint id to its service.
	Service func(id string) string
	// Options are the agent's options. If their Concurrency is 0, they are replaced
	// by agent.DefaultOptions.
	Options agent.Options
}

// AddAgent starts an agent with its endpoints and adds them to the host list.
func (f *Fleet) AddAgent(spec AgentSpec) (*Agent, error) {
	l, addr, err := f.Network.Listen(spec.Name)
	if err != nil {
		return nil, err
	}
	var eps []agent.Endpoint
	var list []infra.Host
	add := func(id string, kind infra.Kind, address string) {
		ep := agent.Endpoint{ID: id, Service: spec.Service(id), Kind: kind, Address: address}
		eps = append(eps, ep)
		list = append(list, infra.Host{ID: id, Service: ep.Service, Kind: kind, Address: address, Agent: addr,
			Region: spec.Region, FailureDomain: spec.FailureDomain, State: infra.Live})
	}
	for _, o := range spec.Engines {
		a, err := f.StartEngine(o)
		if err != nil {
			return nil, err
		}
		add(o.ID, infra.Engine, a)
	}
	for _, id := range spec.Plains {
		a, err := f.StartPlain(id)
		if err != nil {
			return nil, err
		}
		add(id, infra.Plain, a)
	}
	a, err := f.startAgent(spec.Name, spec.Options, l, addr, eps)
	if err != nil {
		return nil, err
	}
	f.Agents = append(f.Agents, a)
	f.mu.Lock()
	f.hostList = append(f.hostList, list...)
	f.Hosts.Set(f.hostList)
	f.mu.Unlock()
	return a, nil
}

// driver loads the driver for an endpoint.
func (f *Fleet) driver(ep agent.Endpoint) (agent.Driver, error) {
	return agent.LoadDriver(f.ctx, ep, f.settings(ep.Address))
}

// RestartAgent stops the agent with index i as a crash does and starts a new one at the same
// address after the downtime, in which the address refuses connections. It needs
// a MemoryNetwork, because the address of a loopback listener changes.
func (f *Fleet) RestartAgent(i int, downtime time.Duration) error {
	old := f.Agents[i]
	old.stop()
	old.GRPC.Stop()
	time.Sleep(downtime)
	l, addr, err := f.Network.Listen(old.name)
	if err != nil {
		return err
	}
	f.Agents[i], err = f.startAgent(old.name, old.opts, l, addr, old.endpoints)
	return err
}

func (f *Fleet) startAgent(name string, opts agent.Options, l net.Listener, addr string, eps []agent.Endpoint) (*Agent, error) {
	if opts.Concurrency == 0 {
		opts = agent.DefaultOptions()
	}
	opts.Log = f.Log
	srv, err := agent.New(opts, eps, f.driver)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(f.ctx)
	g := grpc.NewServer(grpc.StreamInterceptor(f.Recorder.streamInterceptor(name)), grpc.UnaryInterceptor(f.Recorder.unaryInterceptor(name)))
	pb.RegisterAgentServer(g, srv)
	f.wg.Go(func() { _ = g.Serve(l) })
	f.wg.Go(func() {
		<-ctx.Done()
		g.Stop()
	})
	f.wg.Go(func() { srv.Sweep(ctx, 10*time.Second) })
	f.wg.Go(func() { srv.Follow(ctx) })
	return &Agent{Server: srv, Address: addr, GRPC: g, stop: stop, name: name, opts: opts, endpoints: eps}, nil
}

// AddEntry starts an entry. The options ID, Log, Driver and Wire.Dial are
// overwritten; a nil Random is replaced by a deterministic generator.
func (f *Fleet) AddEntry(name string, opts entry.Options) (*Entry, error) {
	kvd, err := kernel.Load[infra.KV](f.ctx, "kv.etcd", f.settings(f.KVAddress))
	if err != nil {
		return nil, err
	}
	hl, err := kernel.Load[infra.HostList](f.ctx, "hosts.httpsd", f.settings(f.HostsAddress))
	if err != nil {
		return nil, err
	}
	opts.ID = name
	opts.Log = f.Log
	opts.Wire.Dial = f.Network.Dial
	opts.Driver = f.driver
	if opts.Random == nil {
		opts.Random = deterministicRandom(name)
	}
	srv := entry.New(opts, kvd, hl)
	l, addr, err := f.Network.Listen(name)
	if err != nil {
		return nil, err
	}
	f.wg.Go(func() { srv.Run(f.ctx) })
	ctx, drain := context.WithCancel(context.Background())
	e := &Entry{Server: srv, Address: addr, drain: drain, drained: make(chan struct{})}
	h := srv.HTTPServer()
	h.Handler = f.Recorder.handler(name, h.Handler)
	f.wg.Go(func() {
		<-f.ctx.Done()
		_ = h.Close()
	})
	f.wg.Go(func() {
		defer close(e.drained)
		if err := srv.Serve(ctx, h, l, DrainDelay); err != nil {
			f.Log.Error("entry", zap.String("entry", name), zap.Error(err))
		}
	})
	f.Entries = append(f.Entries, e)
	return e, nil
}

// deterministicRandom returns a generator that yields the same numbers in each
// run, so that test results are reproducible.
func deterministicRandom(name string) func() uint64 {
	var calls atomic.Uint64
	return func() uint64 { return xxhash.Sum64String(fmt.Sprint(name, calls.Add(1))) }
}

// Store returns a configuration store, through which tests edit the documents as
// an operator does.
func (f *Fleet) Store() (*config.Store, error) {
	kvd, err := kernel.Load[infra.KV](f.ctx, "kv.etcd", f.settings(f.KVAddress))
	if err != nil {
		return nil, err
	}
	return &config.Store{KV: kvd, Log: f.Log}, nil
}

// Client returns an HTTP client on the fleet's network.
func (f *Fleet) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: f.Network.Dial}}
}

// WaitReady waits until every entry is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, e := range f.Entries {
		for !e.Ready() {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("entry at %s is not ready: %w", e.Address, ctx.Err())
			}
		}
	}
	return nil
}

// Close stops the stand-ins, agents and entries and waits for their goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}

// SetDirectHosts replaces the hosts in the host list that have no agent.
func (f *Fleet) SetDirectHosts(direct ...infra.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostList = append(slices.DeleteFunc(f.hostList, func(h infra.Host) bool { return h.Agent == "" }), direct...)
	f.Hosts.Set(f.hostList)
}

// StartEngine starts an engine without an agent and returns its address. The host
// list stays unchanged.
func (f *Fleet) StartEngine(o engine.Options) (string, error) {
	f.Engines[o.ID] = engine.New(o)
	return f.Serve(o.ID, f.Engines[o.ID])
}

// StartPlain starts a plain service without an agent and returns its address. The
// host list stays unchanged.
func (f *Fleet) StartPlain(id string) (string, error) {
	f.Plains[id] = plain.New(id)
	return f.Serve(id, f.Plains[id])
}

// StreamedText returns the text of a streamed chat response and whether the
// stream ends with its [DONE] event.
func StreamedText(body string) (text string, done bool) {
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

// KeyHash returns the SHA-256 hash of an API key in hexadecimal, the form used in
// service documents.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
