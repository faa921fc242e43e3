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

// Bounds of an endpoint's queue.
const (
	// minConcurrency lets a slow engine still run a short and a long request.
	minConcurrency = 2
	// maxConcurrency bounds the batch; the limit follows the token gap below it.
	maxConcurrency = 256
	// queueLength bounds the memory of waiting requests.
	queueLength = 512
	// shortBelow is the longest predicted service time of a short request.
	shortBelow = 2 * time.Second
	// bytesPerToken estimates the prompt of an Open that names no tokens.
	bytesPerToken = 4
	// minRetryAfter keeps refused callers from returning at once.
	minRetryAfter = time.Second
)

// Engine priorities; lower runs first.
const (
	priorityShort = 0
	priorityLong  = 10
)

// local is an endpoint with its driver, its queue and what was observed of it.
type local struct {
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
	// reconnect ends the current event stream, nil when there is none.
	reconnect context.CancelFunc
}

func newLocal(ep Endpoint, d Driver, opts Options) *local {
	l := &local{Endpoint: ep, driver: d, weight: opts.Weight, predictor: admit.NewPredictor(), backlog: &admit.Backlog{}, view: blocks.NewView(),
		queue:   admit.NewQueue(queueLength, opts.Concurrency, shortBelow),
		limiter: admit.NewLimiter(min(minConcurrency, opts.Concurrency), max(maxConcurrency, opts.Concurrency), opts.Concurrency)}
	l.settings.Store(&settings{streamBuffer: opts.StreamBuffer, detachGrace: opts.DetachGrace})
	return l
}

// place is a request's place in the queue.
type place struct {
	ticket *admit.Ticket
	// prefill is set once the request has a slot.
	prefill  *admit.Prefill
	streamed bool
	prompt   int64
	// cached is the expected number of prompt tokens in the engine's cache.
	cached   int64
	levels   []blocks.Level
	deadline time.Time
}

