package gatewayd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/gateway"
	"github.com/citrontiller/citrontiller/internal/callers"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/internal/memory"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/lease"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/mirror"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/quarantine"
	"github.com/citrontiller/citrontiller/quota"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set as
	// the Go runtime's soft limit.
	memoryLimitShare = 0.7
	// responseMemoryShare and bodyMemoryShare are the shares of the process's memory limit
	// that responses which are held back and callers' request bodies may take.
	responseMemoryShare = 0.125
	bodyMemoryShare     = 0.2
	// engineBaseMs is the time to first token of an idle engine in milliseconds, as
	// observed by a gateway without agents.
	engineBaseMs = 30
	// headerTimeout bounds the time in which a caller must send its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers; net/http responds 431 to larger
	// ones.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time after which a caller's idle connection is closed. It
	// exceeds every idle timeout that the platform's configuration promises to
	// callers.
	idleTimeout = 2 * time.Minute
)

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	settings     Settings
	hostSettings platform.Settings
	// clock is process.BootTime, except in tests.
	clock   func() time.Duration
	pulse   *process.Pulse
	log     *zap.Logger
	gateway *gateway.Gateway
	server  *http.Server
	// callers are the connections of server, callerListener accepts them.
	callers        callers.Conns
	callerListener net.Listener
	// probeMux serves the load balancer's readiness checks and the metrics.
	probeMux *http.ServeMux
	peers    *peer.Set
	// peerServer serves other gateways.
	peerServer *peer.Server
	mirror     *mirror.Mirror
	store      *platform.Store
	lockTurn   lockTurn
	// restored receives a value when the store was restored and this gateway must register
	// again.
	restored   chan struct{}
	quarantine *quarantine.Tracker
	quotas     *quotas
	// storedBlocks maps the store's keys of blocked parts of prompts to the blocks read last.
	storedBlocks sync.Map
}

// Run runs a gateway until ctx ends and returns after the drain. The errors of
// Settings.Check are *process.SettingError, joined; a settings file that cannot
// be used returns the error of platform.LoadSettings.
func Run(ctx context.Context, settings Settings) error {
	if err := settings.Check(); err != nil {
		return err
	}
	hostSettings, err := platform.LoadSettings(settings.File)
	if err != nil {
		return err
	}
	out := process.NewAsyncWriter(os.Stdout)
	defer func() { _ = out.Sync() }() // never fails
	log, err := process.LoggerTo(zapcore.AddSync(out), settings.LogLevel)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(hostSettings.MemoryBytes) * memoryLimitShare))
	p := newProcess(settings, hostSettings, log, out.Dropped)
	return p.run(ctx)
}

