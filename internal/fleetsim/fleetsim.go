// Package fleetsim measures endpoint selection and admission on the whole
// system: entries, agents, queues, hedging and resume with stand-in engines on
// an in-memory network, in virtual time. Run must be called inside a
// testing/synctest bubble.
package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

// Services of the fleet: one for long prompts, one for short checks.
const (
	serviceLarge = "large"
	serviceSmall = "small"
)

const (
	regions         = 3
	enginesPerAgent = 2
	smallEngines    = 3
	weightsVersion  = "v1"
	// settleTime lets links, load reports and configuration arrive.
	settleTime = 3 * time.Second
	// warmUp is the start of the trace that the figures leave out.
	warmUp = 2 * time.Second
	// drainTime ends the requests that still run after the trace.
	drainTime = 20 * time.Second
)

// Properties of the engines.
const (
	// prefillPerToken lets a prompt without any cached block meet the first
	// token target on an idle engine.
	prefillPerToken = 25 * time.Microsecond
	tokenGap        = 8 * time.Millisecond
	// gapPerRequest brings the time between tokens to its target of 64 ms at 28 requests.
	gapPerRequest = 2 * time.Millisecond
	slots         = 64
	// cacheBlocks holds about 14 prompts of 7,000 tokens.
	cacheBlocks   = 100_000 * bytesPerToken / engine.BlockBytes
	blockLifetime = 6 * time.Second
	reportLag     = time.Second
	eventDelay    = 300 * time.Millisecond
	eventLoss     = 0.02
)

// Workload shapes a trace and its fleet.
type Workload struct {
	Name        string
	Engines     int
	ClientDelay time.Duration
	Duration    time.Duration
	// Rate is the number of requests per second, Surge its factor in the
	// second half of each SurgePeriod, Checks the checks per request.
	RequestsPerSecond float64
	SurgeFactor       float64
	SurgePeriod       time.Duration
	ChecksPerRequest  float64
	// In each StragglePeriod one engine is slower by StraggleFactor for 1 to 3 s.
	StragglerPeriod   time.Duration
	StragglerSlowdown float64
}

// Zarqa is the workload of many prefixes and short checks; AsanteBoakye has
// sudden demand and stragglers.
var (
	PrefixWorkload = Workload{Name: "A", Engines: 12, ClientDelay: time.Millisecond, Duration: 15 * time.Second,
		RequestsPerSecond: 70, SurgeFactor: 1, SurgePeriod: 10 * time.Second, ChecksPerRequest: 0.5}
	SurgeWorkload = Workload{Name: "B", Engines: 18, ClientDelay: 3 * time.Millisecond, Duration: 15 * time.Second,
		RequestsPerSecond: 60, SurgeFactor: 2.5, SurgePeriod: 8 * time.Second, ChecksPerRequest: 0.2, StragglerPeriod: 3 * time.Second, StragglerSlowdown: 8}
)

func (w Workload) surging(at time.Duration) bool {
	return w.SurgeFactor > 1 && at%w.SurgePeriod >= w.SurgePeriod/2
}

// Variant is a way to run the system.
type Variant struct {
	Name string
	// Scheduler returns the choice of each entry; nil means the design's.
	Scheduler func() *route.Scheduler
	// HedgePercent is the hedge budget in the service documents.
	HedgePercent int
}

// sim is one run.
type sim struct {
	workload Workload
	seed     uint64
	fleet    *fleet.Fleet
	base     *fleet.MemoryNetwork
	crossed  atomic.Int64
	registry []*prometheus.Registry
	large    []string
	slow     []span
	clients  []*http.Client

	mu     sync.Mutex
	result collector
}

// span is a part of the trace.
type span struct{ from, to time.Duration }

func regionName(i int) string { return string(rune('a' + i)) }

