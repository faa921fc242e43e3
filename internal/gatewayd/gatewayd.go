package gatewayd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/gateway"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/lease"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/mirror"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// memoryShare is the part of the process's limit that the heap may fill.
	memoryShare = 0.7
	// shutdownMargin is the time left before SIGKILL when the last requests are cut.
	shutdownMargin = 700 * time.Millisecond
	// engineBaseMs is an idle engine's time to first token, in milliseconds, as a
	// gateway without agents sees it.
	engineBaseMs = 30
	// drainStep is the time between two looks for open requests.
	drainStep = 20 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers; net/http answers 431.
	maxHeaderBytes = 64 << 10
	// idleTimeout closes callers' connections without requests. It is above any
	// limit that the configuration tells callers to expect.
	idleTimeout = 2 * time.Minute
)

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	set     Settings
	host    platform.Settings
	log     *zap.Logger
	gateway *gateway.Gateway
	server  *http.Server
	// checks answers the load balancer and serves metrics.
	checks *http.ServeMux
	peers  *peer.Set
	// peerServer answers other gateways.
	peerServer *peer.Server
	mirror     *mirror.Mirror
	store      *platform.Store
}

// Run serves until SIGTERM and returns after a complete drain. It returns a
// *process.SettingError, joined with others, for wrong settings.
func Run(ctx context.Context, set Settings) error {
	if err := set.Check(); err != nil {
		return err
	}
	host, err := platform.LoadSettings(set.File)
	if err != nil {
		return err
	}
	out := process.NewAsyncWriter(os.Stdout)
	defer func() { _ = out.Sync() }() // never fails
	log, err := process.LoggerTo(zapcore.AddSync(out), set.LogLevel)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(host.MemoryBytes) * memoryShare))
	p := newProcess(set, host, log, out.Dropped)
	return p.run(ctx)
}

func newProcess(set Settings, host platform.Settings, log *zap.Logger, droppedLines func() int64) *gatewayProcess {
	members, tracker := member.NewTracker(), route.NewTracker()
	scheduler := selection.New(log)
	scheduler.BaseMs = engineBaseMs
	p := &gatewayProcess{set: set, host: host, log: log, store: platform.NewStore(host.StoreAddress, storeTransport())}
	reg := prometheus.NewRegistry()
	p.gateway = &gateway.Gateway{
		Config: &catalog.ActiveConfig{}, Members: members, Tracker: tracker, Directory: gateway.NewDirectory(members, tracker, log),
		Scheduler: scheduler, Targets: &rollout.Targets{Deadline: host.WeightsDeadline}, Codec: platform.Codec{},
		ShortIdle: newTransport(recentIdle), LongIdle: newTransport(keptIdle), Region: host.Region,
		Admission: admit.LoadShedder{Usual: admit.Limits{Urgent: set.UsualUrgent, Other: set.UsualOther},
			Overload: admit.Limits{Urgent: set.OverloadUrgent, Other: set.OverloadOther}},
		Budget: admit.NewBudget(host.RetryPercent / 2), Log: log,
	}
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "citrontiller_log_lines_dropped_total", Help: "Log lines that found the queue full."},
		func() float64 { return float64(droppedLines()) }))
	p.gateway.Metrics = gateway.NewMetrics(reg, func() float64 { return float64(p.gateway.Open()) })
	p.server = &http.Server{Handler: p.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(log)}
	p.peers = peer.NewSet(p.record(), tracker, p.gateway.Targets, p.applyPlan, p.hint, log)
	p.mirror = mirror.New(mirror.Options{Source: p.store, PollWait: set.PollWait, Fallback: p.peers, Leader: p.peers, DeferRemoval: deferred, OnChange: p.changed, Log: log})
	p.peerServer = peer.NewServer(host.Region, p.mirror, p.gateway.Targets, log)
	tracker.OnEvent(p.peerServer.Publish)
	p.checks = http.NewServeMux()
	p.checks.HandleFunc("GET "+platform.ReadinessPath, p.readiness)
	p.checks.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return p
}

// readiness answers the load balancer.
func (p *gatewayProcess) readiness(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *gatewayProcess) run(ctx context.Context) error {
	p.followHangup()
	p.log.Info("start", zap.String("host", p.host.Name), zap.String("region", p.host.Region), zap.String("version", process.Version("citrontiller")))
	callers, err := net.Listen("tcp", p.host.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	checks, err := net.Listen("tcp", p.host.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	peers, err := net.Listen("tcp", p.host.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.mirror.Run(background)
	go p.register(background)
	go p.servePeers(background, peers)
	coordinating := make(chan struct{})
	go func() {
		p.coordinator().Run(background)
		close(coordinating)
	}()
	go p.serve(checks, &http.Server{Handler: p.checks, ReadHeaderTimeout: headerTimeout})
	go p.serve(callers, p.server)
	<-ctx.Done()
	p.drain()
	stop()
	<-coordinating // the lock is released
	return nil
}

func (p *gatewayProcess) serve(l net.Listener, s *http.Server) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("server ended", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

// drain fails readiness and serves on until the load balancer has noticed. Then
// it takes only requests that end in time, until none is open.
func (p *gatewayProcess) drain() {
	started := time.Now()
	end := started.Add(p.host.Grace - shutdownMargin)
	p.gateway.SetDraining()
	p.log.Info("draining", zap.Duration("delay", p.set.DrainDelay), zap.Int64("open", p.gateway.Open()))
	time.Sleep(p.set.DrainDelay)
	p.gateway.SetClosing(end)
	for p.gateway.Open() > 0 && time.Now().Before(end) {
		time.Sleep(drainStep)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := p.server.Shutdown(ctx)
	p.log.Info("stop", zap.Duration("drained_in", time.Since(started)), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

// coordinator returns the part that gives engines orders.
func (p *gatewayProcess) coordinator() *rollout.Coordinator {
	return &rollout.Coordinator{
		KV: p.store,
		Lock: &lease.Lock{KV: p.store, Key: rollout.LockKey, Holder: p.host.Name, TTL: p.set.LeaseTTL, Clock: bootTime,
			Free: p.lockFree, Log: p.log},
		Client:  &platform.EngineClient{Client: &http.Client{Transport: newTransport(keptIdle)}, Holder: p.host.Name},
		Targets: p.gateway.Targets, List: p.gateway.Directory.Engines, PlanRevision: p.revision,
		OnPlan: p.announcePlan, Strategy: rollout.Strategy(p.set.RolloutStrategy), ShareDivisor: p.set.RolloutShare, Log: p.log,
	}
}

// announcePlan applies this process's own plan and tells the others.
func (p *gatewayProcess) announcePlan(plan rollout.Plan) {
	p.gateway.Directory.ApplyPlan(plan)
	p.peerServer.PublishPlan(plan)
}

// lockFree reports whether nobody holds the lock and there is work for a holder.
func (p *gatewayProcess) lockFree() bool {
	_, held := p.mirror.Get(rollout.LockKey)
	return !held && !p.gateway.Draining() && p.gateway.Config.Current() != nil
}

func (p *gatewayProcess) revision(key string) int64 {
	pair, _ := p.mirror.Get(key)
	return pair.Revision
}

// followHangup reads the settings file again at SIGHUP. Addresses and limits are
// fixed for the life of a process; a change is logged and in force at the next start.
func (p *gatewayProcess) followHangup() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			host, err := platform.LoadSettings(p.set.File)
			if err != nil {
				p.log.Error("settings not readable, the present ones hold", zap.Error(err))
				continue
			}
			p.log.Info("settings read again", zap.Bool("changed", !reflect.DeepEqual(host, p.host)))
		}
	}()
}