// enqueue queues a request or returns why it is declined.
func (l *local) enqueue(o *pb.Open, cached int64) (p *place, reason string, wait time.Duration) {
	p = &place{streamed: o.Stream, prompt: promptTokens(o), cached: cached, levels: levels(o)}
	item := admit.Item{Account: o.Account, Weight: l.weight(o.Service, o.Account),
		Cost: l.predictor.Predict(o.Service, o.Account, p.prompt-cached).ServiceTime}
	wait = l.expect(item)
	if o.DeadlineMs > 0 {
		p.deadline = time.Now().Add(milliseconds(o.DeadlineMs))
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
	p.ticket = t
	select {
	case <-t.Ready:
		l.compute(p) // so that the load in Accepted includes it
	default:
	}
	l.view.RegisterRequest(o.RequestId, p.levels)
	return p, "", wait
}

// expect predicts the wait for a slot and for the prefill of the requests that
// have one. Plain services compute no prompts.
func (l *local) expect(item admit.Item) time.Duration {
	wait := l.queue.Wait(item)
	if l.Kind == infra.Engine {
		wait += l.backlog.Wait()
	}
	return wait
}

// compute adds a request that has a slot to the prefill backlog.
func (l *local) compute(p *place) {
	if p.prefill == nil {
		p.prefill = l.backlog.Begin(l.predictor.Prefill(p.prompt-p.cached), p.streamed)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func promptTokens(o *pb.Open) int64 {
	if o.PrefillTokens > 0 {
		return o.PrefillTokens
	}
	if n := len(o.Levels); n > 0 {
		return o.Levels[n-1].Tokens
	}
	return int64(len(o.Http.Body) / bytesPerToken)
}

// wait blocks until the request has a slot. It returns false when the request
// was cancelled or its deadline passed first.
func (p *place) wait(ctx context.Context) bool {
	var late <-chan time.Time
	if !p.deadline.IsZero() {
		t := time.NewTimer(time.Until(p.deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-p.ticket.Ready:
		return true
	case <-ctx.Done():
	case <-late:
	}
	return false
}

// correct tells the cache view how many prompt tokens the engine reported as
// cached; a negative number means that it reported none.
func (p *place) correct(ep *local, reported int64) {
	if reported >= 0 {
		ep.view.Reconcile(p.levels, p.cached, reported)
	}
}

func levels(o *pb.Open) []blocks.Level {
	out := make([]blocks.Level, len(o.Levels))
	for i, l := range o.Levels {
		out[i] = blocks.Level{Hash: l.Hash, Tokens: l.Tokens}
	}
	return out
}

func (p *place) priority() int {
	if p.ticket.Short() {
		return priorityShort
	}
	return priorityLong
}

// gap records the time between two tokens and applies the resulting limit. The
// answers of plain services have no tokens, so that their limit stays fixed.
func (l *local) gap(d time.Duration) {
	if l.Kind != infra.Engine {
		return
	}
	running, _, _ := l.queue.Counts()
	if limit, changed := l.limiter.Observe(d, running); changed {
		l.queue.SetLimit(limit)
	}
}

// setReport records the engine's own report. It returns whether the engine
// restarted, has another model or version, or began or finished loading.
func (l *local) setReport(r Load) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.report
	l.report = r
	l.view.SetEngine(r.BootID, r.Version)
	if old.BootID != r.BootID && l.reconnect != nil {
		l.reconnect() // the new engine numbers its events from 1 again
	}
	return old.BootID != r.BootID || old.Model != r.Model || old.Version != r.Version || old.Loading != r.Loading
}

// otherVersion reports whether the engine is known to have other weights than
// the wanted ones. A resumed answer would mix the text of two versions.
func (l *local) otherVersion(wanted string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return wanted != "" && l.report.Version != "" && l.report.Version != wanted
}

// load returns what the agent knows of the endpoint.
func (l *local) load() *pb.EndpointLoad {
	running, queued, limit := l.queue.Counts()
	typical := admit.Item{Cost: l.predictor.Predict(l.Service, "", 0).ServiceTime}
	l.mu.Lock()
	report := l.report
	l.mu.Unlock()
	return &pb.EndpointLoad{EndpointId: l.ID, Running: int64(running), Queued: int64(queued), Limit: int64(limit),
		PredictedWaitMs: l.expect(typical).Milliseconds(), PrefillTokensPerSecond: l.predictor.PrefillSpeed(),
		BlockLifetimeMs: l.view.Stats().Lifetime.Milliseconds(), BootId: report.BootID, Model: report.Model, Version: report.Version, Loading: report.Loading}
}

// overloaded returns the refusal of a request that would wait too long.
func (s *Server) overloaded(ep *local, reason string, wait time.Duration) *pb.Refused {
	r := s.refusal(pb.RefusalCode_REFUSAL_OVERLOADED, reason, pb.Run_RUN_NOT_RUN)
	r.Load = ep.load()
	r.RetryAfterMs = max(wait, minRetryAfter).Milliseconds()
	return r
}

// refresh returns a stored refusal with the present ticket and load. An old
// ticket would make the entry's next Open stale, an old load would keep it away
// from an endpoint that is idle again.
func (s *Server) refresh(a *attempt, stored *pb.Refused) *pb.Refused {
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

// enqueue queues a new attempt. An attempt that would wait too long is revoked
// in the table, so that no repeated Open runs it later.
func (s *Server) enqueue(a *attempt, o *pb.Open) *place {
	ep := s.endpoints[o.EndpointId]
	p, reason, wait := ep.enqueue(o, a.cached)
	log := s.log.With(zap.String("request", o.RequestId), zap.String("attempt", o.AttemptId), zap.String("endpoint", ep.ID),
		zap.String("account", o.Account), zap.Int64("predicted_wait_ms", wait.Milliseconds()))
	if p == nil {
		s.refuse(a, s.overloaded(ep, reason, wait))
		log.Info("refused", zap.String("reason", reason))
		return nil
	}
	log.Info("queued", zap.Int64("predicted_cost_ms", p.ticket.Cost.Milliseconds()), zap.Bool("short", p.ticket.Short()))
	return p
}