func newProcess(settings Settings, hostSettings platform.Settings, log *zap.Logger, droppedLines func() int64) *gatewayProcess {
	members, tracker := member.NewTracker(), route.NewTracker()
	scheduler := selection.NewDirect(log)
	scheduler.BaseMs = engineBaseMs
	p := &gatewayProcess{settings: settings, hostSettings: hostSettings, clock: process.BootTime, log: log, store: platform.NewStore(hostSettings.StoreAddress, newStoreTransport()),
		lockTurn: lockTurn{startedAt: time.Now()}, restored: make(chan struct{}, 1)}
	p.pulse = process.NewPulse(p.clock)
	p.quarantine = quarantine.New(quarantineObserver{p})
	p.quotas = newQuotas(quota.New(quota.Options{Self: hostSettings.Name, Boot: rand.Uint64(), Slack: hostSettings.QuotaSlack}), log)
	reg := prometheus.NewRegistry()
	reg.MustRegister(p.quotas)
	p.gateway = &gateway.Gateway{
		Config: &catalog.ActiveConfig{}, Members: members, Tracker: tracker, Directory: gateway.NewDirectory(members, tracker, log),
		Scheduler: scheduler, Targets: &rollout.Targets{Deadline: hostSettings.WeightsDeadline}, Codec: platform.Codec{},
		ShortIdle: newTransport(shortIdleTimeout), LongIdle: newTransport(longIdleTimeout), Region: hostSettings.Region,
		Admission: admit.LoadShedder{Usual: admit.Limits{Urgent: settings.UsualUrgent, Other: settings.UsualOther, MaxOther: settings.UsualOtherMax},
			Overload: admit.Limits{Urgent: settings.OverloadUrgent, Other: settings.OverloadOther, MaxOther: settings.OverloadOtherMax}},
		// The platform's retry ratio applies to all processes together. Each gateway
		// retries at most half that share of its own requests.
		Budget: admit.NewBudget(hostSettings.RetryPercent / 2), Quarantine: p.quarantine, Quotas: p.quotas, Log: log,
		Responses: memoryShare(hostSettings.MemoryBytes, responseMemoryShare), Bodies: memoryShare(hostSettings.MemoryBytes, bodyMemoryShare),
	}
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "citrontiller_log_lines_dropped_total", Help: "Log lines that found the queue full."},
		func() float64 { return float64(droppedLines()) }))
	reg.MustRegister(gauge("suspect_prompt_parts", "Prompt parts that may crash endpoints.", func() int { n, _ := p.quarantine.Counts(); return n }),
		gauge("blocked_prompt_parts", "Prompt parts that are not sent because they crash endpoints.", func() int { _, n := p.quarantine.Counts(); return n }),
		gauge("leaving_endpoints", "Listed endpoints that have announced that they leave.", func() int { return len(p.gateway.Directory.LeavingEndpoints()) }),
		gauge("rate_limited_endpoints", "Listed endpoints that have announced a rate limit.", func() int { return len(p.gateway.Directory.RateLimits()) }),
		gauge("paced_endpoints", "Endpoints that take work at a pace since they started or recovered.", func() int { return tracker.PacedEndpoints(time.Now()) }),
		gauge("held_response_bytes", "Bytes of responses that are held back.", func() int { return int(p.gateway.Responses.Used()) }),
		gauge("request_body_bytes", "Bytes of callers' request bodies.", func() int { return int(p.gateway.Bodies.Used()) }),
		gauge("store_lost", "1 while the store doesn't respond.", p.storeLost))
	p.gateway.JustStalled = p.pulse.JustStalled
	p.gateway.Queueing, p.gateway.QuotaUsed = p.queueing, p.quotas.used
	p.gateway.Metrics = gateway.NewMetrics(reg, func() float64 { return float64(p.gateway.Open()) })
	p.server = &http.Server{Handler: p.gateway, ConnContext: gateway.ConnContext, ConnState: p.callers.OnState, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(log)}
	p.peers = peer.NewSet(p.record(), tracker, p.gateway.Targets, peerReceiver{p}, log)
	p.gateway.RegionsApart = p.peers.RegionsApart
	p.quarantine.ProbeTurn = p.probeTurn
	p.mirror = mirror.New(mirror.Options{Source: p.store, PollWait: settings.PollWait, UrgentPrefix: platform.OperatorPrefix, Fallback: p.peers, Leader: p.peers, DeferRemoval: deferRemoval,
		Retain: retainLost, OnRestore: p.onStoreRestored, OnChange: p.onStoreChange, Log: log})
	p.gateway.Targets.UnsettledUntil = func() time.Time { return p.mirror.UnsettledUntil(hostSettings.SettleTime) }
	p.peerServer = peer.NewServer(hostSettings.Region, p.mirror, p.gateway.Targets, p.gateway.Directory, log)
	p.gateway.OnRateLimit = p.peerServer.PublishRateLimit
	p.gateway.OnLeaving = func(i catalog.Incarnation) { p.peerServer.PublishLeaving([]catalog.Incarnation{i}) }
	tracker.OnEvent(p.peerServer.Publish)
	if settings.EndpointPace == paceAdaptive {
		tracker.PaceEndpoints(p.logPace)
	}
	p.probeMux = http.NewServeMux()
	p.probeMux.HandleFunc("GET "+platform.ReadinessPath, p.readiness)
	p.probeMux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return p
}

// logPace logs a step of an endpoint's pace.
func (p *gatewayProcess) logPace(c route.PaceChange) {
	p.log.Info("endpoint pace", zap.String("endpoint", c.Endpoint), zap.String("service", c.Service), zap.String("step", string(c.Step)),
		zap.String("reason", string(c.Reason)), zap.Int("window", int(c.Window)), zap.Int("in_time", c.Answers.InTime),
		zap.Int("late", c.Answers.Late), zap.Int("refused", c.Answers.Refused))
}

// memoryShare returns a budget of a share of the process's memory limit, nil if there is no
// limit.
func memoryShare(limitBytes int64, share float64) *memory.Budget {
	if limitBytes <= 0 {
		return nil
	}
	return memory.NewBudget(int64(float64(limitBytes) * share))
}

// gauge returns a gauge of a count.
func gauge(name, help string, count func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "citrontiller_gateway_" + name, Help: help}, func() float64 { return float64(count()) })
}

