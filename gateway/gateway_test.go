package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
)

// Guards against changes to the forwarded method, path, query, body and headers,
// and against forwarding the caller's credential.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	var line, body, account, key string
	f := newFleet(t, []responder{func(w http.ResponseWriter, r *http.Request) {
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

// Guards against retrying a non-idempotent request that may have run: the
// connection is reset after the request was sent.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{resetConnection}, []responder{resetConnection})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502) // doesn't imply that the request has not run
	is.Equal(f.sends(), 1)
}

// Guards against failing a request that has not run instead of retrying it.
func TestNotRunIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{refuseNotRun(503), ok("fine")}, []responder{refuseNotRun(503), ok("fine")})
	f.gateway.Directory.Remove("e1", 2)
	f.add(t, "e2", []responder{ok("fine")})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.True(resp.StatusCode == 200)
	is.True(f.sends() <= 2)
}

// Guards against more sends than the route allows, and against a 503 without
// Retry-After.
func TestSendsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{refuseNotRun(503)}, []responder{refuseNotRun(503)}, []responder{refuseNotRun(503)})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(f.sends(), 2)
}

// Guards against a status that implies "not run" after a send that may have run:
// a 503 without the endpoint's statement, or a reset followed by a refusal.
func TestNoNotRunStatusAfterUncertainSend(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{refuseWithoutNotRun})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
	f = newFleet(t, []responder{resetConnection}, []responder{refuseNotRun(503)})
	resp, _, err = f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.True(resp.StatusCode == 502 || f.sends() == 1 && resp.StatusCode == 503)
	if f.arrivals[0] == "e0" {
		is.Equal(resp.StatusCode, 502) // the first send may have run
	}
}

// Guards against replacing an endpoint's own error response by the gateway's when
// the retry budget is exhausted.
func TestEndpointFailureIsDelivered(t *testing.T) {
	is := is.New(t)
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
	f := newFleet(t, []responder{failing}, []responder{failing})
	f.gateway.Budget = admit.NewBudget(0)
	resp, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Stamp"), "s")
	is.Equal(f.sends(), 1)
}

// Guards against uncounted retries of a GET by the HTTP transport on a reset
// connection: every send counts against the limits.
func TestBrokenConnectionIsCounted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("1"), resetConnection, resetConnection, resetConnection})
	_, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	resp, _, err := f.call(t, http.MethodGet, "/read/1", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
	is.Equal(f.sends(), 2)
}

// Guards against delivering a response that belongs to another request, lacks the
// stamp, is encoded, or is truncated.
func TestInvalidResponsesAreNotDelivered(t *testing.T) {
	for name, respond := range map[string]responder{
		"other id":  func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "x"); w.Header().Set("Stamp", "s") },
		"no stamp":  func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) },
		"encoded":   func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Content-Encoding", "br"); ok("x")(w, r) },
		"truncated": func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Content-Length", "9"); ok("x")(w, r) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, []responder{respond})
			resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
			is.NoErr(err)
			is.Equal(resp.StatusCode, 502)
			is.Equal(resp.Header.Get("Stamp"), "")
		})
	}
}

// events returns a responder that writes the events from..to and then calls end
// if it is not nil.
func events(from, to int, end responder) responder {
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

// Guards against an interrupted stream that looks complete to the caller: the
// endpoint resets the connection after two events.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{events(1, 2, resetConnection)})
	resp, body, err := f.call(t, http.MethodPost, "/draft/1", "b")
	is.Equal(resp.StatusCode, 200)
	is.True(strings.HasPrefix(body, "id: 1\n"))
	is.True(err != nil)
	is.Equal(f.sends(), 1)
}

// Guards against lost, repeated or partial events when a resumable stream
// continues at another endpoint: it continues after the last whole event.
func TestStreamIsResumed(t *testing.T) {
	is := is.New(t)
	truncated := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		resetConnection(w, r)
	}
	resumable := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event") == "2" {
			events(3, 4, nil)(w, r)
			return
		}
		events(1, 2, truncated)(w, r)
	}
	f := newFleet(t, []responder{resumable}, []responder{resumable})
	_, body, err := f.call(t, http.MethodPost, "/tag/1", "b")
	is.NoErr(err)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
	is.Equal(f.sends(), 2)
}

// Guards against forwarding requests without a route, with a body above the limit,
// with an unknown credential, or before there is a configuration.
func TestInvalidRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("x")})
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

// Guards against waiting until the deadline when there is no endpoint. The gateway
// waits an eighth of the target latency; the test allows the whole target.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	start := time.Now()
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(start) < 100*time.Millisecond)
}

// Guards against a request that waits for an endpoint although its service has none.
func TestServiceWithoutEndpointsIsSearchedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	core, logs := observer.New(zap.InfoLevel)
	f.gateway.Log = zap.New(core)
	for _, path := range []string{"/book/1", "/read/1", "/draft/1"} {
		resp, _, err := f.call(t, http.MethodPost, path, "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
	}
	is.Equal(logs.FilterMessage("route").Len(), 3)
}

// Guards against an endpoint that never responds: at the route's timeout the
// caller gets a status that doesn't imply that the request has not run.
func TestTimeoutReturnsGatewayTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }})
	start := time.Now()
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	is.True(time.Since(start) < 1300*time.Millisecond)
}

// Guards against work for callers that have disconnected, also before the first
// byte of the response, and against cancelling a non-idempotent request whose
// caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	for path, cancelled := range map[string]bool{"/draft/1": true, "/book/1": false} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan bool, 1)
			f := newFleet(t, []responder{func(w http.ResponseWriter, r *http.Request) {
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

// failFirst is a transport whose first request finds no connection, after a while.
type failFirst struct {
	http.RoundTripper
	failed atomic.Bool
}

func (t *failFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.failed.CompareAndSwap(false, true) {
		time.Sleep(200 * time.Millisecond)
		return nil, errors.New("no connection")
	}
	return t.RoundTripper.RoundTrip(r)
}

// Guards against a request that runs although its caller left before it was sent anywhere:
// a request that must not run twice outlives its caller only once it may have run.
func TestRequestIsNotSentAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("x")}, []responder{ok("x")})
	f.gateway.ShortIdle = &failFirst{RoundTripper: f.gateway.ShortIdle}
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, leave)
	_, err := f.open(f.request(t, http.MethodPost, "/book/1", "i", "b").WithContext(ctx))
	is.True(err != nil)
	time.Sleep(400 * time.Millisecond)
	is.Equal(f.sends(), 0)
}

// Guards against accepting requests during a shutdown that may not end in time.
func TestShutdownAcceptsShortRequestsOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("x")})
	f.gateway.BeginStop(Stop{Clock: func() time.Duration { return 0 }, End: 1500 * time.Millisecond})
	resp, _, err := f.call(t, http.MethodPost, "/book/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	resp, _, err = f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(!f.gateway.Ready())
}

// Guards against sending requests to an endpoint that loads weights.
func TestUpdatingEndpointsReceiveNoRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("0")}, []responder{ok("1")})
	f.gateway.Directory.SetUpdating(map[string]bool{"e0": true})
	for range 5 {
		_, body, err := f.call(t, http.MethodGet, "/read/1", "")
		is.NoErr(err)
		is.Equal(body, "1")
	}
}

// Guards against truncating or rejecting a response without Content-Length or
// chunked encoding, whose end is the end of the connection.
func TestUnframedResponseIsRelayed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{func(w http.ResponseWriter, r *http.Request) {
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
