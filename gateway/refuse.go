package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// startupRetryAfter is the retry delay while the process has no configuration.
	startupRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of requests for which no
	// endpoint was available; the spread keeps callers from retrying together.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
	// maxOverloadRetryAfter bounds the delay that overload adds.
	maxOverloadRetryAfter = 3 * time.Second
	// maxQueueRetryAfter bounds the delay that a queue adds: most of the requests in it have
	// been sent or refused after that time.
	maxQueueRetryAfter = 8 * time.Second
	// queueSpreadDivisor divides the delay that a queue adds to give its spread.
	queueSpreadDivisor = 4
	// onTimeRetryDivisor divides the time in which a request can still be on time to give the
	// longest delay of its refusal: the returning caller needs the rest to be served on time.
	onTimeRetryDivisor = 4
)

// Refusal is an error response that the gateway generates itself.
type Refusal struct {
	// Status is the HTTP status. Callers conclude from 429 and 503 that the request
	// has not run.
	Status int
	// Outcome is the reason in the response body, logs and metrics.
	Outcome string
	// RetryAfter is the delay after which the caller may retry, 0 when it should not.
	RetryAfter time.Duration
	// Err is the cause, nil when there is none.
	Err error
}

func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%d %s", r.Status, r.Outcome)
	}
	return fmt.Sprintf("%d %s: %v", r.Status, r.Outcome, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// unavailable returns a refusal of a request that has not run and may be retried.
func (x *exchange) unavailable(outcome string, err error) *Refusal {
	spread := time.Duration(xxhash.Sum64String(x.info.ID) % uint64(maxRetryAfter-minRetryAfter))
	return &Refusal{Status: http.StatusServiceUnavailable, Outcome: outcome, RetryAfter: minRetryAfter + spread, Err: err}
}

// noEndpoint returns the refusal of a request that no endpoint has taken. The caller
// retries when one takes requests again, if that time is known.
func (x *exchange) noEndpoint(err error) *Refusal {
	r := x.unavailable("no_room", err)
	if in := x.reopensIn(); in > 0 {
		r.Outcome = "endpoints_limited"
		r.RetryAfter += in
	}
	return r
}

// overloaded returns the refusal of a shed request. The caller retries when the
// present queue is expected to have drained.
func (x *exchange) overloaded() *Refusal {
	r := x.unavailable("overload", nil)
	if x.refusedByQueue() {
		r.RetryAfter += x.queueRetryAfter()
		return r
	}
	r.RetryAfter += min(maxOverloadRetryAfter, x.overloadWait)
	return r
}

// queueRetryAfter returns the time until the queue is expected to have drained to the
// request's place, with a spread that keeps refused callers from returning together. A caller
// that can still be served on time is told to return earlier.
func (x *exchange) queueRetryAfter() time.Duration {
	wait := min(maxQueueRetryAfter, max(x.queueWait, x.overloadWait))
	if left := x.route.TargetLatency - time.Since(x.arrived); left > 2*minRetryAfter {
		wait = min(wait, left/onTimeRetryDivisor)
	}
	share := float64(xxhash.Sum64String(x.info.ID)>>32) / (1 << 32)
	return wait + time.Duration(share*float64(wait/queueSpreadDivisor))
}

// refuse writes an error response: err if it is a *Refusal, else status 502.
// Nothing may have been written to the caller before.
func (x *exchange) refuse(err error) {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
	}
	x.status, x.outcome = r.Status, r.Outcome
	if r.Err != nil {
		x.g.Log.Info("refused", zap.String("request", x.info.ID), zap.Int("status", r.Status), zap.String("outcome", r.Outcome),
			zap.String("endpoint", x.endpoint), zap.Int("sends", x.sends), zap.Error(r.Err))
	}
	h := x.w.Header()
	if x.info.ID != "" {
		x.g.Codec.SetRequestID(h, x.info.ID)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := r.Outcome + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.closeIfDraining()
	x.w.WriteHeader(r.Status)
	_, _ = x.w.Write([]byte(text)) // the caller may have disconnected
}