// storeLost returns 1 while the store doesn't respond.
func (p *gatewayProcess) storeLost() int {
	if p.mirror.Lost() {
		return 1
	}
	return 0
}

// readiness handles the load balancer's readiness check.
func (p *gatewayProcess) readiness(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *gatewayProcess) run(ctx context.Context) error {
	p.watchSIGHUP()
	p.log.Info("start", zap.String("host", p.hostSettings.Name), zap.String("region", p.hostSettings.Region), zap.String("version", process.Version("citrontiller")))
	callerListener, err := net.Listen("tcp", p.hostSettings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.callerListener = callerListener
	probeListener, err := net.Listen("tcp", p.hostSettings.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	peerListener, err := net.Listen("tcp", p.hostSettings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.pulse.Run(background)
	go p.mirror.Run(background)
	go p.register(background)
	go p.servePeers(background, peerListener)
	go p.publishDigests(background)
	go p.publishQuotaReports(background)
	coordinatorDone := make(chan struct{})
	go func() {
		p.coordinator().Run(background)
		close(coordinatorDone)
	}()
	go p.serve(probeListener, &http.Server{Handler: p.probeMux, ReadHeaderTimeout: headerTimeout})
	go p.serve(callerListener, p.server)
	<-ctx.Done()
	exit := p.drain(p.pulse.Earliest())
	stop()
	p.awaitCoordinator(coordinatorDone, exit)
	return nil
}

// awaitCoordinator waits until the rollout coordinator has released the lock, but not past a
// time: the process must end by itself before it is killed, and the lease ends anyway.
func (p *gatewayProcess) awaitCoordinator(done <-chan struct{}, until time.Duration) {
	select {
	case <-done:
	case <-time.After(until - p.clock()):
		p.log.Warn("rollout coordinator has not stopped in time")
	}
}

func (p *gatewayProcess) serve(l net.Listener, s *http.Server) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		p.log.Error("server stopped", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

// coordinator returns the rollout coordinator, which sends orders to engines.
func (p *gatewayProcess) coordinator() *rollout.Coordinator {
	return &rollout.Coordinator{
		KV: p.store,
		Lock: &lease.Lock{KV: p.store, Key: rollout.LockKey, Holder: p.hostSettings.Name, TTL: p.settings.LeaseTTL, Clock: process.BootTime,
			Free: p.mayAcquireLock, Log: p.log},
		Client:  &platform.EngineClient{Client: httpclient.NewClient(newTransport(longIdleTimeout)), Holder: p.hostSettings.Name},
		Targets: p.gateway.Targets, List: p.gateway.Directory.Engines, PlanRevision: p.mirror.StoredRevision,
		OnPlan: p.announcePlan, Strategy: rollout.Strategy(p.settings.RolloutStrategy), ShareDivisor: p.settings.RolloutShare, Log: p.log,
	}
}

// announcePlan applies this gateway's own rollout plan and publishes it to the
// other gateways.
func (p *gatewayProcess) announcePlan(plan rollout.Plan) {
	p.gateway.Directory.ApplyPlan(plan)
	p.peerServer.PublishPlan(plan)
}

// mayAcquireLock reports whether this gateway should try to acquire the rollout
// lock: the local copy of the store shows it as free, it is this gateway's turn, and
// the gateway has a configuration and is not draining. A restored store may have lost the
// lock of a holder that relies on its lease until that ends.
func (p *gatewayProcess) mayAcquireLock() bool {
	if time.Since(p.mirror.RestoredAt()) < p.settings.LeaseTTL {
		return false
	}
	_, held := p.mirror.Get(rollout.LockKey)
	first := !held && p.peers.IsFirst()
	turn := p.lockTurn.mayTry(held, first, time.Now())
	return turn && !p.gateway.Draining() && p.gateway.Config.Current() != nil
}

// watchSIGHUP reads the settings file again on SIGHUP and logs whether it has
// changed. The process does not apply a change, because its addresses and limits
// are fixed at the start; the change takes effect at the next start.
func (p *gatewayProcess) watchSIGHUP() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			reread, err := platform.LoadSettings(p.settings.File)
			if err != nil {
				p.log.Error("cannot read settings; the previous ones stay in force", zap.Error(err))
				continue
			}
			p.log.Info("settings read again", zap.Bool("changed", !reflect.DeepEqual(reread, p.hostSettings)))
		}
	}()
}
