package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/quota"
)

// testQuotas counts the decisions and the units that the account of the tests is charged.
type testQuotas struct {
	refuse                  atomic.Bool
	asked, refused, balance atomic.Int64
}

func (q *testQuotas) Admit(account string, cost float64, now time.Time) quota.Verdict {
	q.asked.Add(1)
	if q.refuse.Load() {
		q.refused.Add(1)
		return quota.Verdict{RetryAfter: 1250 * time.Millisecond}
	}
	q.Charge(account, cost, now)
	return quota.Verdict{Admitted: true}
}

func (q *testQuotas) Charge(_ string, cost float64, _ time.Time) { q.balance.Add(int64(cost)) }
func (q *testQuotas) Refund(_ string, cost float64, _ time.Time) { q.balance.Add(-int64(cost)) }

// inOrder answers the n-th request with the n-th responder, whichever endpoint gets it.
func inOrder(responders []responder) responder {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) { responders[min(int(n.Add(1)), len(responders))-1](w, r) }
}

// breakAfter sends a part of a response and breaks the connection.
func breakAfter(body string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		ok(body)(w, r)
		_ = http.NewResponseController(w).Flush() // the connection breaks anyway
		panic(http.ErrAbortHandler)
	}
}

// Guards against cost that is lost to an account although nothing has run, against runs that
// are not charged, as repeated and resumed ones, against work for a request beyond the limit, and
// against a change for requests without a limit.
func TestQuotaIsChargedForEachRun(t *testing.T) {
	refuses, serves, first, second := refuseNotRun(503), ok("fine"), "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"
	for _, c := range []struct {
		name, path string
		// answers are those of the endpoints, in the order of the sends; none for no endpoint.
		answers []responder
		change  func(f *fleet, r *http.Request) *http.Request
		status  int
		sends   int
		charged int64 // in runs
	}{
		{"no endpoint", "/read/1", nil, nil, 503, 0, 0},
		{"refused by all", "/read/1", []responder{refuses}, nil, 503, 2, 0},
		{"refused, then served", "/read/1", []responder{refuses, serves}, nil, 200, 2, 1},
		{"refusal that may have run", "/book/1", []responder{refuseWithoutNotRun}, nil, 502, 1, 1},
		{"unknown, then served", "/read/1", []responder{resetConnection, serves}, nil, 200, 2, 2},
		{"unknown, then refused", "/read/1", []responder{resetConnection, refuses}, nil, 502, 2, 1},
		{"failed twice", "/read/1", []responder{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }}, nil, 500, 2, 2},
		{"stream resumed", "/tag/1", []responder{breakAfter(first), ok(second)}, nil, 200, 2, 2},
		{"resume refused", "/tag/1", []responder{breakAfter(first), refuses}, nil, 200, 2, 1},
		{"overload", "/read/1", []responder{serves}, func(f *fleet, r *http.Request) *http.Request {
			f.gateway.Admission = admit.LoadShedder{}
			r.Header.Set("Model", "m")
			return r
		}, 503, 0, 0},
		{"caller left", "/read/1", []responder{serves}, func(_ *fleet, r *http.Request) *http.Request {
			ctx, cancel := context.WithCancel(r.Context())
			cancel()
			return r.WithContext(ctx)
		}, 502, 0, 0},
		{"beyond the limit", "/read/1", []responder{serves}, func(f *fleet, r *http.Request) *http.Request {
			f.gateway.Quotas.(*testQuotas).refuse.Store(true)
			return r
		}, 429, 0, 0},
		{"public route", "/open/1", []responder{serves}, nil, 200, 1, -1},
		{"no limit", "/read/1", []responder{serves}, func(f *fleet, r *http.Request) *http.Request {
			f.gateway.Config.Current().Accounts["k"].Quota = nil
			return r
		}, 200, 1, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, q, answer := newFleet(t), &testQuotas{}, inOrder(c.answers)
			f.gateway.Quotas = q
			config := testConfig
			config.Version++
			config.Accounts = map[string]*catalog.Account{"k": {Name: "acme", Quota: &quota.Limit{PerSecond: 1, Burst: 1, Unit: quota.Tokens, PlainTokens: 70}}}
			config.Routes = append([]catalog.Route{{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, Public: true,
				MaxAttempts: 1, Shares: []catalog.Share{{Service: "s"}}}}, config.Routes...)
			config.Index()
			f.gateway.Config.SetIfNewer(&config)
			for i := range 3 * min(1, len(c.answers)) {
				f.add(t, fmt.Sprint("e", i), []responder{answer})
			}
			r := httptest.NewRequest(http.MethodGet, "http://h"+c.path, nil)
			r.Header.Set("Id", "i")
			r.Header.Set("Key", "k")
			if c.change != nil {
				r = c.change(f, r)
			}
			w := httptest.NewRecorder()
			func() {
				defer func() { _ = recover() }() // a response is broken off by a panic
				f.gateway.ServeHTTP(w, r)
			}()
			is.Equal(w.Code, c.status)
			is.Equal(f.sends(), c.sends)
			is.Equal(w.Header().Get("Retry-After") == "1.250", c.status == 429)
			if c.charged < 0 {
				is.Equal(q.asked.Load(), int64(0)) // not counted
				c.charged = 0
			}
			is.Equal(q.balance.Load(), 70*c.charged)
		})
	}
}

// Guards against a cost that callers lower by what they state: negative numbers, or a sum that
// overflows.
func TestQuotaCost(t *testing.T) {
	tokens, requests := quota.Limit{Unit: quota.Tokens, PlainTokens: 70}, quota.Limit{Unit: quota.Requests, PlainTokens: 70}
	for _, c := range []struct {
		limit          quota.Limit
		prompt, output int64
		want           float64
	}{{tokens, 1460, 80, 1540}, {tokens, 0, 0, 70}, {tokens, 1000, -999, 1000}, {tokens, math.MaxInt64, math.MaxInt64, 2 * maxStatedTokens}, {requests, 1460, 80, 1}} {
		is.New(t).Equal(c.limit.Cost((&exchange{info: RequestInfo{PromptTokens: c.prompt, OutputTokens: c.output}}).statedTokens()), c.want)
	}
}
