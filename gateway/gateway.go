package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/memory"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/quarantine"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// lateWriteTime is how long after its request's deadline a caller may take to read the
// response.
const lateWriteTime = 15 * time.Second

// Gateway is the HTTP handler for callers' requests. Its exported fields are set
// before the first request.
type Gateway struct {
	Config    *catalog.ActiveConfig
	Members   *member.Tracker
	Tracker   *route.Tracker
	Directory *Directory
	Scheduler *route.Scheduler
	Targets   *rollout.Targets
	Codec     Codec
	// ShortIdle keeps idle connections for a short time only. It carries requests
	// that must not run twice: the longer a connection is idle, the likelier its
	// endpoint has closed it. LongIdle carries all other requests. Neither may send a
	// request twice by itself.
	ShortIdle, LongIdle http.RoundTripper
	// Region is the region of this host.
	Region string
	// RegionsApart reports whether the gateways of other regions keep the events of
	// their requests to themselves; nil means that they don't.
	RegionsApart func() bool
	Budget       *admit.Budget
	// Admission decides which requests are accepted when endpoints are overloaded.
	Admission admit.LoadShedder
	// StandingQueues detects which services are overloaded.
	StandingQueues admit.StandingQueueDetector
	// Quarantine keeps requests that crash endpoints from being sent; nil for none.
	Quarantine *quarantine.Tracker
	// Quotas enforces the limits of client accounts; nil for none.
	Quotas Quotas
	// Responses bounds the bytes of responses that are held back, Bodies those of callers'
	// request bodies; nil for no bound.
	Responses, Bodies *memory.Budget
	// OnLeaving is called with each endpoint that announces in a response that it leaves;
	// nil for no call. It must not block.
	OnLeaving func(catalog.Incarnation)
	// OnRateLimit is called with what a response announces of its endpoint's rate limit, if
	// the other gateways should be told; nil for no call. It must not block.
	OnRateLimit func(catalog.RateLimit)
	// JustStalled reports whether the process may not have run until now, so that it may
	// not have noticed yet that it must stop; nil means that it always runs.
	JustStalled func() bool
	// Queueing reports whether requests wait in a queue of their service in an overload; nil
	// means that they don't.
	Queueing func() bool
	// QuotaUsed returns the used share of a client account's quota, from 0 to 1; nil means 0
	// for all. It must not block.
	QuotaUsed func(account string) float64
	Metrics   *Metrics
	Log       *zap.Logger

	split   regionSplit
	waiting waitQueues
	// firstEvents are the times from the send to the first byte of the latest responses of
	// each route. They are kept while requests may wait.
	firstEvents admit.Durations
	// durations are those of the latest responses of each route.
	durations admit.Durations
	crashes   crashDetector
	stopping  stopping
	// open counts the requests in progress.
	open atomic.Int64
}

// Open returns the number of requests in progress.
func (g *Gateway) Open() int64 { return g.open.Load() }

// Draining reports whether the process is about to end.
func (g *Gateway) Draining() bool { return g.stopping.plan.Load() != nil }

// Ready reports whether the gateway accepts new connections: it has a
// configuration and is not draining.
func (g *Gateway) Ready() bool { return !g.Draining() && g.Config.Current() != nil }

