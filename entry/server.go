// Package entry implements the process that serves callers. It checks client
// accounts, chooses endpoints, opens attempts at agents and returns the responses.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/callers"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
)

// Options are the settings of an entry.
type Options struct {
	// ID identifies this entry in logs and at agents; empty means a random one.
	ID            string
	Region        string
	FailureDomain string
	// HostInterval is the time between polls of the host list.
	HostInterval time.Duration
	// ConfigInterval is the time between full polls of the configuration.
	ConfigInterval time.Duration
	// RevokeTimeout bounds the revocation that proves that a lost attempt did not
	// run.
	RevokeTimeout time.Duration
	// DecisionRecords is the number of decisions kept for the explain command, at
	// least 1.
	DecisionRecords int
	// DecisionLogSample is the sampling interval of the decision log: one of this
	// many decisions with an endpoint is logged; 0 logs none of them. Decisions
	// without an endpoint are always logged.
	DecisionLogSample int
	// Random returns the seed of a decision, which is used to break ties between
	// endpoints; nil means rand.Uint64. It is called concurrently.
	Random func() uint64
	// Weights is the store that must have the weights before engines are ordered to
	// load them; nil disables the check.
	Weights infra.WeightStore
	// LeaseTTL is the duration of the order controller's lease. Another entry
	// takes over within one and a half times this after the holder is lost.
	LeaseTTL time.Duration
	// Driver creates the drivers of endpoints whose hosts have no agent; nil means
	// that such endpoints are not served.
	Driver func(agent.Endpoint) (agent.Driver, error)
	// Scheduler chooses endpoints; nil means the default plug-ins, which the
	// design page describes.
	Scheduler *route.Scheduler
	// ResultTimeout bounds the time for reading the response to a request with an
	// idempotency key after its caller has disconnected.
	ResultTimeout time.Duration
	Claims        call.ClaimOptions
	Wire          wire.Options
	// Log receives the log lines; nil disables logging.
	Log *zap.Logger
	// Registry registers the entry's metrics; nil means that they are not exported.
	Registry prometheus.Registerer
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		HostInterval:      time.Second,
		LeaseTTL:          8 * time.Second,
		ConfigInterval:    5 * time.Second,
		RevokeTimeout:     5 * time.Second,
		DecisionRecords:   4096,
		DecisionLogSample: 1,
		ResultTimeout:     5 * time.Minute,
		Claims:            call.DefaultClaimOptions(),
		Wire:              wire.DefaultOptions(),
	}
}

// Server is an entry. Create it with New and start it with Run.
type Server struct {
	// Config holds the service documents in force.
	Config *config.Table
	// Members tracks the endpoints of the host list and the state of their agents.
	Members *member.Tracker

	opts      Options
	log       *zap.Logger
	store     *config.Store
	hosts     infra.HostList
	scheduler *route.Scheduler
	tracker   *route.Tracker
	decisions *decisions
	// buffers pools candidate slices, which take 0.6 MB for 2,000 endpoints.
	buffers sync.Pool
	// decided counts the decisions with an endpoint, for log sampling.
	decided atomic.Int64
	claims  *call.Claims
	// background tracks the goroutines that outlive their request. Their context
	// ends with Run.
	background       sync.WaitGroup
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	running          runningRequests
	// callers are the connections of the caller API.
	callers    callers.Conns
	rates      rateLimiters
	metrics    *metrics
	draining   atomic.Bool
	configSync *configSync
	embedded   *embeddedAgents
	rollouts   *rollouts

	mu      sync.Mutex
	stopped bool
	// links holds the links by agent address. The map is copied on write.
	links   map[string]*wire.Link
	budgets map[string]*budgets
}

// New returns an entry that uses the given key-value service and host list.
func New(opts Options, kv infra.KV, hosts infra.HostList) *Server {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.ID == "" {
		opts.ID = uuid.NewString()
	}
	if opts.Random == nil {
		opts.Random = rand.Uint64
	}
	if opts.Scheduler == nil {
		opts.Scheduler = selection.New(opts.Log)
	}
	opts.Wire.EntryID = opts.ID
	opts.Wire.Log = opts.Log
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	s := &Server{
		Config: config.NewTable(), Members: member.NewTracker(),
		opts: opts, log: opts.Log, store: &config.Store{KV: kv, Log: opts.Log, Random: opts.Random}, hosts: hosts,
		scheduler: opts.Scheduler, tracker: route.NewTracker(), decisions: newDecisions(opts.DecisionRecords),
		running: runningRequests{counts: map[accountKey]int{}}, rates: rateLimiters{limiters: map[accountKey]*rate.Limiter{}}, metrics: newMetrics(opts.Registry),
		links: map[string]*wire.Link{}, budgets: map[string]*budgets{},
		claims: call.NewClaims(kv, opts.Claims), backgroundCtx: backgroundCtx, cancelBackground: cancelBackground,
	}
	s.embedded = newEmbedded(opts)
	s.opts.Wire.OnLoad, s.opts.Wire.Dial = s.onLoad, s.embedded.Dial
	s.buffers.New = func() any { return new([]route.Endpoint) }
	s.configSync = newConfigSync(s)
	s.rollouts = newRollouts(s.Config)
	return s
}

