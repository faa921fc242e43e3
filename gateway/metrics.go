package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets cover the time to a first token and that of whole responses, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8, 16}

// Metrics are the gateway's counters and histograms.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
	// waiting is the number of requests in queues, waits how long they were there.
	waiting prometheus.Gauge
	waits   *prometheus.HistogramVec
}

// NewMetrics registers the metrics. open returns the number of requests in progress.
func NewMetrics(reg prometheus.Registerer, open func() float64) *Metrics {
	m := &Metrics{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrontiller_gateway_requests_total", Help: "Requests by kind of route and outcome."}, []string{"kind", "outcome"}),
		attempts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "citrontiller_gateway_attempt_failures_total", Help: "Sends without a usable answer."}, []string{"failure"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "citrontiller_gateway_first_byte_seconds", Help: "Time from arrival to the answer's first byte.", Buckets: latencyBuckets}, []string{"kind"}),
		total:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "citrontiller_gateway_request_seconds", Help: "Time from arrival to the answer's end.", Buckets: latencyBuckets}, []string{"kind"}),
		waiting:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "citrontiller_gateway_waiting_requests", Help: "Requests that wait in the queue of their service."}),
		waits:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "citrontiller_gateway_wait_seconds", Help: "Time that requests waited in the queue of their service.", Buckets: latencyBuckets}, []string{"kind"}),
	}
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "citrontiller_gateway_open_requests", Help: "Requests in progress."}, open))
	reg.MustRegister(m.requests, m.attempts, m.firstByte, m.total, m.waiting, m.waits)
	return m
}

// done counts a finished request.
func (m *Metrics) done(x *exchange, total time.Duration) {
	kind := "none"
	if x.route != nil {
		kind = string(x.route.Kind)
	}
	m.requests.WithLabelValues(kind, x.outcome).Inc()
	m.total.WithLabelValues(kind).Observe(total.Seconds())
	if x.firstByte > 0 {
		m.firstByte.WithLabelValues(kind).Observe(x.firstByte.Seconds())
	}
}
