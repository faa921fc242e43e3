package gatewayd

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// quotaMetrics are the metrics of the accounts' limits.
type quotaMetrics struct {
	requests          *prometheus.CounterVec
	charged, refunded *prometheus.CounterVec
	level, share      *prometheus.Desc
}

func newQuotaMetrics() quotaMetrics {
	const prefix = "citrontiller_gateway_quota_"
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + name, Help: help}, append([]string{"account"}, labels...))
	}
	return quotaMetrics{
		requests: counter("requests_total", "Requests of accounts with a limit, by verdict.", "verdict"),
		charged:  counter("charged_units_total", "Cost of admitted requests and of repeated runs."),
		refunded: counter("refunded_units_total", "Cost given back because requests did not run."),
		level:    prometheus.NewDesc(prefix+"level_units", "Units left, negative for a debt.", []string{"account"}, nil),
		share:    prometheus.NewDesc(prefix+"share", "Part of the limit that the gateways in contact may use.", []string{"account"}, nil),
	}
}

// newCounters returns the counters for a value of the label account.
func (m quotaMetrics) newCounters(account string) *accountCounters {
	return &accountCounters{admitted: m.requests.WithLabelValues(account, "admitted"), refused: m.requests.WithLabelValues(account, "refused"),
		charged: m.charged.WithLabelValues(account), refunded: m.refunded.WithLabelValues(account)}
}

// remove removes the counters of an account.
func (m quotaMetrics) remove(account string) {
	labels := prometheus.Labels{"account": account}
	m.requests.DeletePartialMatch(labels)
	m.charged.Delete(labels)
	m.refunded.Delete(labels)
}

// Describe implements prometheus.Collector.
func (q *quotas) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range []*prometheus.CounterVec{q.metrics.requests, q.metrics.charged, q.metrics.refunded} {
		c.Describe(ch)
	}
	ch <- q.metrics.level
	ch <- q.metrics.share
}

// Collect implements prometheus.Collector. At most maxQuotaAccounts accounts have metrics of
// their own.
func (q *quotas) Collect(ch chan<- prometheus.Metric) {
	counters := *q.counters.Load()
	if len(counters) == 0 {
		return
	}
	for _, c := range []*prometheus.CounterVec{q.metrics.requests, q.metrics.charged, q.metrics.refunded} {
		c.Collect(ch)
	}
	for _, a := range q.ledger.Accounts(time.Now()) {
		if counters[a.Account] != nil {
			ch <- prometheus.MustNewConstMetric(q.metrics.level, prometheus.GaugeValue, a.Level, a.Account)
			ch <- prometheus.MustNewConstMetric(q.metrics.share, prometheus.GaugeValue, a.Share, a.Account)
		}
	}
}
