package gatewayd

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/quota"
)

const (
	// maxQuotaAccounts bounds the accounts that have metrics of their own, and so the number of
	// time series.
	maxQuotaAccounts = 512
	// otherAccounts is the label of all others.
	otherAccounts = "(other)"
	// quotaLogInterval is the least time between two log lines on refusals of an account.
	quotaLogInterval = time.Second
)

// quotaLedger is a quota.Ledger, except in tests.
type quotaLedger interface {
	SetLimits(limits map[string]quota.Limit, now time.Time)
	SetFleet(gateways []string, now time.Time)
	Admit(account string, cost float64, now time.Time) quota.Verdict
	Charge(account string, cost float64, now time.Time)
	Refund(account string, cost float64, now time.Time)
	Report(now time.Time) (quota.Report, bool)
	Apply(from string, r quota.Report, now time.Time)
	Used(account string, now time.Time) float64
	Accounts(now time.Time) []quota.AccountState
}

// quotas keeps a ledger up to date and describes its decisions in logs and metrics. It
// implements gateway.Quotas and prometheus.Collector.
type quotas struct {
	ledger  quotaLedger
	log     *zap.Logger
	metrics quotaMetrics
	created time.Time
	// limits are those in force. The map is replaced, not changed.
	limits atomic.Pointer[map[string]quota.Limit]
	// counters holds those of the accounts with metrics of their own. The map is replaced, not
	// changed.
	counters atomic.Pointer[map[string]*accountCounters]
	// other counts for the accounts that are not in counters.
	other *accountCounters
	// fleet is the list last given to the ledger. Only report uses it.
	fleet []string
}

// accountCounters counts the requests of an account.
type accountCounters struct {
	admitted, refused, charged, refunded prometheus.Counter
	// unlogged counts the refusals since the last log line. mayLogAt is the least time of the
	// next one, in nanoseconds after the quotas were created.
	unlogged, mayLogAt atomic.Int64
}

// newQuotas returns quotas without limits.
func newQuotas(ledger quotaLedger, log *zap.Logger) *quotas {
	q := &quotas{ledger: ledger, log: log, metrics: newQuotaMetrics(), created: time.Now()}
	q.other = q.metrics.newCounters(otherAccounts)
	q.limits.Store(&map[string]quota.Limit{})
	q.counters.Store(&map[string]*accountCounters{})
	return q
}

// setLimits puts the limits of a configuration in force and logs what has changed. Calls must
// not overlap, and limits must not change afterwards.
func (q *quotas) setLimits(limits map[string]quota.Limit, now time.Time) {
	old := *q.limits.Load()
	q.limits.Store(&limits)
	q.setCounters(limits)
	q.ledger.SetLimits(limits, now)
	for _, account := range slices.Sorted(maps.Keys(old)) {
		if _, ok := limits[account]; !ok {
			q.log.Info("quota no longer in force", zap.String("account", account))
		}
	}
	for _, account := range slices.Sorted(maps.Keys(limits)) {
		l := limits[account]
		if before, ok := old[account]; !ok || before != l {
			q.log.Info("quota in force", zap.String("account", account), zap.Float64("rate", l.PerSecond), zap.Float64("burst", l.Burst),
				zap.String("unit", string(l.Unit)), zap.Float64("plain_tokens", l.PlainTokens))
		}
	}
}

// setCounters keeps counters for the first maxQuotaAccounts accounts by name, and removes those
// of all others.
func (q *quotas) setCounters(limits map[string]quota.Limit) {
	names := slices.Sorted(maps.Keys(limits))
	old, counters := *q.counters.Load(), map[string]*accountCounters{}
	for _, account := range names[:min(len(names), maxQuotaAccounts)] {
		if counters[account] = old[account]; counters[account] == nil {
			counters[account] = q.metrics.newCounters(account)
		}
	}
	q.counters.Store(&counters)
	for account := range old {
		if counters[account] == nil {
			q.metrics.remove(account)
		}
	}
}

// countersOf returns the counters of an account: other if it has none of its own.
func (q *quotas) countersOf(account string) *accountCounters {
	if t := (*q.counters.Load())[account]; t != nil {
		return t
	}
	return q.other
}

// Admit implements gateway.Quotas.
func (q *quotas) Admit(account string, cost float64, now time.Time) quota.Verdict {
	v, t := q.ledger.Admit(account, cost, now), q.countersOf(account)
	if v.Admitted {
		t.admitted.Inc()
		t.charged.Add(cost)
		return v
	}
	t.refused.Inc()
	t.unlogged.Add(1)
	if t.mayLog(now.Sub(q.created)) {
		limit := (*q.limits.Load())[account]
		q.log.Info("quota exceeded", zap.String("account", account), zap.Float64("cost", cost), zap.Float64("level", v.Level), zap.Float64("share", v.Share),
			zap.Float64("rate", limit.PerSecond), zap.Float64("burst", limit.Burst), zap.String("unit", string(limit.Unit)),
			zap.Duration("retry_after", v.RetryAfter), zap.Int64("refusals", t.unlogged.Swap(0)))
	}
	return v
}

// mayLog reports whether a refusal may be logged, at most one in each quotaLogInterval. at is
// the time since the quotas were created.
func (t *accountCounters) mayLog(at time.Duration) bool {
	from := t.mayLogAt.Load()
	return int64(at) >= from && t.mayLogAt.CompareAndSwap(from, int64(at+quotaLogInterval))
}

// Charge implements gateway.Quotas.
func (q *quotas) Charge(account string, cost float64, now time.Time) {
	q.ledger.Charge(account, cost, now)
	q.countersOf(account).charged.Add(cost)
}

// Refund implements gateway.Quotas.
func (q *quotas) Refund(account string, cost float64, now time.Time) {
	q.ledger.Refund(account, cost, now)
	q.countersOf(account).refunded.Add(cost)
}

// used returns the used share of an account's limit, from 0 to 1.
func (q *quotas) used(account string) float64 { return q.ledger.Used(account, time.Now()) }

// report tells the ledger of the registered gateways if they have changed, and publishes its
// report if there is one. registered returns false while they are not known.
func (q *quotas) report(registered func() ([]string, bool), publish func(quota.Report), now time.Time) {
	if names, ok := registered(); ok && !slices.Equal(names, q.fleet) {
		q.fleet = names
		q.ledger.SetFleet(names, now)
	}
	if r, ok := q.ledger.Report(now); ok {
		publish(r)
	}
}

// publishQuotaReports sends reports of the accounts' limits until ctx ends. Nothing is sent
// while no account has a limit.
func (p *gatewayProcess) publishQuotaReports(ctx context.Context) {
	for ctx.Err() == nil {
		p.quotas.report(p.registeredGateways, p.peerServer.PublishQuotaReport, time.Now())
		wait.Sleep(ctx, quota.ReportInterval)
	}
}

// registeredGateways returns the names of the gateways in the store. It returns false before
// the store's list has been read: a gateway that has just started must not believe that it
// is alone and has the limits of all accounts to itself.
func (p *gatewayProcess) registeredGateways() ([]string, bool) {
	if p.mirror.Revision() == 0 {
		return nil, false
	}
	return p.peers.Gateways(), true
}

// QuotaReportReceived implements peer.Receiver.
func (p peerReceiver) QuotaReportReceived(from string, r quota.Report) {
	p.quotas.ledger.Apply(from, r, time.Now())
}
