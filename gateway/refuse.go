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
	// startupRetry is when a caller returns to a process without configuration.
	startupRetry = 500 * time.Millisecond
	// minRetry and maxRetry bound the return of callers whose request found no
	// room; the spread keeps them from returning together.
	minRetry = 60 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// maxOverloadRetry bounds the wait for an overload to pass.
	maxOverloadRetry = 3 * time.Second
)

// Refusal is a request that the gateway answers itself.
type Refusal struct {
	// Status is the HTTP status. 429 and 503 state that the request has not run.
	Status int
	// Outcome names the reason in logs and metrics.
	Outcome string
	// RetryAfter is when the caller may come back, 0 when it should not.
	RetryAfter time.Duration
	Err        error
}

func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%d %s", r.Status, r.Outcome)
	}
	return fmt.Sprintf("%d %s: %v", r.Status, r.Outcome, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// noRoom refuses a request that has not run and may come back.
func (x *exchange) noRoom(outcome string, err error) *Refusal {
	spread := time.Duration(xxhash.Sum64String(x.call.ID) % uint64(maxRetry-minRetry))
	return &Refusal{Status: http.StatusServiceUnavailable, Outcome: outcome, RetryAfter: minRetry + spread, Err: err}
}

// overloaded refuses a request whose answer would come too late. The caller
// returns when the present queue is expected to be gone.
func (x *exchange) overloaded() *Refusal {
	r := x.noRoom("overload", nil)
	r.RetryAfter += min(maxOverloadRetry, x.overload)
	return r
}

// refuse answers with an error. Nothing has been sent to the caller yet.
func (x *exchange) refuse(err error) {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
	}
	x.status, x.outcome = r.Status, r.Outcome
	if r.Err != nil {
		x.g.Log.Info("refused", zap.String("request", x.call.ID), zap.Int("status", r.Status), zap.String("outcome", r.Outcome),
			zap.String("endpoint", x.endpoint), zap.Int("sends", x.sends), zap.Error(r.Err))
	}
	h := x.w.Header()
	if x.call.ID != "" {
		x.g.Codec.SetRequestID(h, x.call.ID)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := r.Outcome + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(r.Status)
	_, _ = x.w.Write([]byte(text)) // the caller may have left
}