// Run replays the workload against a new fleet and returns the figures.
func Run(w Workload, v Variant, seed uint64) (Result, error) {
	s := &sim{workload: w, seed: seed, base: fleet.NewMemoryNetwork()}
	if err := s.start(v); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	jobs := newTrace(w, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	begin := time.Now()
	wg.Go(func() { s.straggle(ctx, begin) })
	for i := range jobs {
		time.Sleep(time.Until(begin.Add(jobs[i].at)))
		wg.Go(func() { s.call(&jobs[i]) })
	}
	time.Sleep(drainTime)
	cancel()
	wg.Wait()
	s.result.finish(s, jobs)
	s.fleet.Close()
	time.Sleep(time.Second) // data on its way
	return s.result.result(), nil
}

func (s *sim) start(v Variant) error {
	var err error
	if s.fleet, err = fleet.New(s.base, nil); err != nil {
		return err
	}
	if err := s.addAgents(); err != nil {
		return err
	}
	for i := range regions {
		if err := s.addEntry(i, v); err != nil {
			return err
		}
	}
	return s.configure(v)
}

func (s *sim) use(region int) {
	s.fleet.Network = newView(s.base, regionName(region), &s.crossed)
}

func (s *sim) addAgents() error {
	perRegion := s.workload.Engines / regions
	for r := range regions {
		s.use(r)
		for a := range perRegion / enginesPerAgent {
			var opts []engine.Options
			for e := range enginesPerAgent {
				id := fmt.Sprintf("%s-large-engine-%d", regionName(r), a*enginesPerAgent+e)
				s.large = append(s.large, id)
				opts = append(opts, options(id, serviceLarge))
			}
			if err := s.addAgent(r, fmt.Sprintf("%s-agent-%d", regionName(r), a), opts); err != nil {
				return err
			}
		}
		small := []engine.Options{options(regionName(r)+"-small-engine", serviceSmall)}
		if err := s.addAgent(r, regionName(r)+"-agent-small", small); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) addAgent(region int, name string, engines []engine.Options) error {
	_, err := s.fleet.AddAgent(fleet.AgentSpec{Name: name, Region: regionName(region), FailureDomain: name, Engines: engines,
		Service: func(id string) string { return strings.Split(id, "-")[1] }})
	for _, o := range engines {
		s.fleet.Engines[o.ID].SetFaults(normal())
	}
	return err
}

func options(id, service string) engine.Options {
	return engine.Options{ID: id, Model: service, Version: weightsVersion, PrefillPerToken: prefillPerToken, TokenGap: tokenGap,
		GapPerRequest: gapPerRequest, SerialPrefill: true, OutputTokens: length, Slots: slots, CacheBlocks: cacheBlocks,
		BlockLifetime: blockLifetime, ReportLag: reportLag}
}

func normal() engine.Faults { return engine.Faults{EventDelay: eventDelay, EventLoss: eventLoss} }

func (s *sim) addEntry(region int, v Variant) error {
	s.use(region)
	opts := entry.DefaultOptions()
	opts.Region = regionName(region)
	if v.Scheduler != nil {
		opts.Scheduler = v.Scheduler()
	}
	reg := prometheus.NewRegistry()
	s.registry = append(s.registry, reg)
	opts.Registry = reg
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(s.seed, uint64(region)+10))
	opts.Random = func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Uint64()
	}
	_, err := s.fleet.AddEntry(regionName(region)+"-entry", opts)
	near := fleet.DelayedNetwork{Network: s.base, Delay: func(string) time.Duration { return s.workload.ClientDelay }}
	s.clients = append(s.clients, &http.Client{Transport: &http.Transport{DialContext: near.Dial, MaxIdleConnsPerHost: 256}})
	return err
}

func (s *sim) configure(v Variant) error {
	var list []string
	for i := range accounts {
		list = append(list, fmt.Sprintf(`{"name":"account-%d","key_sha256":[%q]}`, i, fleet.KeyHash(secret(i))))
	}
	store, err := s.fleet.Store()
	if err != nil {
		return err
	}
	for _, name := range []string{serviceLarge, serviceSmall} {
		doc := fmt.Sprintf(`{"service":%q,"kind":"engine","model":%q,"version":%q,"accounts":[%s],"budgets":{"hedge_percent":%d}}`,
			name, name, weightsVersion, strings.Join(list, ","), v.HedgePercent)
		if _, err := store.Apply(context.Background(), []byte(doc), 0, "fleetsim"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.fleet.WaitReady(ctx)
}

func secret(account int) string { return fmt.Sprintf("secret-%d", account) }

// straggle slows one engine after the other until ctx ends.
func (s *sim) straggle(ctx context.Context, begin time.Time) {
	if s.workload.StragglerPeriod == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(s.seed, 3))
	for at := s.workload.StragglerPeriod; at < s.workload.Duration; at += s.workload.StragglerPeriod {
		e := s.fleet.Engines[s.large[rng.IntN(len(s.large))]]
		long := time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		s.mu.Lock()
		s.slow = append(s.slow, span{at, at + long})
		s.mu.Unlock()
		if !wait.Sleep(ctx, time.Until(begin.Add(at))) {
			return
		}
		f := normal()
		f.Slowdown = s.workload.StragglerSlowdown
		e.SetFaults(f)
		if !wait.Sleep(ctx, long) {
			return
		}
		e.SetFaults(normal())
	}
}
