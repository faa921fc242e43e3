package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/quarantine"
)

// forward sends the request until a response is delivered or no further attempt
// is allowed.
func (x *exchange) forward() {
	x.g.Budget.Earn()
	for {
		c, ok := x.waitForEndpoint()
		if !ok {
			x.refuse(x.refusalFor(nil))
			return
		}
		err := x.attempt(c)
		if err == nil {
			return
		}
		var failed *attemptError
		if !errors.As(err, &failed) || !failed.retryAllowed && !x.allowResend(failed.failure) {
			x.refuse(x.refusalFor(err))
			return
		}
	}
}

// attempt sends the request to an endpoint and relays the response. An error is an
// *attemptError and means that the caller has received nothing yet. The attempt also
// ends if relay panics to break the caller's connection.
func (x *exchange) attempt(c choice) error {
	p, err := x.send(c, x.info.LastEventID)
	if err != nil {
		return err
	}
	defer p.close()
	return x.relay(p)
}

const (
	// endpointPollInterval is the time between two searches for an available endpoint.
	endpointPollInterval = 10 * time.Millisecond
	// endpointWaitDivisor divides the target latency to give the longest wait for
	// an available endpoint.
	endpointWaitDivisor = 8
)

// waitForEndpoint chooses an endpoint. In an overload, requests wait in the queue of their
// service if Gateway.Queueing says so. Otherwise waitForEndpoint retries for a short time
// when none is available, but not when the request is refused because of overload, the
// service has no endpoints, or none takes requests in that time.
func (x *exchange) waitForEndpoint() (choice, bool) {
	queue := x.mayQueue()
	if queue && x.mustQueue() {
		return x.waitInQueue()
	}
	longest := x.route.TargetLatency / endpointWaitDivisor
	if x.sends > 0 {
		longest = max(longest, trialWait)
	}
	until := time.Now().Add(longest)
	for {
		if c, ok := x.chooseAllowed(); ok {
			return c, true
		}
		if queue && x.overloadWait > 0 && !x.abandoned() {
			return x.waitInQueue()
		}
		if x.abandoned() || !x.mayBecomeAvailable(until) || !wait.Sleep(x.ctx, endpointPollInterval) {
			return choice{}, false
		}
	}
}

// mayBecomeAvailable reports whether an endpoint may take the request before a time,
// although the last choice found none.
func (x *exchange) mayBecomeAvailable(until time.Time) bool {
	switch {
	case x.quarantine.Verdict == quarantine.Blocked, x.overloadWait > 0, len(x.g.Members.Service(x.service)) == 0:
		return false
	}
	return x.availableIn <= time.Until(until)
}

// allowRetry reports whether the request may be sent to another endpoint after a
// failure. If the failed attempt reached its endpoint, the retry is charged to
// the retry budget.
func (x *exchange) allowRetry(f failure) bool {
	switch {
	case x.ctx.Err() != nil:
		return false
	case x.abandoned():
		return false
	case f == notSent:
		return len(x.excluded) < maxFailedEndpoints
	case x.sends >= x.route.MaxAttempts:
		return false
	case f == unknown && !x.route.Repeatable():
		return false
	}
	return x.g.Budget.Spend()
}

// abandoned reports whether the caller has left before the request was sent to any endpoint,
// so that nobody needs a response and nothing can have run.
func (x *exchange) abandoned() bool { return x.sends == 0 && x.r.Context().Err() != nil }

// allowResend is allowRetry for a request of which the caller has received nothing. It isn't
// sent again if a planned stop would probably cut it: the caller may still try elsewhere.
func (x *exchange) allowResend(f failure) bool {
	return x.endsBeforeStop() && x.allowRetry(f)
}

// maxFailedEndpoints is the number of failed endpoints after which a request whose
// connection failed is not retried.
const maxFailedEndpoints = 4

// refusalFor returns the refusal for a request whose last attempt failed with
// err; err is nil when no endpoint was available. Only a request that no endpoint
// can have run gets a status that implies so.
func (x *exchange) refusalFor(err error) *Refusal {
	var a *attemptError
	switch {
	case x.abandoned():
		return &Refusal{Status: http.StatusBadGateway, Outcome: "caller_left", Err: err}
	case err == nil, errors.As(err, &a) && a.failure != unknown:
		if x.mayHaveRun {
			return &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
		}
		if err == nil && x.quarantine.Verdict != quarantine.Allowed {
			return x.quarantined(x.quarantine)
		}
		if x.queueEnd == waitClosing || !x.endsBeforeStop() {
			return x.unavailable("closing", err)
		}
		if x.queueEnd.overload() && x.quotaExceeded() {
			return x.quotaRefusal()
		}
		if x.overloadWait > 0 || x.refusedByQueue() {
			return x.overloaded()
		}
		return x.noEndpoint(err)
	case x.r.Context().Err() != nil:
		return &Refusal{Status: http.StatusBadGateway, Outcome: "caller_left", Err: err}
	case errors.Is(context.Cause(x.ctx), errStopped):
		return &Refusal{Status: http.StatusGatewayTimeout, Outcome: "stopped", Err: err}
	case errors.Is(err, context.DeadlineExceeded) || x.ctx.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Outcome: "timeout", Err: err}
	}
	return &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
}
