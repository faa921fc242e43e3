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

// try is the result of one attempt up to its first token.
type try struct {
	number int
	resp   *Response
	err    *Error
	// excess is how much later than predicted the answer began.
	excess time.Duration
}

// race runs the attempts of a request until one of them delivers. Only one
// attempt runs at a time, except that an idempotent request whose first token
// is late gets a second one; the first to deliver wins.
type race struct {
	server  *Server
	request *Request
	route   *route.Request
	budgets *budgets
	results chan try
	cancels []context.CancelFunc
	// live are the attempts that have no result yet, by number. The value
	// becomes true when the agent has answered.
	live map[int]*atomic.Bool
	// predicted is the time to first token predicted for the last attempt.
	predicted time.Duration
	last      *Error
	// fallback is an endpoint's own error answer, delivered when no other
	// endpoint does better.
	fallback *Response
}

func (s *Server) newRace(r *Request, rr *route.Request) *race {
	return &race{server: s, request: r, route: rr, budgets: s.budgetsOf(r.Service),
		results: make(chan try, r.Document.Budgets.MaxAttemptsPerRequest), live: map[int]*atomic.Bool{}}
}

// run returns the response that delivered first, or the last error.
func (c *race) run(ctx context.Context) (*Response, *Error) {
	c.launch(ctx)
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for len(c.live) > 0 {
		select {
		case t := <-c.results:
			delete(c.live, t.number)
			if t.err == nil {
				return c.win(t), nil
			}
			c.fail(t)
			if len(c.live) == 0 && c.mayRetry(ctx, t.err) && c.launch(ctx) {
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

// fail keeps the error, or the endpoint's own error answer, of a failed attempt.
func (c *race) fail(t try) {
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

// hedgeDelay is how long a first token may take: what was predicted for this
// request and the usual excess over it. A time for all requests would hedge the
// long prompts, whose second prefill costs most, rather than the late ones.
func (c *race) hedgeDelay() time.Duration {
	if !c.request.Idempotent {
		return time.Duration(c.request.Document.Timeouts.RequestMs+1) * time.Millisecond
	}
	return c.predicted + c.tail().predict()
}

// tail returns the estimate for this kind of answer: a whole one takes longer
// to its first byte than a streamed one.
func (c *race) tail() *tail {
	if c.request.Stream {
		return c.budgets.streamed
	}
	return c.budgets.whole
}

// hedge starts another attempt. An attempt that its agent has not answered at
// all is lost contact rather than a slow endpoint: it is revoked as soon as
// another one delivers, and costs no budget. A budget of 0% disables the others,
// whatever the burst.
func (c *race) hedge(ctx context.Context) {
	if !c.request.Idempotent || ctx.Err() != nil {
		return
	}
	answered := 0
	for _, a := range c.live {
		if a.Load() {
			answered++
		}
	}
	disabled := c.request.Document.Budgets.HedgePercent == 0
	if answered > 0 && (disabled || len(c.live) > 1 || !c.budgets.hedge.spend()) {
		return
	}
	if c.launch(ctx) {
		c.server.metrics.hedges.WithLabelValues(c.request.Service).Inc()
		c.server.log.Info("hedge", zap.String("request", c.request.ID), zap.Int("attempt", len(c.cancels)), zap.Bool("answered", answered > 0))
	}
}

// mayRetry says whether a failed request may move to another endpoint. A
// refusal that proves that nothing ran is free; anything else costs budget.
func (c *race) mayRetry(ctx context.Context, err *Error) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case err.Run == call.NotRun:
		return !err.final()
	}
	return c.request.Idempotent && c.budgets.retry.spend()
}

// launch starts an attempt at the next candidate. It returns false when there
// is none or the request has used its attempts up.
func (c *race) launch(ctx context.Context) bool {
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
	answered := new(atomic.Bool)
	c.live[n] = answered
	c.predicted = time.Duration(d.Score * float64(time.Millisecond))
	predicted := c.predicted
	go func() {
		start := time.Now()
		resp, err := s.first(actx, c.request, rr, d.Chosen, answered, fb)
		c.results <- try{n, resp, err, time.Since(start) - predicted}
	}()
	return true
}

// win cancels the losers and returns the winner.
func (c *race) win(t try) *Response {
	for n := range c.live {
		c.cancels[n]()
	}
	if lost := len(c.live); lost > 0 {
		go c.closeLosers(lost)
	}
	if c.fallback != nil {
		c.fallback.close()
	}
	c.tail().record(t.excess)
	t.resp.close = closeBoth(t.resp.close, c.cancels[t.number])
	return t.resp
}

// closeLosers closes attempts that delivered after the race was decided.
func (c *race) closeLosers(n int) {
	for range n {
		if t := <-c.results; t.resp != nil {
			t.resp.close()
		}
	}
}

// final reports whether no other endpoint would answer differently.
func (e *Error) final() bool {
	return e.ended || (e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests)
}
