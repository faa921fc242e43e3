package entry

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
)

// outcomeOK is the outcome of a request whose response was delivered completely.
// Other outcomes are error codes.
const outcomeOK = "ok"

// outcomeCancelled is the outcome of a request whose caller disconnected.
const outcomeCancelled = "cancelled"

// metrics are the entry's Prometheus metrics.
type metrics struct {
	requests    *prometheus.CounterVec
	firstToken  *prometheus.HistogramVec
	retries     *prometheus.CounterVec
	hedges      *prometheus.CounterVec
	moves       *prometheus.CounterVec
	resumes     *prometheus.CounterVec
	cancelled   *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	crossRegion *prometheus.CounterVec
}

// newMetrics creates the metrics and registers them unless reg is nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "citrontiller", Subsystem: "entry", Name: name, Help: help}, labels)
		if reg != nil {
			reg.MustRegister(c)
		}
		return c
	}
	m := &metrics{
		requests:    counter("requests_total", "Requests by service, outcome and whether an endpoint ran them.", "service", "outcome", "run"),
		retries:     counter("retries_total", "Attempts after a failed one.", "service"),
		moves:       counter("moves_total", "Continuations started because a stream fell silent.", "service"),
		hedges:      counter("hedges_total", "Attempts started because the first token was late.", "service"),
		resumes:     counter("resumes_total", "Streams continued on another endpoint.", "service"),
		cancelled:   counter("cancelled_total", "Requests whose caller left.", "service"),
		refusals:    counter("refusals_total", "Attempts that ended with a proof that they did not run.", "service"),
		crossRegion: counter("cross_region_bytes_total", "Body bytes received from endpoints in other regions.", "service"),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "citrontiller", Subsystem: "entry",
			Name: "first_token_seconds", Help: "Time from the request to the first byte of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m.firstToken)
	}
	return m
}

// observeMiddleware counts and logs each request once, when its response is closed
// or the request has failed.
func (s *Server) observeMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		resp, err := next(ctx, request)
		if err != nil {
			e := asError(err)
			s.observe(r, e.Code, e.Run, "")
			return nil, err
		}
		s.metrics.firstToken.WithLabelValues(r.Service).Observe(time.Since(r.Received).Seconds())
		out := resp.(*Response)
		out.close = closeBoth(out.close, func() {
			run := call.Ran
			if out.outcome == "" {
				out.outcome = outcomeCancelled
			}
			if out.outcome != outcomeOK && !r.Idempotent {
				run = call.Unknown
			}
			s.observe(r, out.outcome, run, out.Endpoint)
		})
		return out, nil
	}
}

// observe counts and logs a finished request.
func (s *Server) observe(r *Request, outcome string, run call.Run, endpoint string) {
	s.metrics.requests.WithLabelValues(r.Service, outcome, string(run)).Inc()
	if outcome == outcomeCancelled {
		s.metrics.cancelled.WithLabelValues(r.Service).Inc()
	}
	s.log.Info("answer", zap.String("request", r.ID), zap.String("service", r.Service), zap.String("account", r.Account),
		zap.String("outcome", outcome), zap.String("run", string(run)), zap.String("endpoint", endpoint),
		zap.Duration("elapsed", time.Since(r.Received)))
}
