package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
)

// onTimeQuantile is the quantile of the times to the first event of a route within which a
// request counts on its own. With the median, half of the requests that are sent at the last
// moment would be late.
const onTimeQuantile = 0.9

// queueing reports whether requests wait in queues in an overload.
func (g *Gateway) queueing() bool { return g.Queueing != nil && g.Queueing() }

// quotaUsed returns the used share of an account's quota, 0 for requests without an account.
func (g *Gateway) quotaUsed(account string) float64 {
	if g.QuotaUsed == nil || account == "" {
		return 0
	}
	return g.QuotaUsed(account)
}

// mayQueue reports whether the request may wait in the queue of its service. Requests
// without a model or a target latency are never refused for overload.
func (x *exchange) mayQueue() bool {
	return x.info.Model != "" && x.sends == 0 && x.route.TargetLatency > 0 && x.g.queueing() && !x.g.Draining()
}

// mustQueue reports whether the request must wait behind others before it may choose an
// endpoint.
func (x *exchange) mustQueue() bool {
	q := x.g.waiting.find(x.service)
	return q != nil && !q.empty() && q.mustWait(x.g, x.newWaiter(), time.Now())
}

// waitInQueue waits in the queue of the service until the request has chosen an endpoint. It
// returns false, with queueEnd set, if the request is refused or its caller leaves. The request
// gives its charge back while it waits, and is charged again in its turn; otherwise requests that
// are refused in the end would use up their account's quota.
func (x *exchange) waitInQueue() (choice, bool) {
	q := x.g.waiting.get(x.service)
	x.refundQuota()
	w, entered := x.newWaiter(), time.Now()
	entry, length := q.enter(x.g, w, entered)
	fields := x.queueFields(w, entry, length, entered)
	if entry.Refused != "" {
		x.queueEnd, x.queueWait = waitEnd(entry.Refused), entry.Expected
		x.g.Log.Info("not queued", append(fields, zap.String("reason", string(entry.Refused)), zap.Float64("used", x.g.quotaUsed(w.Account)))...)
		return choice{}, false
	}
	x.g.Metrics.waiting.Inc()
	defer x.g.Metrics.waiting.Dec()
	x.inQueue = true
	c, end := x.awaitTurn(q, w)
	x.inQueue = false
	x.queueEnd = end
	_, x.late = q.waitState(w)
	waited := time.Since(entered)
	x.g.Metrics.waits.WithLabelValues(string(x.route.Kind)).Observe(waited.Seconds())
	x.g.Log.Info("waited", append(fields, zap.Duration("wait", waited), zap.Float64("used", x.g.quotaUsed(w.Account)),
		zap.Int("priority", w.Priority), zap.Bool("late", x.late), zap.String("outcome", string(end)))...)
	return c, end == waitSent
}

// queueFields describe the queue's decision on a request, for the log.
func (x *exchange) queueFields(w *waiter, e admit.Entry, length int, entered time.Time) []zap.Field {
	return []zap.Field{zap.String("request", x.info.ID), zap.String("account", w.Account), zap.Duration("expected_wait", e.Expected),
		zap.Duration("longest_wait", w.Until.Sub(entered)), zap.Int("place", e.Place), zap.Int("queue_length", length)}
}

// newWaiter returns the request as the queue sees it. Its wait is counted from its arrival,
// since when its caller waits.
func (x *exchange) newWaiter() *waiter {
	limit := admit.WaitLimit{Priority: x.route.Priority, Target: x.route.TargetLatency, GapAim: x.route.GapAim, Stream: x.route.Kind == catalog.Stream}
	usual, _ := x.g.firstEvents.Quantile(x.route.Name, 0.5) // 0 until enough are known
	return &waiter{
		wake:   make(chan struct{}, 1),
		target: x.route.TargetLatency,
		Waiting: admit.Waiting{
			Priority:    x.route.Priority,
			Account:     x.accountName(),
			LatestStart: x.deadline.Add(-usual),
			OnTimeUntil: x.arrived.Add(x.route.TargetLatency - x.expectedFirstEvent()),
			Until:       x.arrived.Add(limit.Longest(x.deadline.Sub(x.arrived))),
		},
	}
}

// expectedFirstEvent returns the expected time from the send to the first event: at the endpoint
// that was last chosen, or by the route's latest responses if none was.
func (x *exchange) expectedFirstEvent() time.Duration {
	if x.timing.FirstEvent > 0 {
		return x.timing.FirstEvent
	}
	usual, _ := x.g.firstEvents.Quantile(x.route.Name, onTimeQuantile) // 0 until enough are known
	return usual
}

// awaitTurn chooses an endpoint each time that it is the request's turn and its account's quota
// has room, until it has found one or the wait ends.
func (x *exchange) awaitTurn(q *serviceQueue, w *waiter) (choice, waitEnd) {
	for {
		select {
		case <-w.wake:
		case <-x.r.Context().Done():
			return choice{}, q.leave(w, waitCallerLeft, time.Now())
		case <-x.ctx.Done():
			return choice{}, q.leave(w, x.contextEnd(), time.Now())
		}
		end, late := q.waitState(w)
		if end != "" {
			x.queueWait = w.drainedIn
			return choice{}, end
		}
		x.late = late
		if !x.admitQuota() {
			x.noneAvailable = false
			q.holdTurn(w, x.quota.retryAt)
			continue
		}
		if c, ok := x.chooseAllowed(); ok {
			q.sent(w, time.Now())
			return c, waitSent
		}
		x.refundQuota()
		x.noneAvailable = x.overloadWait == 0
		if x.noneAvailable && !x.mayBecomeAvailable(w.Until) {
			return choice{}, q.leave(w, waitNoEndpoint, time.Now())
		}
		q.failedTurn(w, x.turnFailure())
	}
}

// turnFailure returns what the request's turn, in which it was shed or found no endpoint, tells
// of its place in the queue and of other requests. One that wasn't sent since it would be late
// tells nothing of others, which may have shorter prompts.
func (x *exchange) turnFailure() turnFailure {
	if x.noneAvailable {
		return turnFailure{}
	}
	late := !x.late && x.timing.Late(x.route.TargetLatency)
	return turnFailure{late: late, shed: !late && (x.late || x.isTimely(x.timing))}
}

// contextEnd returns how the wait has ended if the request's context has.
func (x *exchange) contextEnd() waitEnd {
	if errors.Is(context.Cause(x.ctx), errStopped) {
		return waitClosing
	}
	return waitExpired
}

// refusedByQueue reports whether the request is refused because of the queue, and not because
// no endpoint took requests when its wait ended.
func (x *exchange) refusedByQueue() bool { return x.queueEnd.overload() && !x.noneAvailable }
