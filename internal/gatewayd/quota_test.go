package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/quota"
)

// testLedger refuses all requests and records its other calls.
type testLedger struct {
	*quota.Ledger
	limits   map[string]quota.Limit
	fleets   [][]string
	received chan string
}

func newTestLedger() *testLedger {
	return &testLedger{Ledger: quota.New(quota.Options{Self: "g0"})}
}

func (l *testLedger) SetLimits(limits map[string]quota.Limit, _ time.Time) { l.limits = limits }
func (l *testLedger) SetFleet(gateways []string, _ time.Time)              { l.fleets = append(l.fleets, gateways) }
func (l *testLedger) Admit(string, float64, time.Time) quota.Verdict {
	return quota.Verdict{RetryAfter: time.Second, Level: -3, Share: 0.5}
}
func (l *testLedger) Apply(from string, r quota.Report, _ time.Time) {
	l.received <- fmt.Sprint(from, r)
}
func (l *testLedger) Accounts(time.Time) (out []quota.AccountState) {
	for account := range l.limits {
		out = append(out, quota.AccountState{Account: account})
	}
	return out
}

// limitsOf returns limits for n accounts.
func limitsOf(n int) map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for i := range n {
		out[fmt.Sprintf("a%04d", i)] = quota.Limit{PerSecond: 4, Burst: 8, Unit: quota.Requests}
	}
	return out
}

// Guards against a change of deployments without limits: reports between gateways, refusals
// with 429, or metrics of accounts.
func TestNothingChangesWithoutLimits(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 1)
	for range 20 {
		is.Equal(f.call().StatusCode, http.StatusOK)
		f.process.quotas.report(func() ([]string, bool) { return []string{"g0", "g1"}, true }, func(quota.Report) { t.Error("report") }, time.Now())
	}
	ch := make(chan prometheus.Metric, 1)
	f.process.quotas.Collect(ch)
	is.Equal(len(ch), 0)
}

// Guards against a configuration with a quota that is not valid and replaces, or loosens, the
// one in force, and against changes of limits that operators don't see.
func TestLimitsFollowConfiguration(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.New(core), func() int64 { return 0 })
	ledger := newTestLedger()
	p.quotas.ledger = ledger
	for _, c := range []struct {
		version        int64
		fields         string
		rate           float64 // 0 for no limit
		version2, logs int64   // version in force and lines on limits in force
	}{{2, `,"rate_per_s":5`, 5, 2, 1}, {1, ``, 5, 2, 1}, {3, `,"rate_per_s":-5`, 5, 2, 1}, {4, `,"unit":"furlongs"`, 5, 2, 1},
		{5, `,"rate_per_s":5`, 5, 5, 1}, {6, `,"rate_per_s":4`, 4, 6, 2}, {7, ``, 0, 7, 2}} {
		value := fmt.Sprintf(`{"version":%d,"tenants":[{"name":"acme","api_keys":["k"]%s}]}`, c.version, c.fields)
		p.onStoreChange(infra.Event{Pair: infra.Pair{Key: platform.ConfigKey, Value: []byte(value), Revision: c.version}})
		is.Equal(ledger.limits["acme"].PerSecond, c.rate)
		is.Equal(p.gateway.Config.Current().Version, c.version2)
		is.Equal(int64(logs.FilterMessage("quota in force").Len()), c.logs)
	}
	refused := logs.FilterMessage("configuration has errors; the one before stays in force").All()
	is.Equal(len(refused), 2)
	is.True(strings.Contains(fmt.Sprint(refused[0].ContextMap()["first"]), `tenants[acme].rate_per_s: -5`))
	is.Equal(logs.FilterMessage("quota no longer in force").Len(), 1)
}

// Guards against a gateway that has just started and believes that it is alone: it would have
// all accounts' limits to itself.
func TestFleetIsUnknownBeforeStoreIsRead(t *testing.T) {
	is := is.New(t)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.NewNop(), func() int64 { return 0 })
	_, known := p.registeredGateways()
	is.True(!known)
	ledger := newTestLedger()
	q := newQuotas(ledger, zap.NewNop())
	for _, names := range [][]string{nil, {"g0", "g1"}, {"g0", "g1"}, {"g1"}} {
		q.report(func() ([]string, bool) { return names, names != nil }, nil, time.Now())
	}
	is.Equal(ledger.fleets, [][]string{{"g0", "g1"}, {"g1"}})
}

// Guards against reports that another gateway doesn't get, or takes for those of a third one.
func TestQuotaReportReachesPeer(t *testing.T) {
	f := newAnnouncedFleet(t, 0)
	ledger := &testLedger{Ledger: quota.New(quota.Options{}), received: make(chan string, 1000)}
	f.process.quotas.ledger = ledger
	other, r := f.another(), quota.Report{Boot: 9, Spending: []quota.Spending{{Account: "acme", Units: 5}}}
	for end := time.Now().Add(10 * time.Second); len(ledger.received) == 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		other.process.peerServer.PublishQuotaReport(r)
	}
	is.New(t).True(len(ledger.received) > 0)
	is.New(t).Equal(<-ledger.received, fmt.Sprint("g1", r))
}

// Guards against log lines that grow with the number of refusals, and against refusals that
// no line counts.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	q, start := newQuotas(newTestLedger(), zap.New(core)), time.Now()
	q.setLimits(limitsOf(2), start)
	for i := range 2500 { // 2.5 s
		q.Admit("a0000", 3, start.Add(time.Duration(i)*time.Millisecond))
	}
	q.Admit("a0001", 3, start)
	lines := logs.FilterMessage("quota exceeded").All()
	is.Equal(len(lines), 4)
	is.Equal(lines[3].ContextMap()["account"], "a0001")
	is.Equal(lines[1].ContextMap(), map[string]any{"account": "a0000", "cost": 3.0, "level": -3.0, "share": 0.5, "rate": 4.0, "burst": 8.0,
		"unit": "requests", "retry_after": time.Second, "refusals": int64(1000)})
}

// Guards against metrics that grow without bound, with the accounts in force or with those
// that have been.
func TestQuotaMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	q := newQuotas(newTestLedger(), zap.NewNop())
	reg := prometheus.NewPedanticRegistry()
	is.NoErr(reg.Register(q))
	for _, c := range []struct{ accounts, want int }{{3000, 6*maxQuotaAccounts + 4}, {2, 6*2 + 4}, {0, 0}} { // 4 of all other accounts
		q.setLimits(limitsOf(c.accounts), time.Now())
		q.Admit("a2999", 3, time.Now())
		families, err := reg.Gather()
		is.NoErr(err)
		got := 0
		for _, f := range families {
			got += len(f.Metric)
		}
		is.Equal(got, c.want)
	}
}
