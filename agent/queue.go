package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/blocks"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Parameters of an endpoint's queue.
const (
	// minConcurrency bounds the concurrency limit from below, so that a slow
	// engine can still run a short and a long request at the same time.
	minConcurrency = 2
	// maxConcurrency bounds the engine's batch size. Below it, the concurrency
	// limit follows the token gap.
	maxConcurrency = 256
	// maxQueueLength bounds the queued requests and so the memory they use.
	maxQueueLength = 512
	// maxShortServiceTime is the longest predicted service time of a short request.
	maxShortServiceTime = 2 * time.Second
	// bytesPerToken is used to estimate the prompt length of an Open that has no
	// token counts.
	bytesPerToken = 4
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = time.Second
)

// Request priorities sent to engines; lower values run first.
const (
	priorityShort = 0
	priorityLong  = 10
)

// localEndpoint is an endpoint of this agent with its driver, its queue and its
// observed state.
type localEndpoint struct {
	Endpoint
	driver    Driver
	queue     *admit.Queue
	limiter   *admit.Limiter
	predictor *admit.Predictor
	backlog   *admit.Backlog
	weight    func(service, account string) int
	settings  atomic.Pointer[settings]

	view *blocks.View

	mu     sync.Mutex
	report Load
	// cancelEvents ends the latest event stream; nil before the first one.
	cancelEvents context.CancelFunc
}

func newLocalEndpoint(ep Endpoint, d Driver, opts Options) *localEndpoint {
	l := &localEndpoint{Endpoint: ep, driver: d, weight: opts.Weight, predictor: admit.NewPredictor(), backlog: &admit.Backlog{}, view: blocks.NewView(),
		queue:   admit.NewQueue(maxQueueLength, opts.Concurrency, maxShortServiceTime),
		limiter: admit.NewLimiter(min(minConcurrency, opts.Concurrency), max(maxConcurrency, opts.Concurrency), opts.Concurrency)}
	l.settings.Store(&settings{streamBuffer: opts.StreamBuffer, detachGrace: opts.DetachGrace})
	return l
}

// queuedRequest is a request in an endpoint's queue or in one of its slots.
type queuedRequest struct {
	// ticket is the request's handle in the queue. It is unrelated to the ticket of
	// an Open, which is a time.
	ticket *admit.Ticket
	// prefill is set once the request has a slot.
	prefill      *admit.Prefill
	streamed     bool
	promptTokens int64
	// cachedTokens is the expected number of prompt tokens in the engine's cache.
	cachedTokens int64
	levels       []blocks.Level
	deadline     time.Time
}

// enqueue adds a request to the queue, or returns a nil request and the reason
// why it is declined. wait is the predicted wait in both cases.
func (l *localEndpoint) enqueue(o *pb.Open, cached int64) (q *queuedRequest, reason string, wait time.Duration) {
	q = &queuedRequest{streamed: o.Stream, promptTokens: promptTokens(o), cachedTokens: cached, levels: levels(o)}
	item := admit.Item{Account: o.Account, Weight: l.weight(o.Service, o.Account),
		Cost: l.predictor.Predict(o.Service, o.Account, q.promptTokens-cached).ServiceTime}
	wait = l.predictWait(item)
	if o.DeadlineMs > 0 {
		q.deadline = time.Now().Add(milliseconds(o.DeadlineMs))
	}
	switch {
	case o.MaxWaitMs > 0 && wait > milliseconds(o.MaxWaitMs):
		return nil, "predicted wait exceeds max_wait", wait
	case o.DeadlineMs > 0 && wait > milliseconds(o.DeadlineMs):
		return nil, "predicted wait exceeds the deadline", wait
	}
	t, err := l.queue.Add(item)
	if err != nil {
		return nil, err.Error(), wait
	}
	q.ticket = t
	select {
	case <-t.Ready:
		l.beginPrefill(q) // so that the load reported in Accepted includes it
	default:
	}
	l.view.RegisterRequest(o.RequestId, q.levels)
	return q, "", wait
}

// predictWait predicts the wait for a slot and for the prefill of the requests
// that have one. Plain services have no prefill.
func (l *localEndpoint) predictWait(item admit.Item) time.Duration {
	wait := l.queue.Wait(item)
	if l.Kind == infra.Engine {
		wait += l.backlog.Wait()
	}
	return wait
}

