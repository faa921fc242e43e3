// Package fleetsim measures endpoint selection and admission on the whole system
// in virtual time: entries, agents, queues, hedging and resumption, with stand-in
// engines on an in-memory network. Run must be called inside a testing/synctest
// bubble.
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

// The services of the fleet: one for long prompts, one for short checks.
const (
	serviceLarge = "large"
	serviceSmall = "small"
)

const (
	regions         = 3
	enginesPerAgent = 2
	smallEngines    = 3
	weightsVersion  = "v1"
	// settleTime is the time before the trace in which links open, and load reports
	// and the configuration arrive.
	settleTime = 3 * time.Second
	// warmUp is the time at the start of the trace whose responses are not counted.
	// The counts of engines and entries include it.
	warmUp = 2 * time.Second
	// drainTime is the time after the trace in which running requests may end.
	drainTime = 20 * time.Second
)

// Properties of the engines.
const (
	// prefillPerToken lets an idle engine meet the target for the time to first
	// token with no cached block.
	prefillPerToken = 25 * time.Microsecond
	// tokenGap is the time between two output tokens. gapPerRequest is added for
	// each running request, so that the gap reaches its target of 64 ms at 28
	// requests.
	tokenGap      = 8 * time.Millisecond
	gapPerRequest = 2 * time.Millisecond
	// slots is the number of requests that an engine runs at a time.
	slots = 64
	// cacheBlocks holds about 14 prompts of 7,000 tokens.
	cacheBlocks   = 100_000 * bytesPerToken / engine.BlockBytes
	blockLifetime = 6 * time.Second
	// reportLag is the age of load reports.
	reportLag = time.Second
	// eventDelay and eventLoss are the delay of cache events and the share that is
	// lost.
	eventDelay = 300 * time.Millisecond
	eventLoss  = 0.02
)

// Workload describes a trace and the fleet that serves it.
type Workload struct {
	Name string
	// Engines is the number of engines of the large service.
	Engines int
	// ClientDelay is the one-way delay between callers and their entry.
	ClientDelay time.Duration
	// Duration is the length of the trace.
	Duration          time.Duration
	RequestsPerSecond float64
	// SurgeFactor multiplies RequestsPerSecond in the second half of each
	// SurgePeriod; 1 means no surges.
	SurgeFactor float64
	SurgePeriod time.Duration
	// ChecksPerRequest is the chance that a short check accompanies a request.
	ChecksPerRequest float64
	// In each StragglerPeriod one engine is slower by the factor StragglerSlowdown
	// for 1 to 3 s. Without a StragglerPeriod there are no stragglers.
	StragglerPeriod   time.Duration
	StragglerSlowdown float64
}

// PrefixWorkload has many shared prefixes and short checks. SurgeWorkload has load
// surges and stragglers. They have the numbers of engines and the client delays of
// the two users in section 1 of docs/design.md, in the same order.
var (
	PrefixWorkload = Workload{Name: "A", Engines: 12, ClientDelay: time.Millisecond, Duration: 15 * time.Second,
		RequestsPerSecond: 70, SurgeFactor: 1, SurgePeriod: 10 * time.Second, ChecksPerRequest: 0.5}
	SurgeWorkload = Workload{Name: "B", Engines: 18, ClientDelay: 3 * time.Millisecond, Duration: 15 * time.Second,
		RequestsPerSecond: 60, SurgeFactor: 2.5, SurgePeriod: 8 * time.Second, ChecksPerRequest: 0.2, StragglerPeriod: 3 * time.Second, StragglerSlowdown: 8}
)

func (w Workload) surging(at time.Duration) bool {
	return w.SurgeFactor > 1 && at%w.SurgePeriod >= w.SurgePeriod/2
}

// Variant is a configuration of the system that is compared with others.
type Variant struct {
	Name string
	// Scheduler returns a new scheduler for each entry; nil means the entry's default.
	Scheduler func() *route.Scheduler
	// HedgePercent is the hedge budget in the service documents, in hedged attempts
	// per 100 requests.
	HedgePercent int
}

// sim is the state of one run.
type sim struct {
	workload           Workload
	seed               uint64
	fleet              *fleet.Fleet
	network            *fleet.MemoryNetwork
	crossRegionBytes   atomic.Int64
	registries         []*prometheus.Registry
	largeEngines       []string
	stragglerIntervals []interval
	clients            []*http.Client

	mu     sync.Mutex
	result collector
}

// interval is a part of the trace. Its times count from the start of the trace.
type interval struct{ from, to time.Duration }

func regionName(i int) string { return string(rune('a' + i)) }

