package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/member"
)

// await returns the next events. If none arrive within the predicted time, the
// stream is continued on another endpoint, while the old attempt is attached on a
// new connection; the first to deliver wins.
func (m *resumer) await(ctx context.Context) ([]byte, error) {
	start := time.Now()
	timeout := m.gaps.timeout()
	m.attempt.readTimeout = timeout
	b, err := m.next(ctx)
	if err == error(errReadTimeout) {
		f := &failover{resumer: m, startedAt: time.Now(), timeout: timeout}
		b, err = f.run(ctx)
		if f.moved {
			return b, err
		}
	}
	switch {
	case err == nil && b != nil:
		m.gaps.add(time.Since(start))
	case err == nil:
		m.gaps.flush()
	}
	return b, err
}

// failover moves a silent stream to another endpoint, unless the old attempt
// delivers first.
type failover struct {
	*resumer
	startedAt time.Time
	// timeout is the time without events after which the failover started.
	timeout time.Duration
	// moved is set when the stream continues on another endpoint.
	moved bool
	// budgetSpent is set when the move was charged to the hedge budget.
	budgetSpent bool
}

// moveResult is the result of starting the continuation.
type moveResult struct {
	resp *Response
	err  error
}

// run returns the next events from the first attempt that delivers them. Its waits
// for the old attempt double each time.
func (f *failover) run(ctx context.Context) ([]byte, error) {
	f.transcript.parse()
	f.attempt.call.Reattach(f.startedAt.Add(-f.timeout))
	wait := f.attempt.link.AckTimeout()
	for {
		if f.canMove() && f.spendBudget() {
			b, done, err := f.tryMove(ctx)
			if done {
				return b, err
			}
			wait = max(wait, f.timeout)
		}
		f.attempt.readTimeout = wait
		b, err := f.next(ctx)
		if err != error(errReadTimeout) {
			return b, err
		}
		wait *= 2
	}
}

// canMove reports whether the rest of the response may come from another endpoint.
func (f *failover) canMove() bool {
	limit := f.request.Document.Budgets.MaxAttemptsPerRequest
	return f.transcript.err == nil && !f.transcript.finished && !f.transcript.done && f.moves+1 < limit && f.resumes+1 < limit
}

// agentSilent reports whether the agent has had time to reply on a new connection
// but has not.
func (f *failover) agentSilent() bool {
	return !f.attempt.call.LastReceived().After(f.startedAt.Add(-f.timeout)) && time.Since(f.startedAt) >= f.attempt.link.AckTimeout()
}

// spendBudget charges a move to the hedge budget and returns false if it is
// exhausted. A move away from a silent agent is not charged, because a paused agent
// interrupts more streams than the budget covers.
func (f *failover) spendBudget() bool {
	free := f.agentSilent()
	f.budgetSpent = !free && f.server.budgetsOf(f.request.Service).hedge.spend()
	return free || f.budgetSpent
}

// tryMove starts a continuation and reads the old attempt until the continuation
// has the next token. done is false if the move failed and the old attempt is still
// silent.
func (f *failover) tryMove(ctx context.Context) (b []byte, done bool, err error) {
	f.moves++
	f.server.metrics.moves.WithLabelValues(f.request.Service).Inc()
	run, err := f.continuation(f.excludedEndpoints())
	if err != nil {
		return nil, false, nil
	}
	moveCtx, cancel := context.WithCancel(ctx)
	oldCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	result := make(chan moveResult, 1)
	go func() {
		resp, err := run(moveCtx)
		result <- moveResult{resp, err}
		interrupt()
	}()
	f.attempt.readTimeout = 0
	b, err = f.next(oldCtx)
	oldEnded := err != nil && oldCtx.Err() == nil
	if err == nil || ctx.Err() != nil {
		cancel()
		go func() {
			if r := <-result; r.resp != nil {
				r.resp.close()
			}
		}()
		f.log("move cancelled")
		return b, true, err
	}
	r := <-result
	if r.err != nil {
		cancel()
		f.log("move failed", zap.Error(r.err))
		return nil, oldEnded, err
	}
	r.resp.close = closeBoth(r.resp.close, cancel)
	f.log("move")
	f.closeOld()
	f.switchTo(r.resp)
	f.moved = true
	b, err = f.next(ctx)
	return b, true, err
}

// closeOld closes the old attempt after its agent has had time to reply on a new
// connection. If the agent was silent, the move is refunded to the budget.
func (f *failover) closeOld() {
	old, closeAttempt, ackTimeout, silentSince := f.attempt, f.close, f.attempt.link.AckTimeout(), f.startedAt.Add(-f.timeout)
	budget, paid := f.server.budgetsOf(f.request.Service).hedge, f.budgetSpent
	time.AfterFunc(ackTimeout-time.Since(f.startedAt), func() {
		if paid && !old.call.LastReceived().After(silentSince) {
			budget.refund()
		}
		closeAttempt()
	})
}

// log logs an event of the failover.
func (f *failover) log(event string, fields ...zap.Field) {
	f.server.log.Info(event, append(fields, zap.String("request", f.request.ID), zap.String("from", f.resp.Endpoint),
		zap.Duration("silence", f.timeout), zap.Duration("took", time.Since(f.startedAt)), zap.Bool("agent_silent", f.agentSilent()),
		zap.Bool("budget", f.budgetSpent))...)
}

// excludedEndpoints returns the endpoints that a move must not choose: all those of
// the silent agent if another agent has a ready one, else only the silent one.
func (f *failover) excludedEndpoints() map[string]bool {
	all := f.server.Members.Service(f.request.Service)
	old, _ := f.server.Members.Endpoint(f.resp.Endpoint)
	out := map[string]bool{f.resp.Endpoint: true}
	other := false
	for _, e := range all {
		if e.Agent == old.Agent {
			out[e.ID] = true
		} else if e.State == member.Ready {
			other = true
		}
	}
	if !other {
		return map[string]bool{f.resp.Endpoint: true}
	}
	return out
}
