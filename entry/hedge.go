package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/route"
)

// attemptResult is the result of one attempt up to the start of its response.
type attemptResult struct {
	number int
	resp   *Response
	err    *Error
	// excess is the time to the start of the response beyond the predicted one.
	excess time.Duration
}

// race runs the attempts of a request until one of them has a response. One
// attempt runs at a time, except that an idempotent request whose first token is
// late is hedged with another attempt; the first response wins.
type race struct {
	server  *Server
	request *Request
	route   *route.Request
	budgets *budgets
	results chan attemptResult
	// cancels holds the cancel functions of all attempts started, by number.
	cancels []context.CancelFunc
	// inFlight holds the attempts without a result, by number. The value is set
	// when the agent has replied.
	inFlight map[int]*atomic.Bool
	// predicted is the predicted time to first token of the latest attempt.
	predicted time.Duration
	// last is the error of the latest failed attempt.
	last *Error
	// fallback is an endpoint's error response, returned if no other attempt
	// succeeds.
	fallback *Response
}

func (s *Server) newRace(r *Request, rr *route.Request) *race {
	return &race{server: s, request: r, route: rr, budgets: s.budgetsOf(r.Service),
		results: make(chan attemptResult, r.Document.Budgets.MaxAttemptsPerRequest), inFlight: map[int]*atomic.Bool{}}
}

// run returns the first response, or the last error. The error is nil if no
// endpoint could be chosen.
func (c *race) run(ctx context.Context) (*Response, *Error) {
	c.startAttempt(ctx)
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for len(c.inFlight) > 0 {
		select {
		case t := <-c.results:
			delete(c.inFlight, t.number)
			if t.err == nil {
				return c.win(t), nil
			}
			c.recordFailure(t)
			if len(c.inFlight) == 0 && c.mayRetry(ctx, t.err) && c.startAttempt(ctx) {
				c.server.metrics.retries.WithLabelValues(c.request.Service).Inc()
				hedge.Reset(c.hedgeDelay())
			}
		case <-hedge.C:
			c.hedge(ctx)
			hedge.Reset(c.hedgeDelay())
		}
	}
	if c.fallback != nil {
		return c.fallback, nil
	}
	return nil, c.last
}

// recordFailure keeps the error of a failed attempt, and the endpoint's error
// response if there is one.
func (c *race) recordFailure(t attemptResult) {
	c.last = t.err
	if t.err.Run == call.NotRun {
		c.server.metrics.refusals.WithLabelValues(c.request.Service).Inc()
	}
	if c.fallback != nil {
		c.fallback.close()
		c.fallback = nil
	}
	if t.resp == nil {
		c.cancels[t.number]()
		return
	}
	t.resp.close = closeBoth(t.resp.close, c.cancels[t.number])
	c.fallback = t.resp
}

// hedgeDelay returns the time to first token after which the request is hedged:
// the one predicted for this request plus the excess that the tail estimator
// predicts. A fixed delay would hedge requests with long prompts, whose second
// prefill is the most expensive, rather than late ones. A non-idempotent request is
// never hedged.
func (c *race) hedgeDelay() time.Duration {
	if !c.request.Idempotent {
		return time.Duration(c.request.Document.Timeouts.RequestMs+1) * time.Millisecond
	}
	return c.predicted + c.tail().predict()
}

// tail returns the estimator for this kind of response: the first byte of a
// non-streamed response takes longer than that of a streamed one.
func (c *race) tail() *tailEstimator {
	if c.request.Stream {
		return c.budgets.streamed
	}
	return c.budgets.nonStreamed
}

// hedge starts another attempt. If no agent of the attempts in flight has
// replied, the cause is a lost connection rather than a slow endpoint: the new
// attempt is not charged to the budget, and the old ones are cancelled as soon as
// it has a response.
func (c *race) hedge(ctx context.Context) {
	if !c.request.Idempotent || ctx.Err() != nil {
		return
	}
	replied := 0
	for _, a := range c.inFlight {
		if a.Load() {
			replied++
		}
	}
	if replied > 0 && (len(c.inFlight) > 1 || !c.budgets.hedge.spend()) {
		return
	}
	if c.startAttempt(ctx) {
		c.server.metrics.hedges.WithLabelValues(c.request.Service).Inc()
		c.server.log.Info("hedge", zap.String("request", c.request.ID), zap.Int("attempt", len(c.cancels)), zap.Bool("answered", replied > 0))
	}
}

// mayRetry reports whether a failed request may be retried at another endpoint.
// Only a retry after an attempt that may have run is charged to the budget, and
// only an idempotent request is retried then.
func (c *race) mayRetry(ctx context.Context, err *Error) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case err.Run == call.NotRun:
		return !err.final()
	}
	return c.request.Idempotent && c.budgets.retry.spend()
}

// startAttempt starts an attempt at the next candidate. It returns false if there
// is none or the request has reached its limit of attempts.
func (c *race) startAttempt(ctx context.Context) bool {
	n := len(c.cancels)
	if n >= c.request.Document.Budgets.MaxAttemptsPerRequest {
		return false
	}
	s, rr := c.server, c.route
	d, fb := s.choose(rr)
	if d.Chosen == "" {
		return false
	}
	rr.Exclude[d.Chosen] = true
	actx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	replied := new(atomic.Bool)
	c.inFlight[n] = replied
	c.predicted = time.Duration(d.Score * float64(time.Millisecond))
	predicted := c.predicted
	go func() {
		start := time.Now()
		resp, err := s.startResponse(actx, c.request, rr, d.Chosen, replied, fb)
		c.results <- attemptResult{n, resp, err, time.Since(start) - predicted}
	}()
	return true
}

// win cancels the other attempts and returns the response of t.
func (c *race) win(t attemptResult) *Response {
	for n := range c.inFlight {
		c.cancels[n]()
	}
	if lost := len(c.inFlight); lost > 0 {
		go c.closeLosers(lost)
	}
	if c.fallback != nil {
		c.fallback.close()
	}
	c.tail().record(t.excess)
	t.resp.close = closeBoth(t.resp.close, c.cancels[t.number])
	return t.resp
}

// closeLosers closes the responses of attempts that finish after the winner.
func (c *race) closeLosers(n int) {
	for range n {
		if t := <-c.results; t.resp != nil {
			t.resp.close()
		}
	}
}

// final reports whether the request would fail at any other endpoint too.
func (e *Error) final() bool {
	return e.noRetry || (e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests)
}