// Run replays the workload's trace of a seed against a new fleet and returns the
// figures. It returns an error if the fleet cannot be started.
func Run(w Workload, v Variant, seed uint64) (Result, error) {
	s := &sim{workload: w, seed: seed, network: fleet.NewMemoryNetwork()}
	if err := s.start(v); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	requests := newTrace(w, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	begin := time.Now()
	wg.Go(func() { s.runStragglers(ctx, begin) })
	for i := range requests {
		time.Sleep(time.Until(begin.Add(requests[i].arrival)))
		wg.Go(func() { s.send(&requests[i]) })
	}
	time.Sleep(drainTime)
	cancel()
	wg.Wait()
	s.result.addFleetCounts(s, requests)
	s.fleet.Close()
	time.Sleep(time.Second) // data in flight arrives
	return s.result.result(), nil
}

func (s *sim) start(v Variant) error {
	var err error
	if s.fleet, err = fleet.New(s.network, nil); err != nil {
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
	return s.applyDocuments(v)
}

// setRegionNetwork makes the processes that are added next run in a region.
func (s *sim) setRegionNetwork(region int) {
	s.fleet.Network = newRegionNetwork(s.network, regionName(region), &s.crossRegionBytes)
}

func (s *sim) addAgents() error {
	perRegion := s.workload.Engines / regions
	for r := range regions {
		s.setRegionNetwork(r)
		for a := range perRegion / enginesPerAgent {
			var opts []engine.Options
			for e := range enginesPerAgent {
				id := fmt.Sprintf("%s-large-engine-%d", regionName(r), a*enginesPerAgent+e)
				s.largeEngines = append(s.largeEngines, id)
				opts = append(opts, engineOptions(id, serviceLarge))
			}
			if err := s.addAgent(r, fmt.Sprintf("%s-agent-%d", regionName(r), a), opts); err != nil {
				return err
			}
		}
		small := []engine.Options{engineOptions(regionName(r)+"-small-engine", serviceSmall)}
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
		s.fleet.Engines[o.ID].SetFaults(defaultFaults())
	}
	return err
}

func engineOptions(id, service string) engine.Options {
	return engine.Options{ID: id, Model: service, Version: weightsVersion, PrefillPerToken: prefillPerToken, TokenGap: tokenGap,
		GapPerRequest: gapPerRequest, SerialPrefill: true, OutputTokens: outputTokens, Slots: slots, CacheBlocks: cacheBlocks,
		BlockLifetime: blockLifetime, ReportLag: reportLag}
}

func defaultFaults() engine.Faults {
	return engine.Faults{EventDelay: eventDelay, EventLoss: eventLoss}
}

func (s *sim) addEntry(region int, v Variant) error {
	s.setRegionNetwork(region)
	opts := entry.DefaultOptions()
	opts.Region = regionName(region)
	if v.Scheduler != nil {
		opts.Scheduler = v.Scheduler()
	}
	reg := prometheus.NewRegistry()
	s.registries = append(s.registries, reg)
	opts.Registry = reg
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(s.seed, uint64(region)+10))
	opts.Random = func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Uint64()
	}
	_, err := s.fleet.AddEntry(regionName(region)+"-entry", opts)
	clientNetwork := fleet.DelayedNetwork{Network: s.network, Delay: func(string) time.Duration { return s.workload.ClientDelay }}
	s.clients = append(s.clients, &http.Client{Transport: &http.Transport{DialContext: clientNetwork.Dial, MaxIdleConnsPerHost: 256}})
	return err
}

// applyDocuments stores the documents of both services and waits until the entries
// are ready.
func (s *sim) applyDocuments(v Variant) error {
	var accountDocs []string
	for i := range accounts {
		accountDocs = append(accountDocs, fmt.Sprintf(`{"name":"account-%d","key_sha256":[%q]}`, i, fleet.KeyHash(accountKey(i))))
	}
	store, err := s.fleet.Store()
	if err != nil {
		return err
	}
	for _, name := range []string{serviceLarge, serviceSmall} {
		doc := fmt.Sprintf(`{"service":%q,"kind":"engine","model":%q,"version":%q,"accounts":[%s],"budgets":{"hedge_percent":%d}}`,
			name, name, weightsVersion, strings.Join(accountDocs, ","), v.HedgePercent)
		if _, err := store.Apply(context.Background(), []byte(doc), 0, "fleetsim"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.fleet.WaitReady(ctx)
}

func accountKey(account int) string { return fmt.Sprintf("secret-%d", account) }

// runStragglers slows down one random engine at a time until ctx ends.
func (s *sim) runStragglers(ctx context.Context, begin time.Time) {
	if s.workload.StragglerPeriod == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(s.seed, 3))
	for at := s.workload.StragglerPeriod; at < s.workload.Duration; at += s.workload.StragglerPeriod {
		e := s.fleet.Engines[s.largeEngines[rng.IntN(len(s.largeEngines))]]
		duration := time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		s.mu.Lock()
		s.stragglerIntervals = append(s.stragglerIntervals, interval{at, at + duration})
		s.mu.Unlock()
		if !wait.Sleep(ctx, time.Until(begin.Add(at))) {
			return
		}
		f := defaultFaults()
		f.Slowdown = s.workload.StragglerSlowdown
		e.SetFaults(f)
		if !wait.Sleep(ctx, duration) {
			return
		}
		e.SetFaults(defaultFaults())
	}
}
