// Package entry is the process that callers talk to. It checks accounts,
// chooses endpoints, opens attempts at agents and passes responses back.
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
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
)

// Options are the entry's own settings.
type Options struct {
	// ID names this entry; empty means a random one.
	ID            string
	Region        string
	FailureDomain string
	// HostInterval is the time between polls of the host list.
	HostInterval time.Duration
	// ConfigInterval is the time between full polls of the configuration.
	ConfigInterval time.Duration
	// RevokeTimeout bounds the try to prove that a lost attempt did not run.
	RevokeTimeout time.Duration
	// DecisionRecords is how many decisions are kept for explain.
	DecisionRecords int
	// DecisionLogSample logs one of this many decisions that found an endpoint;
	// 0 logs none of them. Decisions without an endpoint are always logged.
	DecisionLogSample int
	// Random returns the seed of a decision, which breaks ties between
	// endpoints; nil means the runtime's generator. It is called concurrently.
	Random func() uint64
	// Weights is asked whether weights exist before engines are told to load
	// them; nil means that nothing is asked.
	Weights infra.WeightStore
	// LeaseTTL is the length of the order controller's lease. Another entry
	// takes over at most one and a half times this after the holder is lost.
	LeaseTTL time.Duration
	// Driver speaks to endpoints whose hosts have no agent; nil means that such
	// endpoints are not served.
	Driver func(agent.Endpoint) (agent.Driver, error)
	// Scheduler chooses endpoints; nil means the plug-ins of the design page.
	Scheduler *route.Scheduler
	// ResultTimeout bounds the reading of a keyed response whose caller left.
	ResultTimeout time.Duration
	Claims        call.ClaimOptions
	Wire          wire.Options
	Log           *zap.Logger
	// Registry receives the entry's metrics; nil means none.
	Registry prometheus.Registerer
}

// DefaultOptions returns the settings used when nothing else is given.
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

// Server is an entry.
type Server struct {
	Config  *config.Table
	Members *member.Tracker

	opts      Options
	log       *zap.Logger
	store     *config.Store
	hosts     infra.HostList
	scheduler *route.Scheduler
	tracker   *route.Tracker
	decisions *decisions
	// buffers holds candidate slices; a new one for 2,000 endpoints takes 0.6 MB.
	buffers sync.Pool
	// decided counts the decisions that found an endpoint.
	decided atomic.Int64
	claims  *call.Claims
	// background counts the work that outlives its caller; life ends with Run.
	background sync.WaitGroup
	life       context.Context
	end        context.CancelFunc
	running    running
	rates      rates
	metrics    *metrics
	draining   atomic.Bool
	sync       *configSync
	embedded   *embedded
	rollouts   *rollouts

	mu      sync.Mutex
	stopped bool
	// links are the links by agent address. The map is replaced, never changed.
	links   map[string]*wire.Link
	budgets map[string]*budgets
}

// New returns an entry that uses the given platform systems.
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
	life, end := context.WithCancel(context.Background())
	s := &Server{
		Config: config.NewTable(), Members: member.NewTracker(),
		opts: opts, log: opts.Log, store: &config.Store{KV: kv, Log: opts.Log, Random: opts.Random}, hosts: hosts,
		scheduler: opts.Scheduler, tracker: route.NewTracker(), decisions: newDecisions(opts.DecisionRecords),
		running: running{counts: map[accountKey]int{}}, rates: rates{limiters: map[accountKey]*rate.Limiter{}}, metrics: newMetrics(opts.Registry),
		links: map[string]*wire.Link{}, budgets: map[string]*budgets{},
		claims: call.NewClaims(kv, opts.Claims), life: life, end: end,
	}
	s.embedded = newEmbedded(opts)
	s.opts.Wire.OnLoad, s.opts.Wire.Dial = s.onLoad, s.embedded.Dial
	s.buffers.New = func() any { return new([]route.Endpoint) }
	s.sync = newConfigSync(s)
	s.rollouts = newRollouts(s.Config)
	return s
}

// Run follows the configuration and the host list until ctx ends, then closes
// the links.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.store.Follow(ctx, s.Config, s.opts.ConfigInterval) })
	wg.Go(func() { s.followHosts(ctx) })
	wg.Go(func() { s.sync.run(ctx) })
	wg.Go(func() { newController(s).run(ctx) })
	wg.Wait()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.end()
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

func (s *Server) followHosts(ctx context.Context) {
	t := time.NewTicker(s.opts.HostInterval)
	defer t.Stop()
	for {
		hosts, err := s.hosts.Hosts(ctx)
		if err != nil {
			s.log.Warn("host list not read", zap.Error(err))
		} else {
			hosts = s.embedded.serve(hosts)
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

// wireOptions returns the settings of a link. A connection in this process is
// not encrypted.
func (s *Server) wireOptions(addr string) wire.Options {
	o := s.opts.Wire
	if strings.HasPrefix(addr, embeddedPrefix) {
		o.Credentials = nil
	}
	return o
}

// connect opens a link to every agent in the host list and closes those to
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
			s.sync.observe(addr, st)
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

// spawn runs work that outlives its caller, unless the entry is stopping.
func (s *Server) spawn(work func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.background.Go(func() { work(s.life) })
	return true
}

// target returns the endpoint and the link to its agent.
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

// bodyLimits returns the largest body and the longest body timeout of the
// services that a key may use. Which of them is asked for stands in the body.
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