// Run follows the configuration and the host list, synchronizes agents and takes
// part in the election of the order controller. When ctx ends, it waits for the
// background work and closes the links.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.store.Follow(ctx, s.Config, s.opts.ConfigInterval) })
	wg.Go(func() { s.followHosts(ctx) })
	wg.Go(func() { s.configSync.run(ctx) })
	wg.Go(func() { newController(s).run(ctx) })
	wg.Wait()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancelBackground()
	s.background.Wait()
	s.mu.Lock()
	links := s.links
	s.links = map[string]*wire.Link{}
	s.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	s.embedded.close()
}

// followHosts polls the host list until ctx ends.
func (s *Server) followHosts(ctx context.Context) {
	t := time.NewTicker(s.opts.HostInterval)
	defer t.Stop()
	for {
		hosts, err := s.hosts.Hosts(ctx)
		if err != nil {
			s.log.Warn("host list not read", zap.Error(err))
		} else {
			hosts = s.embedded.reconcile(hosts)
			s.Members.SetHosts(hosts)
			s.pruneTracker(hosts)
			s.connect()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// wireOptions returns the settings of a link. In-process connections are not
// encrypted.
func (s *Server) wireOptions(addr string) wire.Options {
	o := s.opts.Wire
	if strings.HasPrefix(addr, embeddedPrefix) {
		o.Credentials = nil
	}
	return o
}

// connect opens a link to every agent in the host list and closes the links to
// agents that are no longer listed.
func (s *Server) connect() {
	listed := map[string]bool{}
	for _, addr := range s.Members.Agents() {
		listed[addr] = true
		s.mu.Lock()
		_, ok := s.links[addr]
		s.mu.Unlock()
		if ok {
			continue
		}
		l, err := wire.NewLink(addr, s.wireOptions(addr), func(st wire.State) {
			s.Members.SetAgent(addr, st.Up, st.Leaving)
			s.configSync.observe(addr, st)
		})
		if err != nil {
			s.log.Warn("link", zap.String("agent", addr), zap.Error(err))
			continue
		}
		s.mu.Lock()
		s.links = maps.Clone(s.links)
		s.links[addr] = l
		s.mu.Unlock()
	}
	var closing []*wire.Link
	s.mu.Lock()
	kept := make(map[string]*wire.Link, len(s.links))
	for addr, l := range s.links {
		if listed[addr] {
			kept[addr] = l
		} else {
			closing = append(closing, l)
		}
	}
	s.links = kept
	s.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
}

// spawn runs work in a goroutine that outlives its request. It returns false if the
// entry is stopping.
func (s *Server) spawn(work func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.background.Go(func() { work(s.backgroundCtx) })
	return true
}

// target returns the endpoint of a service and the link to its agent. The link is
// nil if the endpoint or the link doesn't exist.
func (s *Server) target(service, id string) (member.Endpoint, *wire.Link) {
	m, ok := s.Members.Endpoint(id)
	if !ok || m.Service != service {
		return member.Endpoint{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return m, s.links[m.Agent]
}

// Ready reports whether the entry has a configuration and an endpoint and is
// not draining.
func (s *Server) Ready() bool {
	if s.draining.Load() {
		return false
	}
	for _, name := range s.Config.Services() {
		for _, m := range s.Members.Service(name) {
			if m.State == member.Ready {
				return true
			}
		}
	}
	return false
}

// bodyLimits returns the largest body limit in bytes and the longest body timeout
// of the services that a key may use. The requested service may only be known once
// the body is read.
func (s *Server) bodyLimits(keyHash string) (int64, time.Duration) {
	var limit, timeout int64
	for _, name := range s.Config.Services() {
		e, ok := s.Config.Get(name)
		if !ok {
			continue
		}
		if _, ok := accountOf(e.Document, keyHash); ok {
			limit = max(limit, e.Document.Limits.MaxBodyBytes)
			timeout = max(timeout, e.Document.Timeouts.BodyReadMs)
		}
	}
	return limit, time.Duration(timeout) * time.Millisecond
}
