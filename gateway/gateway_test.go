package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// testCodec uses short header names.
type testCodec struct{}

func (testCodec) Decode(h http.Header) (RequestInfo, error) {
	c := RequestInfo{ID: h.Get("Id"), Credential: h.Get("Key"), Model: h.Get("Model"), Timeout: 2 * time.Second}
	h.Del("Key")
	return c, nil
}

func (testCodec) Encode(h http.Header, s SendInfo) {
	h.Set("Endpoint", s.Endpoint)
	h.Set("Account", s.Account)
	h.Set("Left", s.Timeout.String())
	if s.LastEventID != "" {
		h.Set("Last-Event", s.LastEventID)
	}
}

func (testCodec) Echo(h http.Header, id string) { h.Set("Id", id) }

func (testCodec) Answer(status int, h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: h.Get("Id"), Stamped: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "" || status == 421}
}

// fleet is a gateway before endpoints that a test scripts.
type fleet struct {
	gateway *Gateway
	url     string
	mu      sync.Mutex
	// arrivals are the endpoints that got a request, in order.
	arrivals []string
}

// answer is an endpoint's behaviour.
type answer func(w http.ResponseWriter, r *http.Request)

func ok(body string) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, body)
	}
}

func refused(status int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

func silentRefusal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var testConfig = catalog.Config{Version: 3, AccountsRequired: true,
	Accounts: map[string]*catalog.Account{"k": {Name: "acme"}},
	Routes: []catalog.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Idempotent, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "book", Host: "h", Prefix: "/book/", Kind: catalog.NonIdempotent, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "draft", Host: "h", Prefix: "/draft/", Kind: catalog.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}},
		{Name: "tag", Host: "h", Prefix: "/tag/", Kind: catalog.Stream, Timeout: 2 * time.Second, MaxAttempts: 2, Resumable: true, Shares: []catalog.Share{{Service: "s"}}},
	}, Limits: catalog.Limits{MaxBodyBytes: 1000}}

// newFleet starts a gateway; each endpoint answers its n-th request by its n-th
// answer, and later ones by the last.
func newFleet(t *testing.T, endpoints ...[]answer) *fleet {
	t.Helper()
	log := zap.NewNop()
	members, tracker := member.NewTracker(), route.NewTracker()
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	f := &fleet{gateway: &Gateway{Config: &catalog.ActiveConfig{}, Members: members, Tracker: tracker, Directory: NewDirectory(members, tracker, log),
		Scheduler: selection.New(log), Targets: &rollout.Targets{}, Codec: testCodec{}, ShortIdle: transport, LongIdle: transport,
		Region: "r", Budget: admit.NewBudget(100),
		Admission: admit.LoadShedder{Usual: admit.Limits{Urgent: 1e6, Other: 1e6}, Overload: admit.Limits{Urgent: 1e6, Other: 1e6}}, Log: log}}
	f.gateway.Metrics = NewMetrics(prometheus.NewRegistry(), func() float64 { return 0 })
	c := testConfig
	c.Index()
	f.gateway.Config.SetIfNewer(&c)
	for i, answers := range endpoints {
		f.add(t, fmt.Sprintf("e%d", i), answers)
	}
	s := httptest.NewServer(f.gateway)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fleet) add(t *testing.T, id string, answers []answer) {
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
		body, _ := io.ReadAll(r.Body) // the server sees a closed connection only then
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		answers[min(n, len(answers)-1)](w, r)
	}))
	t.Cleanup(s.Close)
	f.gateway.Directory.Put(catalog.Endpoint{Host: infra.Host{ID: id, Service: "s", Address: strings.TrimPrefix(s.URL, "http://"),
		Region: "r", State: infra.Live}, BootID: "1"}, 1)
}

// call sends a request and returns the status, the body and the error of reading it.
func (f *fleet) call(t *testing.T, method, path, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "id-"+t.Name())
	req.Header.Set("Key", "k")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func (f *fleet) sends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// Guards against changing what passes: method, path, query, body and headers.
func TestRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	var line, body, account, key string
	f := newFleet(t, []answer{func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		line, body, account, key = r.Method+" "+r.RequestURI, string(text), r.Header.Get("Account"), r.Header.Get("Key")
		ok("fine")(w, r)
	}})
	resp, text, err := f.call(t, http.MethodPost, "/read/a//b/../c%2f?z=1&a=%20&&", "body")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(text, "fine")
	is.Equal(resp.Header.Get("Stamp"), "s")
	is.Equal(line, "POST /read/a//b/../c%2f?z=1&a=%20&&")
	is.Equal(body, "body")
	is.Equal(account, "acme")
	is.Equal(key, "")
}

// Guards against repeating a request that may run once when its fate is unknown.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{reset}, []answer{reset})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502) // promises nothing
	is.Equal(f.sends(), 1)
}

// Guards against losing a request that certainly has not run.
func TestNotRunIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{refused(503), ok("fine")}, []answer{refused(503), ok("fine")})
	f.gateway.Directory.Remove("e1", 2)
	f.add(t, "e2", []answer{ok("fine")})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.True(resp.StatusCode == 200)
	is.True(f.sends() <= 2)
}

// Guards against more sends than the route allows, and against a refusal
// without a time to return.
func TestSendsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{refused(503)}, []answer{refused(503)}, []answer{refused(503)})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(f.sends(), 2)
}

// Guards against a refusal that says "not run" after a send whose fate is unknown.
func TestRefusalIsTrue(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{silentRefusal})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
	f = newFleet(t, []answer{reset}, []answer{refused(503)})
	resp, _, err = f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.True(resp.StatusCode == 502 || f.sends() == 1 && resp.StatusCode == 503)
	if f.arrivals[0] == "e0" {
		is.Equal(resp.StatusCode, 502) // the first send may have run
	}
}

