package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// reasonRateLimited is the reason for a choice that isn't the one with the lowest cost: the
// request would be refused there.
const reasonRateLimited = "lowest cost with a rate limit"

// admit returns the chosen endpoint, or nil if the request is refused because its
// expected wait exceeds the limit for its priority. Before that, it looks for an endpoint
// with a rate limit that takes the request. Requests to plain services and requests that
// have been sent before are never refused.
func (x *exchange) admit(d route.Decision, candidates []route.Endpoint) *route.Endpoint {
	chosen := candidate(d.Chosen, candidates)
	if chosen == nil || x.info.Model == "" || x.sends > 0 {
		return chosen
	}
	x.timing = x.timingAt(chosen)
	x.overloadWait = x.timing.Wait
	median := medianWait(candidates)
	standing := x.g.observeQueue(x.service, median)
	if x.admitsAt(chosen, standing) {
		x.overloadWait = 0
		return chosen
	}
	if e := x.rateLimited(d, candidates); e != nil {
		x.overloadWait = 0
		return e
	}
	if x.inQueue {
		return nil // logged before it entered the queue, or by its outcome
	}
	x.g.Log.Info("overload", zap.String("request", x.info.ID), zap.String("endpoint", chosen.ID), zap.Duration("wait", x.overloadWait),
		zap.Duration("elapsed", x.timing.Elapsed), zap.Duration("first_event", x.timing.FirstEvent), zap.Duration("usual_wait", median), zap.Bool("standing_queue", standing), zap.Duration("target", x.route.TargetLatency),
		zap.Int("priority", x.route.Priority), zap.Float64("held_tokens", chosen.KVUsedTokens), zap.Int64("memory_tokens", chosen.Load.KVCapacityTokens))
	return nil
}

// rateLimited returns the endpoint with a rate limit and the lowest cost that is worth the
// request, nil if there is none. The rate limit keeps its queue short, so that the limits
// for a standing queue don't apply. It may cost more than an endpoint where the request
// would have to wait, as for older weights or uncached prefixes.
func (x *exchange) rateLimited(d route.Decision, candidates []route.Endpoint) *route.Endpoint {
	for _, c := range d.Candidates {
		e := candidate(c.ID, candidates)
		if c.Excluded != "" || !e.RateLimited {
			continue
		}
		price := time.Duration(e.RateLimitPriceMs * float64(time.Millisecond))
		t := x.timingAt(e)
		if x.isTimely(t) && x.admits(t.Wait+price, false) {
			x.reason, x.score = reasonRateLimited, c.Score
			return e
		}
	}
	return nil
}

// candidate returns the candidate with an id, nil if there is none.
func candidate(id string, candidates []route.Endpoint) *route.Endpoint {
	for i := range candidates {
		if candidates[i].ID == id {
			return &candidates[i]
		}
	}
	return nil
}

// admits reports whether the request is admitted with an expected wait.
func (x *exchange) admits(wait time.Duration, standing bool) bool {
	return x.g.Admission.Admit(x.route.Priority, wait, x.route.TargetLatency, standing)
}

// isTimely reports whether the request may be sent as far as its target latency is concerned,
// which counts for those that can wait in a queue.
func (x *exchange) isTimely(t admit.Timing) bool {
	return !x.inQueue && !x.mayQueue() || t.Timely(x.route.TargetLatency, x.late)
}

// admitsAt reports whether the request is admitted at the chosen endpoint with x.timing.
func (x *exchange) admitsAt(chosen *route.Endpoint, standing bool) bool {
	if x.inQueue && !chosen.RateLimited {
		return x.g.Admission.AdmitWaiting(x.route.Priority, x.timing, x.route.TargetLatency, x.late)
	}
	return x.isTimely(x.timing) && x.admits(x.timing.Wait, standing && !chosen.RateLimited)
}

// timingAt returns the expected times of the request at an endpoint. The time to compute its
// own prompt is not part of the wait; otherwise the longest prompts would always be refused.
func (x *exchange) timingAt(e *route.Endpoint) admit.Timing {
	correction := max(1, e.Residual)
	ownMs := e.PrefillMs(e.UncachedTokens(x.info.PromptTokens))
	return admit.Timing{Elapsed: time.Since(x.arrived), Wait: milliseconds(max(0, e.PredictedMs-ownMs) * correction),
		FirstEvent: milliseconds(ownMs * correction)}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// observeQueue records the median wait at a service's endpoints and reports
// whether they have a standing queue.
func (g *Gateway) observeQueue(service string, wait time.Duration) bool {
	present, changed := g.StandingQueues.Observe(service, wait, time.Now())
	if changed {
		g.Log.Info("standing queue", zap.String("service", service), zap.Bool("present", present), zap.Duration("usual_wait", wait))
	}
	return present
}

// maxWaitSamples bounds the endpoints from which the median wait is computed.
const maxWaitSamples = 64

// medianWait returns the median, over the ready endpoints that may be chosen, of
// the expected wait of a request with the lowest priority. If there are more than
// maxWaitSamples candidates, it samples them at even steps.
func medianWait(candidates []route.Endpoint) time.Duration {
	var waits [maxWaitSamples]float64
	n, step := 0, 1+len(candidates)/maxWaitSamples
	for i := 0; i < len(candidates); i += step {
		if e := &candidates[i]; e.State == member.Ready && !e.Ejected && !e.AtPace && e.UnavailableFor() == 0 {
			waits[n] = e.BacklogMs
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(waits[:n])
	return time.Duration(waits[n/2] * float64(time.Millisecond))
}
