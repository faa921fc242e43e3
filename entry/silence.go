package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/member"
)

// await returns the next events. When they don't come in the predicted time,
// the stream is continued on another endpoint while the old one is asked again
// on a new connection; the first to deliver wins.
func (m *resumer) await(ctx context.Context) ([]byte, error) {
	start := time.Now()
	silence := m.gaps.silence()
	m.attempt.patience = silence
	b, err := m.next(ctx)
	if err == error(errSilent) {
		c := &contest{resumer: m, begun: time.Now(), silence: silence}
		b, err = c.run(ctx)
		if c.won {
			return b, err
		}
	}
	switch {
	case err == nil && b != nil:
		m.gaps.add(time.Since(start))
	case err == nil:
		m.gaps.end()
	}
	return b, err
}

// contest decides which endpoint continues a silent stream.
type contest struct {
	*resumer
	begun   time.Time
	silence time.Duration
	// won is set when another endpoint has taken the stream over.
	won bool
	// paid is set when the move was taken from the hedge budget.
	paid bool
}

// moved is the result of a move.
type moved struct {
	resp *Response
	err  error
}

// run returns the next events of whichever endpoint has them first.
func (c *contest) run(ctx context.Context) ([]byte, error) {
	c.seen.parse()
	c.attempt.call.Reattach(c.begun.Add(-c.silence))
	wait := c.attempt.link.AckTimeout()
	for {
		if c.movable() && c.pay() {
			b, done, err := c.race(ctx)
			if done {
				return b, err
			}
			wait = max(wait, c.silence)
		}
		c.attempt.patience = wait
		b, err := c.next(ctx)
		if err != error(errSilent) {
			return b, err
		}
		wait *= 2
	}
}

// movable says whether the rest of the answer can come from elsewhere.
func (c *contest) movable() bool {
	limit := c.request.Document.Budgets.MaxAttemptsPerRequest
	return c.seen.err == nil && !c.seen.finished && !c.seen.done && c.moves+1 < limit && c.resumes+1 < limit
}

// agentSilent reports whether the agent has had time to answer on a new
// connection and has not.
func (c *contest) agentSilent() bool {
	return !c.attempt.call.LastReceived().After(c.begun.Add(-c.silence)) && time.Since(c.begun) >= c.attempt.link.AckTimeout()
}

// pay takes a move from the hedge budget, unless the agent itself is silent:
// one that pauses leaves more streams than the budget covers.
func (c *contest) pay() bool {
	free := c.agentSilent()
	c.paid = !free && c.server.budgetsOf(c.request.Service).hedge.spend()
	return free || c.paid
}

// race reads the old attempt until another endpoint has the next token. done is
// false when the move failed and the old attempt is still silent.
func (c *contest) race(ctx context.Context) (b []byte, done bool, err error) {
	c.moves++
	c.server.metrics.moves.WithLabelValues(c.request.Service).Inc()
	run, err := c.continuation(c.avoid())
	if err != nil {
		return nil, false, nil
	}
	mctx, cancel := context.WithCancel(ctx)
	octx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	result := make(chan moved, 1)
	go func() {
		resp, err := run(mctx)
		result <- moved{resp, err}
		interrupt()
	}()
	c.attempt.patience = 0
	b, err = c.next(octx)
	cut := err != nil && octx.Err() == nil // the old attempt has ended
	if err == nil || ctx.Err() != nil {
		cancel()
		go func() {
			if r := <-result; r.resp != nil {
				r.resp.close()
			}
		}()
		c.log("move cancelled")
		return b, true, err
	}
	r := <-result
	if r.err != nil {
		cancel()
		c.log("move failed", zap.Error(r.err))
		return nil, cut, err
	}
	r.resp.close = closeBoth(r.resp.close, cancel)
	c.log("move")
	c.leave()
	c.adopt(r.resp)
	c.won = true
	b, err = c.next(ctx)
	return b, true, err
}

// leave closes the old attempt once its agent has had time to answer on a new
// connection. A move away from a silent agent costs no budget.
func (c *contest) leave() {
	old, end, timeout, silent := c.attempt, c.close, c.attempt.link.AckTimeout(), c.begun.Add(-c.silence)
	budget, paid := c.server.budgetsOf(c.request.Service).hedge, c.paid
	time.AfterFunc(timeout-time.Since(c.begun), func() {
		if paid && !old.call.LastReceived().After(silent) {
			budget.refund()
		}
		end()
	})
}

func (c *contest) log(event string, fields ...zap.Field) {
	c.server.log.Info(event, append(fields, zap.String("request", c.request.ID), zap.String("from", c.resp.Endpoint),
		zap.Duration("silence", c.silence), zap.Duration("took", time.Since(c.begun)), zap.Bool("agent_silent", c.agentSilent()),
		zap.Bool("budget", c.paid))...)
}

// avoid returns the endpoints that a move must not choose: all those of the
// silent agent when another agent has a ready one, else the silent one alone.
func (c *contest) avoid() map[string]bool {
	all := c.server.Members.Service(c.request.Service)
	old, _ := c.server.Members.Endpoint(c.resp.Endpoint)
	out := map[string]bool{c.resp.Endpoint: true}
	other := false
	for _, e := range all {
		if e.Agent == old.Agent {
			out[e.ID] = true
		} else if e.State == member.Ready {
			other = true
		}
	}
	if !other {
		return map[string]bool{c.resp.Endpoint: true}
	}
	return out
}
