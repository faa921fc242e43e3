package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// Gateway serves callers. All fields are set before the first request.
type Gateway struct {
	Config    *catalog.ActiveConfig
	Members   *member.Tracker
	Tracker   *route.Tracker
	Directory *Directory
	Scheduler *route.Scheduler
	Targets   *rollout.Targets
	Codec     Codec
	// Recent keeps connections for moments only. It carries requests that may
	// run once: the longer a connection is idle, the likelier its endpoint has
	// closed it. Kept carries the others.
	ShortIdle, LongIdle http.RoundTripper
	// Region is this host's.
	Region string
	Budget *admit.Budget
	// Crest decides which requests are taken when endpoints are overloaded.
	Admission admit.LoadShedder
	// Standing finds out which services are.
	StandingQueues admit.StandingQueueDetector
	Metrics        *Metrics
	Log            *zap.Logger

	draining atomic.Bool
	// closing is when the process ends; nil while that is not known.
	closing atomic.Pointer[time.Time]
	open    atomic.Int64
}

// SetDraining makes answers ask callers to close their connections.
func (g *Gateway) SetDraining() { g.draining.Store(true) }

// SetClosing names the time at which the process ends. Requests that could last
// longer are refused from now on.
func (g *Gateway) SetClosing(end time.Time) { g.closing.Store(&end) }

// Open returns the number of requests in progress.
func (g *Gateway) Open() int64 { return g.open.Load() }

// Draining reports whether the process is about to end.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Ready reports whether the gateway takes new connections: it has a
// configuration and is not about to end.
func (g *Gateway) Ready() bool { return !g.Draining() && g.Config.Current() != nil }

// exchange is a request with its course.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    RequestInfo
	route   *catalog.Route
	account *catalog.Account
	service string
	body    []byte
	// config is the version that decided.
	config  int64
	arrived time.Time
	// until is when the caller or the route gives up.
	until time.Time
	// ctx ends then, or when the caller leaves a request that may be cancelled.
	ctx context.Context

	excluded map[string]bool
	// maybeRun is true once an endpoint may have run the request.
	maybeRun bool
	// sends counts the endpoints that the request was sent to.
	sends int
	// overload is the expected time to the first token that was too long, 0 when
	// it was not.
	overload time.Duration
	endpoint string
	reason   string
	score    float64
	first    time.Duration
	status   int
	outcome  string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, arrived: time.Now(), excluded: map[string]bool{}}
	g.open.Add(1)
	defer g.open.Add(-1)
	defer x.finish()
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	ctx := r.Context()
	if x.route.Kind == catalog.NonIdempotent {
		// It runs to its end: the caller that left can't know whether it did.
		ctx = context.WithoutCancel(ctx)
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(ctx, x.until)
	defer cancel()
	x.forward()
}

// finish logs and counts the request.
func (x *exchange) finish() {
	total := time.Since(x.arrived)
	name, account := "", ""
	if x.route != nil {
		name = x.route.Name
	}
	if x.account != nil {
		account = x.account.Name
	}
	x.g.Metrics.done(x, total)
	x.g.Log.Info("request", zap.String("request", x.call.ID), zap.String("route", name), zap.String("account", account),
		zap.Int("status", x.status), zap.String("outcome", x.outcome), zap.String("endpoint", x.endpoint), zap.Int("sends", x.sends),
		zap.Float64("first_ms", float64(x.first)/1e6), zap.Float64("total_ms", float64(total)/1e6),
		zap.Float64("score_ms", x.score), zap.String("reason", x.reason), zap.Int64("config", x.config))
}