// beginPrefill adds a request that has a slot to the prefill backlog, unless it
// was added before.
func (l *localEndpoint) beginPrefill(q *queuedRequest) {
	if q.prefill == nil {
		q.prefill = l.backlog.Begin(l.predictor.Prefill(q.promptTokens-q.cachedTokens), q.streamed)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// promptTokens returns the prompt length in tokens that the entry estimated or, if
// the Open has none, an estimate from the length of the body.
func promptTokens(o *pb.Open) int64 {
	if o.PrefillTokens > 0 {
		return o.PrefillTokens
	}
	if n := len(o.Levels); n > 0 {
		return o.Levels[n-1].Tokens
	}
	return int64(len(o.Http.Body) / bytesPerToken)
}

// waitForSlot blocks until the request has a slot. It returns false if ctx ends
// or the request's deadline passes first.
func (q *queuedRequest) waitForSlot(ctx context.Context) bool {
	var expired <-chan time.Time
	if !q.deadline.IsZero() {
		t := time.NewTimer(time.Until(q.deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-q.ticket.Ready:
		return true
	case <-ctx.Done():
	case <-expired:
	}
	return false
}

// observeCached passes the number of prompt tokens that the engine reported as
// cached to the cache view. A negative number means that it reported none.
func (q *queuedRequest) observeCached(ep *localEndpoint, reported int64) {
	if reported >= 0 {
		ep.view.Reconcile(q.levels, q.cachedTokens, reported)
	}
}

// levels converts the prompt levels of an Open.
func levels(o *pb.Open) []blocks.Level {
	out := make([]blocks.Level, len(o.Levels))
	for i, l := range o.Levels {
		out[i] = blocks.Level{Hash: l.Hash, Tokens: l.Tokens}
	}
	return out
}

func (q *queuedRequest) priority() int {
	if q.ticket.Short() {
		return priorityShort
	}
	return priorityLong
}

// observeTokenGap records the time between two tokens and applies the resulting
// concurrency limit. Responses of plain services have no tokens, so their limit
// stays fixed.
func (l *localEndpoint) observeTokenGap(d time.Duration) {
	if l.Kind != infra.Engine {
		return
	}
	running, _, _ := l.queue.Counts()
	if limit, changed := l.limiter.Observe(d, running); changed {
		l.queue.SetLimit(limit)
	}
}

// setReport stores an engine's load report. It reports whether the engine
// restarted, changed its model or version, or started or finished loading weights.
func (l *localEndpoint) setReport(r Load) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.report
	l.report = r
	l.view.SetEngine(r.BootID, r.Version)
	if old.BootID != r.BootID && l.cancelEvents != nil {
		l.cancelEvents() // the restarted engine numbers its events from 1 again
	}
	return old.BootID != r.BootID || old.Model != r.Model || old.Version != r.Version || old.Loading != r.Loading
}

// hasOtherVersion reports whether the engine is known to have weights of another
// version than the wanted one. A response resumed there would mix the output of
// two versions.
func (l *localEndpoint) hasOtherVersion(wanted string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return wanted != "" && l.report.Version != "" && l.report.Version != wanted
}

// load returns the endpoint's state for messages to entries.
func (l *localEndpoint) load() *pb.EndpointLoad {
	running, queued, limit := l.queue.Counts()
	typical := admit.Item{Cost: l.predictor.Predict(l.Service, "", 0).ServiceTime}
	l.mu.Lock()
	report := l.report
	l.mu.Unlock()
	return &pb.EndpointLoad{EndpointId: l.ID, Running: int64(running), Queued: int64(queued), Limit: int64(limit),
		PredictedWaitMs: l.predictWait(typical).Milliseconds(), PrefillTokensPerSecond: l.predictor.PrefillSpeed(),
		BlockLifetimeMs: l.view.Stats().Lifetime.Milliseconds(), BootId: report.BootID, Model: report.Model, Version: report.Version, Loading: report.Loading}
}

// overloadRefusal returns a refusal of a request for lack of capacity. It carries
// the endpoint's load and the time after which the caller may retry.
func (s *Server) overloadRefusal(ep *localEndpoint, reason string, wait time.Duration) *pb.Refused {
	r := s.refusal(pb.RefusalCode_REFUSAL_OVERLOADED, reason, pb.Run_RUN_NOT_RUN)
	r.Load = ep.load()
	r.RetryAfterMs = max(wait, minRetryAfter).Milliseconds()
	return r
}

// refreshRefusal returns a stored refusal with the current ticket and load. With
// an old ticket, the entry's next Open would be stale; with an old load, the entry
// would avoid an endpoint that is idle again.
func (s *Server) refreshRefusal(a *attempt, stored *pb.Refused) *pb.Refused {
	r := s.refusal(stored.Code, stored.Message, stored.Run)
	if r.Code != pb.RefusalCode_REFUSAL_OVERLOADED {
		return r
	}
	r.Load = s.endpoints[a.endpointID].load()
	if r.RetryAfterMs = stored.RetryAfterMs; r.RetryAfterMs == 0 {
		r.RetryAfterMs = max(r.Load.PredictedWaitMs, minRetryAfter.Milliseconds())
	}
	return r
}

// enqueue queues a new attempt. If the attempt is declined, enqueue returns nil
// and revokes it in the attempt table, so that a repeated Open can't run it later.
func (s *Server) enqueue(a *attempt, o *pb.Open) *queuedRequest {
	ep := s.endpoints[o.EndpointId]
	q, reason, wait := ep.enqueue(o, a.cachedTokens)
	log := s.log.With(zap.String("request", o.RequestId), zap.String("attempt", o.AttemptId), zap.String("endpoint", ep.ID),
		zap.String("account", o.Account), zap.Int64("predicted_wait_ms", wait.Milliseconds()))
	if q == nil {
		s.refuse(a, s.overloadRefusal(ep, reason, wait))
		log.Info("refused", zap.String("reason", reason))
		return nil
	}
	log.Info("queued", zap.Int64("predicted_cost_ms", q.ticket.Cost.Milliseconds()), zap.Bool("short", q.ticket.Short()))
	return q
}