// Guards against replacing an endpoint's own failure by the gateway's when the
// budget allows no further send.
func TestEndpointFailureIsDelivered(t *testing.T) {
	is := is.New(t)
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
	f := newFleet(t, []answer{failing}, []answer{failing})
	f.gateway.Budget = admit.NewBudget(0)
	resp, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Stamp"), "s")
	is.Equal(f.sends(), 1)
}

// Guards against the transport sending a GET again by itself on a broken
// connection: each send has to be accounted for.
func TestBrokenConnectionIsCounted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{ok("1"), reset, reset, reset})
	_, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	resp, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
	is.Equal(f.sends(), 2)
}

// Guards against delivering an answer that belongs to another request, is not
// signed, or is encoded.
func TestForeignAnswersAreNotDelivered(t *testing.T) {
	for name, a := range map[string]answer{
		"other id":  func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "x"); w.Header().Set("Stamp", "s") },
		"no stamp":  func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) },
		"encoded":   func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Content-Encoding", "br"); ok("x")(w, r) },
		"truncated": func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Content-Length", "9"); ok("x")(w, r) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, []answer{a})
			resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
			is.NoErr(err)
			is.Equal(resp.StatusCode, 502)
			is.Equal(resp.Header.Get("Stamp"), "")
		})
	}
}

// events answers with a stream of events from..to, then ends as told.
func events(from, to int, end answer) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
		_ = http.NewResponseController(w).Flush()
		if end != nil {
			end(w, r)
		}
	}
}

// Guards against a stream that ends early and looks complete.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{events(1, 2, reset)})
	resp, body, err := f.call(t, http.MethodPost, "/draft/1", "b")
	is.Equal(resp.StatusCode, 200)
	is.True(strings.HasPrefix(body, "id: 1\n"))
	is.True(err != nil)
	is.Equal(f.sends(), 1)
}

// Guards against joining pieces of two runs wrongly: a resumable stream goes on
// after the last whole event.
func TestStreamIsResumed(t *testing.T) {
	is := is.New(t)
	torn := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		reset(w, r)
	}
	rest := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event") == "2" {
			events(3, 4, nil)(w, r)
			return
		}
		events(1, 2, torn)(w, r)
	}
	f := newFleet(t, []answer{rest}, []answer{rest})
	_, body, err := f.call(t, http.MethodPost, "/tag/1", "b")
	is.NoErr(err)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
	is.Equal(f.sends(), 2)
}

// Guards against requests that are answered with another's credential, route or
// no configuration at all.
func TestWhoMayCall(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{ok("x")})
	resp, _, err := f.call(t, http.MethodGet, "/none/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 404)
	resp, _, err = f.call(t, http.MethodPost, "/book/1", strings.Repeat("x", 1001))
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	c := testConfig
	c.Version, c.Accounts = 4, map[string]*catalog.Account{}
	c.Index()
	f.gateway.Config.SetIfNewer(&c)
	resp, _, err = f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 401)
	f.gateway.Config = &catalog.ActiveConfig{}
	resp, _, err = f.call(t, http.MethodGet, "/none/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.Equal(f.sends(), 0)
}

// Guards against a wait until the deadline for what can't be served: without an
// endpoint the refusal comes within an eighth of the target.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	start := time.Now()
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(start) < 100*time.Millisecond)
}

// Guards against an answer that never comes: at the route's timeout the caller
// gets one that promises nothing.
func TestTimeoutIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }})
	start := time.Now()
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	is.True(time.Since(start) < 1300*time.Millisecond)
}

// Guards against work for callers who have left, prompts included, and against
// cutting a booking whose caller has left.
func TestCallerLeaves(t *testing.T) {
	for path, cancelled := range map[string]bool{"/draft/1": true, "/book/1": false} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan bool, 1)
			f := newFleet(t, []answer{func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(400 * time.Millisecond):
					ended <- false
					ok("x")(w, r)
				}
			}})
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			is.NoErr(err)
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 1\r\n\r\nb", path)
			time.Sleep(100 * time.Millisecond)
			is.NoErr(conn.Close())
			is.Equal(<-ended, cancelled)
		})
	}
}

// Guards against requests accepted during a shutdown that can't end in time.
func TestClosingTakesShortRequestsOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{ok("x")})
	f.gateway.SetDraining()
	f.gateway.SetClosing(time.Now().Add(1500 * time.Millisecond))
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	resp, _, err = f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(!f.gateway.Ready())
}

// Guards against sending work to an endpoint that leaves or loads weights, and
// against excluding it for good when the announcing process dies.
func TestUnavailableEndpointsGetNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{ok("0")}, []answer{ok("1")})
	f.gateway.Directory.SetUpdating(map[string]bool{"e0": true})
	for range 5 {
		_, body, err := f.call(t, http.MethodGet, "/read/1", "")
		is.NoErr(err)
		is.Equal(body, "1")
	}
	time.Sleep(updatingTTL + 50*time.Millisecond)
	is.Equal(f.gateway.Members.Service("s")[0].State, member.Ready)
}

// Guards against a partial answer of a plain connection whose framing is lost.
func TestUnframedAnswerIsPassed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []answer{func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		writeRaw(buf, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nStamp: s\r\n\r\nwhole")
	}})
	resp, body, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
}

func writeRaw(buf *bufio.ReadWriter, text string) {
	_, _ = buf.WriteString(text)
	_ = buf.Flush()
}
