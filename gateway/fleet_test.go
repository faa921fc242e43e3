package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// testCodec is a Codec with short header names.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (RequestInfo, error) {
	c := RequestInfo{ID: h.Get("Id"), Credential: h.Get("Key"), Model: h.Get("Model"), Timeout: 2 * time.Second}
	c.PromptTokens, _ = strconv.ParseInt(h.Get("Tokens"), 10, 64) // 0 without the header
	for _, id := range strings.Fields(h.Get("Parts")) {
		c.PromptParts = append(c.PromptParts, PromptPart{ID: id, Tokens: 100})
	}
	h.Del("Key")
	return c, nil
}

func (testCodec) EncodeRequest(h http.Header, s SendInfo) {
	h.Set("Endpoint", s.Endpoint)
	h.Set("Account", s.Account)
	h.Set("Left", s.Timeout.String())
	h.Set("Salt", s.CacheSalt)
	if s.LastEventID != "" {
		h.Set("Last-Event", s.LastEventID)
	}
}

func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

func (testCodec) DecodeResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: h.Get("Id"), Stamped: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "" || status == 421}
}

// fleet is a gateway in front of endpoints with scripted responses.
type fleet struct {
	gateway *Gateway
	url     string
	mu      sync.Mutex
	// arrivals holds the id of the receiving endpoint for each request, in order.
	arrivals []string
}

// responder is an endpoint's behaviour.
type responder func(w http.ResponseWriter, r *http.Request)

func ok(body string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, body)
	}
}

func refuseNotRun(status int) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

func refuseWithoutNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var testConfig = catalog.Config{Version: 3, AccountsRequired: true,
	Accounts: map[string]*catalog.Account{"k": {Name: "acme"}},
	Routes: []catalog.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "book", Host: "h", Prefix: "/book/", Kind: catalog.NonIdempotent, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "draft", Host: "h", Prefix: "/draft/", Kind: catalog.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "tag", Host: "h", Prefix: "/tag/", Kind: catalog.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Resumable: true, Shares: []catalog.Share{{Service: "s"}}},
	}, Limits: catalog.Limits{MaxBodyBytes: 1000}}

// newFleet starts a gateway with one endpoint per script. An endpoint's n-th
// request is served by the n-th responder of its script, later ones by the last.
func newFleet(t *testing.T, scripts ...[]responder) *fleet {
	t.Helper()
	log := zap.NewNop()
	members, tracker := member.NewTracker(), route.NewTracker()
	transport := &httpclient.Transport{Transport: &http.Transport{DisableCompression: true}, SendOnce: true}
	t.Cleanup(transport.CloseIdleConnections)
	f := &fleet{gateway: &Gateway{Config: &catalog.ActiveConfig{}, Members: members, Tracker: tracker, Directory: NewDirectory(members, tracker, log),
		Scheduler: selection.New(log), Targets: &rollout.Targets{}, Codec: testCodec{}, ShortIdle: transport, LongIdle: transport,
		Region: "r", Budget: admit.NewBudget(100),
		Admission: admit.LoadShedder{Usual: admit.Limits{Urgent: 1e6, Other: 1e6}, Overload: admit.Limits{Urgent: 1e6, Other: 1e6}}, Log: log}}
	f.gateway.Metrics = NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 })
	c := testConfig
	c.Index()
	f.gateway.Config.SetIfNewer(&c)
	for i, responders := range scripts {
		f.add(t, fmt.Sprintf("e%d", i), responders)
	}
	s := httptest.NewServer(f.gateway)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fleet) add(t *testing.T, id string, responders []responder) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		n := 0
		for _, a := range f.arrivals {
			if a == id {
				n++
			}
		}
		f.arrivals = append(f.arrivals, id)
		f.mu.Unlock()
		body, _ := io.ReadAll(r.Body) // the server detects a closed connection only after the body is read
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		responders[min(n, len(responders)-1)](w, r)
	}))
	t.Cleanup(s.Close)
	f.gateway.Directory.Put(catalog.Endpoint{Host: infra.Host{ID: id, Service: "s", Address: strings.TrimPrefix(s.URL, "http://"),
		Region: "r", State: infra.Live}, BootID: "1"}, 1)
}

// call sends a request and returns the response, its body and the error of
// reading it.
func (f *fleet) call(t *testing.T, method, path, body string) (*http.Response, string, error) {
	t.Helper()
	resp, err := f.open(f.request(t, method, path, "id-"+t.Name(), body))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// request returns a request to the gateway with an id.
func (f *fleet) request(t *testing.T, method, path, id, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Key", "k")
	return req
}

// open sends a request on a connection of its own and returns the response with its
// body unread.
func (f *fleet) open(req *http.Request) (*http.Response, error) {
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

func (f *fleet) sends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}