// exchange holds the state of one request while it is served.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	route   *catalog.Route
	account *catalog.Account
	service string
	body    []byte
	// bodyReservation is the memory of body, nil before it is read.
	bodyReservation *memory.Reservation
	// configVersion is the version of the configuration that applies.
	configVersion int64
	// keptConn is true if the caller's connection has carried other requests before.
	keptConn bool
	arrived  time.Time
	// readAt is when the last byte of the request was read, sentAt when it was first passed on to
	// an endpoint; zero before.
	readAt, sentAt time.Time
	// deadline is when the request times out.
	deadline time.Time
	// ctx ends at the deadline, or when the caller disconnects and the request may
	// be cancelled.
	ctx context.Context

	// excluded holds the endpoints whose attempts have failed.
	excluded map[string]bool
	// quota is what the request is charged.
	quota quotaCharge
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// sends counts the attempts that got a connection to their endpoint.
	sends int
	// overloadWait is the expected wait for which the request was shed, 0 when it
	// was not.
	overloadWait time.Duration
	// timing is that at the endpoint of the last choice, zero before the first one.
	timing admit.Timing
	// late is true if, at its last turn in the queue, the request was a late one.
	late bool
	// inQueue is true while the request waits in the queue of its service. queueEnd is how
	// its last wait there has ended, and queueWait the wait that was expected there when it
	// was refused.
	inQueue   bool
	queueEnd  waitEnd
	queueWait time.Duration
	// noneAvailable is true if, at the request's last turn in the queue, no endpoint was
	// available at any expected wait.
	noneAvailable bool
	// availableIn is the time until an endpoint takes the request, if the last choice found
	// none; 0 when it is not known.
	availableIn time.Duration
	// parts are the parts of the prompt that other requests may share, nil before they are
	// needed, and quarantine is the last decision on them.
	parts      []quarantine.Part
	quarantine quarantine.Decision
	// endpoint is the id of the endpoint last chosen. reason and score are the reason
	// and the score in milliseconds of the last decision; see route.Decision.
	endpoint string
	reason   string
	score    float64
	// firstByte is the time from arrival to the first byte of the response, 0 when there
	// was none.
	firstByte time.Duration
	// status and outcome describe the response to the caller.
	status  int
	outcome string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, arrived: time.Now(), keptConn: isKept(r.Context()), excluded: map[string]bool{}}
	g.open.Add(1)
	defer g.open.Add(-1)
	defer x.finish()
	defer func() { x.bodyReservation.Release() }()
	if err := x.accept(); err != nil {
		x.refuse(err)
		return
	}
	ctx := r.Context()
	if x.route.Kind == catalog.NonIdempotent {
		// The request runs to completion when the caller disconnects: the caller
		// can't know whether it ran.
		ctx = context.WithoutCancel(ctx)
	}
	var cancel func()
	x.ctx, cancel = g.stopping.withEnd(ctx, x.deadline)
	defer cancel()
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(x.deadline.Add(lateWriteTime))  // a connection that doesn't support it has none
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }() // as above
	x.forward()
}

// finish gives back what the request was charged without having run, and logs and counts the
// request.
func (x *exchange) finish() {
	x.refundQuota()
	total := time.Since(x.arrived)
	routeName, accountName := "", ""
	if x.route != nil {
		routeName = x.route.Name
	}
	if x.account != nil {
		accountName = x.account.Name
	}
	x.g.Metrics.done(x, total)
	if x.outcome == "answered" && x.status/100 == 2 || x.outcome == "timeout" {
		x.g.durations.Observe(routeName, time.Since(x.readAt))
	}
	fields := []zap.Field{zap.String("request", x.info.ID), zap.String("route", routeName), zap.String("account", accountName),
		zap.Int("status", x.status), zap.String("outcome", x.outcome), zap.String("endpoint", x.endpoint), zap.Int("sends", x.sends),
		zap.Float64("first_ms", float64(x.firstByte)/1e6), zap.Float64("total_ms", float64(total)/1e6),
		zap.Float64("score_ms", x.score), zap.String("reason", x.reason), zap.Int64("config", x.configVersion)}
	fields = append(fields, x.quotaFields()...)
	x.g.Log.Info("request", append(fields, x.stopFields()...)...)
}

// stopFields describe when a request arrived, was read to its end and was first passed on,
// in milliseconds after the process began to drain. There are none before that.
func (x *exchange) stopFields() []zap.Field {
	stop := x.g.stopping.plan.Load()
	if stop == nil {
		return nil
	}
	fields := []zap.Field{zap.Bool("kept_connection", x.keptConn)}
	inStop := stop.Clock() - stop.Began
	for _, moment := range []struct {
		name string
		at   time.Time
	}{{"arrived_in_stop_ms", x.arrived}, {"read_in_stop_ms", x.readAt}, {"sent_in_stop_ms", x.sentAt}} {
		if !moment.at.IsZero() {
			fields = append(fields, zap.Float64(moment.name, float64(inStop-time.Since(moment.at))/1e6))
		}
	}
	return fields
}
