package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Outcomes of attempts in the metrics. All other outcomes are codes of driver
// errors.
const (
	outcomeOK      = "ok"
	outcomeRefused = "refused"
)

// metrics are the agent's counters and histograms.
type metrics struct {
	attempts       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	queueWait      *prometheus.HistogramVec
	expectedCached *prometheus.CounterVec
	reportedCached *prometheus.CounterVec
	resumes        prometheus.Counter
	discarded      prometheus.Counter
}

// newMetrics creates the metrics and registers them together with the state of
// s. If reg is nil, nothing is registered.
func newMetrics(reg prometheus.Registerer, s *Server) *metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "citrontiller", Subsystem: "agent", Name: name, Help: help}
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(opts(name, help), labels)
	}
	m := &metrics{
		attempts:       vec("attempts_total", "Ended attempts by endpoint and outcome.", "endpoint", "outcome"),
		refusals:       vec("refusals_total", "Refusals sent to entries, by code.", "code"),
		expectedCached: vec("expected_cached_tokens_total", "Prompt tokens expected in the engine's cache, of answers that report theirs.", "endpoint"),
		reportedCached: vec("reported_cached_tokens_total", "Prompt tokens that the engine reported as cached.", "endpoint"),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "citrontiller", Subsystem: "agent", Name: "queue_wait_seconds",
			Help: "Time from the queue to the endpoint.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 8)}, []string{"endpoint"}),
		resumes:   prometheus.NewCounter(opts("resumes_total", "Streams resumed by Attach.")),
		discarded: prometheus.NewCounter(opts("discarded_messages_total", "Messages that didn't fit the state of their stream.")),
	}
	if reg != nil {
		reg.MustRegister(m.attempts, m.refusals, m.expectedCached, m.reportedCached, m.queueWait, m.resumes, m.discarded, stateCollector{s})
	}
	return m
}

// observeCached counts the expected and the reported cached tokens of a request.
// A negative reported number means that the engine reported none; nothing is
// counted then.
func (m *metrics) observeCached(endpoint string, expected, reported int64) {
	if reported < 0 {
		return
	}
	m.expectedCached.WithLabelValues(endpoint).Add(float64(expected))
	m.reportedCached.WithLabelValues(endpoint).Add(float64(reported))
}

// countEnd counts an ended attempt by its error code.
func (m *metrics) countEnd(endpoint string, end *pb.End) {
	outcome := end.ErrorCode
	if outcome == "" {
		outcome = outcomeOK
	}
	m.attempts.WithLabelValues(endpoint, outcome).Inc()
}

// stateCollector reads the state of the queues, cache views, buffers and the
// attempt table when metrics are collected.
type stateCollector struct{ s *Server }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("citrontiller_agent_"+name, help, labels, nil)
}

var (
	runningDesc  = newDesc("running", "Requests at the endpoint.", "endpoint")
	queuedDesc   = newDesc("queued", "Requests in the endpoint's queue.", "endpoint")
	limitDesc    = newDesc("limit", "Concurrency limit of the endpoint.", "endpoint")
	blocksDesc   = newDesc("cached_blocks", "Blocks in the cache view.", "endpoint")
	eventsDesc   = newDesc("cache_events_total", "Cache events seen.", "endpoint")
	gapsDesc     = newDesc("cache_event_gaps_total", "Jumps of the event numbers: lost events.", "endpoint")
	replayDesc   = newDesc("replay_bytes", "Bytes in the replay buffers of all streams.")
	resultsDesc  = newDesc("result_bytes", "Bytes of kept results.")
	attemptsDesc = newDesc("known_attempts", "Attempts in the table.")
)

// Describe implements prometheus.Collector.
func (stateCollector) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{runningDesc, queuedDesc, limitDesc, blocksDesc, eventsDesc, gapsDesc, replayDesc, resultsDesc, attemptsDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (g stateCollector) Collect(c chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, t prometheus.ValueType, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, t, v, labels...)
	}
	for id, ep := range g.s.endpoints {
		running, queued, limit := ep.queue.Counts()
		stats := ep.view.Stats()
		put(runningDesc, prometheus.GaugeValue, float64(running), id)
		put(queuedDesc, prometheus.GaugeValue, float64(queued), id)
		put(limitDesc, prometheus.GaugeValue, float64(limit), id)
		put(blocksDesc, prometheus.GaugeValue, float64(stats.Blocks), id)
		put(eventsDesc, prometheus.CounterValue, float64(stats.Events), id)
		put(gapsDesc, prometheus.CounterValue, float64(stats.Gaps), id)
	}
	put(replayDesc, prometheus.GaugeValue, float64(g.s.replays.Used()))
	put(resultsDesc, prometheus.GaugeValue, float64(g.s.results.bytes()))
	put(attemptsDesc, prometheus.GaugeValue, float64(g.s.table.Len()))
}
