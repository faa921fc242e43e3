package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// outcomeOK is the outcome of an attempt whose answer is complete. Other
// outcomes are codes of driver errors, or refused.
const (
	outcomeOK      = "ok"
	outcomeRefused = "refused"
)

// metrics are the agent's counters.
type metrics struct {
	attempts  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	wait      *prometheus.HistogramVec
	expected  *prometheus.CounterVec
	reported  *prometheus.CounterVec
	resumes   prometheus.Counter
	discarded prometheus.Counter
}

// newMetrics returns the counters and registers them with the gauges of s; a
// nil registry leaves them unregistered.
func newMetrics(reg prometheus.Registerer, s *Server) *metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "citrontiller", Subsystem: "agent", Name: name, Help: help}
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(opts(name, help), labels)
	}
	m := &metrics{
		attempts: vec("attempts_total", "Ended attempts by endpoint and outcome.", "endpoint", "outcome"),
		refusals: vec("refusals_total", "Refusals sent to entries, by code.", "code"),
		expected: vec("expected_cached_tokens_total", "Prompt tokens expected in the engine's cache, of answers that report theirs.", "endpoint"),
		reported: vec("reported_cached_tokens_total", "Prompt tokens that the engine reported as cached.", "endpoint"),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "citrontiller", Subsystem: "agent", Name: "queue_wait_seconds",
			Help: "Time from the queue to the endpoint.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 8)}, []string{"endpoint"}),
		resumes:   prometheus.NewCounter(opts("resumes_total", "Streams resumed by Attach.")),
		discarded: prometheus.NewCounter(opts("discarded_messages_total", "Messages that didn't fit the state of their stream.")),
	}
	if reg != nil {
		reg.MustRegister(m.attempts, m.refusals, m.expected, m.reported, m.wait, m.resumes, m.discarded, gauges{s})
	}
	return m
}

// observe counts the cached tokens that an engine reported for a request; a
// negative number means that it reported none.
func (m *metrics) observe(endpoint string, expected, reported int64) {
	if reported < 0 {
		return
	}
	m.expected.WithLabelValues(endpoint).Add(float64(expected))
	m.reported.WithLabelValues(endpoint).Add(float64(reported))
}

// ended counts an attempt by the code of its end.
func (m *metrics) ended(endpoint string, end *pb.End) {
	outcome := end.ErrorCode
	if outcome == "" {
		outcome = outcomeOK
	}
	m.attempts.WithLabelValues(endpoint, outcome).Inc()
}

// gauges reads the state of the queues when metrics are collected.
type gauges struct{ s *Server }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("citrontiller_agent_"+name, help, labels, nil)
}

var (
	runningDesc  = describe("running", "Requests at the endpoint.", "endpoint")
	queuedDesc   = describe("queued", "Requests in the endpoint's queue.", "endpoint")
	limitDesc    = describe("limit", "Concurrency limit of the endpoint.", "endpoint")
	blocksDesc   = describe("cached_blocks", "Blocks in the cache view.", "endpoint")
	eventsDesc   = describe("cache_events_total", "Cache events seen.", "endpoint")
	gapsDesc     = describe("cache_event_gaps_total", "Jumps of the event numbers: lost events.", "endpoint")
	replayDesc   = describe("replay_bytes", "Bytes in the replay buffers of all streams.")
	resultsDesc  = describe("result_bytes", "Bytes of kept results.")
	attemptsDesc = describe("known_attempts", "Attempts in the table.")
)

// Describe implements prometheus.Collector.
func (gauges) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{runningDesc, queuedDesc, limitDesc, blocksDesc, eventsDesc, gapsDesc, replayDesc, resultsDesc, attemptsDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (g gauges) Collect(c chan<- prometheus.Metric) {
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
