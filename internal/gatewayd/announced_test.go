package gatewayd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
)

// announcedConfig has a route whose requests may be repeated.
const announcedConfig = `{"version":1,"routes":[
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":4000,"service":"s","max_attempts":2}],
 "services":[{"name":"s"}],"limits":{"max_body_bytes":100000}}`

// drainTime is the time in which a gateway stops sending to an endpoint that leaves.
const drainTime = 2500 * time.Millisecond

// announcer is a test double of an endpoint that adds headers to its answers.
type announcer struct {
	id string

	mu       sync.Mutex
	arrivals []time.Time
	// status is the status of its answers, 0 for 200, and header is added to them.
	status int
	header http.Header
}

// ServeHTTP implements http.Handler.
func (a *announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals = append(a.arrivals, time.Now())
	w.Header().Set("Citrontiller-Request-Id", r.Header.Get("Citrontiller-Request-Id"))
	for name, values := range a.header {
		w.Header()[name] = values
	}
	switch {
	case r.Header.Get("Citrontiller-Expect-Instance") != a.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case a.status != 0:
		w.Header().Set("Citrontiller-Not-Executed", "1")
		w.WriteHeader(a.status)
	default:
		w.Header().Set("Citrontiller-Server-Stamp", a.id)
		_, _ = io.WriteString(w, "fine")
	}
}

// announce sets the status and a header of later answers.
func (a *announcer) announce(status int, name, value string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.header = status, http.Header{}
	if name != "" {
		a.header.Set(name, value)
	}
}

// since returns the number of requests that have arrived since a time.
func (a *announcer) since(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}

// announcedFleet is a gateway that gets no response from the store, in front of
// announcers.
type announcedFleet struct {
	t         *testing.T
	process   *gatewayProcess
	url       string
	peer      peer.Record
	endpoints []*announcer
	servers   []*httptest.Server
	revision  int64
	requests  int
}

// newAnnouncedFleet returns a gateway in front of new endpoints.
func newAnnouncedFleet(t *testing.T, endpoints int) *announcedFleet {
	t.Helper()
	f := newAnnouncedGateway(t, "g0")
	for i := range endpoints {
		a := &announcer{id: fmt.Sprint("e", i)}
		s := httptest.NewServer(a)
		t.Cleanup(s.Close)
		f.endpoints, f.servers = append(f.endpoints, a), append(f.servers, s)
		f.list(i, "ready", 1)
	}
	return f
}

// newAnnouncedGateway returns a gateway that serves other gateways and lists no endpoint.
func newAnnouncedGateway(t *testing.T, name string) *announcedFleet {
	t.Helper()
	return newAnnouncedGatewayWith(t, platform.Settings{Name: name})
}

// newAnnouncedGatewayWith is newAnnouncedGateway with further settings of the host.
func newAnnouncedGatewayWith(t *testing.T, host platform.Settings) *announcedFleet {
	t.Helper()
	host.Region, host.Regions, host.RetryPercent = "r", map[string]string{"z": "r"}, 100
	p := newProcess(Settings{UsualUrgent: 2, UsualOther: 2, OverloadUrgent: 2, OverloadOther: 2, UsualOtherMax: time.Minute, OverloadOtherMax: time.Minute},
		host, zap.NewNop(), func() int64 { return 0 })
	f := &announcedFleet{t: t, process: p}
	f.put(platform.ConfigKey, announcedConfig)
	s := httptest.NewServer(p.gateway)
	t.Cleanup(s.Close)
	f.url = s.URL
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.servePeers(ctx, l)
	f.peer = peer.Record{Name: host.Name, Address: l.Addr().String(), Region: "r"}
	return f
}

// put applies a change of the store.
func (f *announcedFleet) put(key, value string) {
	f.revision++
	f.process.onStoreChange(infra.Event{Pair: infra.Pair{Key: key, Value: []byte(value), Revision: f.revision}})
}

// list applies an endpoint's list entry.
func (f *announcedFleet) list(i int, state string, boot int) {
	f.put("servers/"+f.endpoints[i].id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"1","slots":64,"state":%q,"cold_remaining_ms":0,"sequence":1,"born":%d}`,
		f.servers[i].Listener.Addr(), state, boot))
}

// call sends a request and returns its response, whose body is closed.
func (f *announcedFleet) call() *http.Response {
	f.t.Helper()
	return f.callWith(nil)
}

// callWith is call with further headers.
func (f *announcedFleet) callWith(headers map[string]string) *http.Response {
	f.t.Helper()
	f.requests++
	req, err := http.NewRequest(http.MethodGet, f.url+"/read/1", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Citrontiller-Request-Id", fmt.Sprint("r", f.requests))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// callRefused sends a request that must be refused as not run, and returns the seconds after
// which its caller may return.
func (f *announcedFleet) callRefused() (retryAfter float64) {
	f.t.Helper()
	resp := f.call()
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil {
		f.t.Fatalf("status %d, Retry-After: %v", resp.StatusCode, err)
	}
	return retryAfter
}

// callUntil sends requests until an endpoint has received n more.
func (f *announcedFleet) callUntil(i, n int) {
	f.t.Helper()
	start := time.Now()
	for f.endpoints[i].since(start) < n {
		if f.call(); time.Since(start) > 5*time.Second {
			f.t.Fatalf("endpoint %d received %d requests in 5 s", i, f.endpoints[i].since(start))
		}
	}
}

// Guards against requests to an endpoint that has said in an answer that it leaves, from
// a gateway that learns nothing from the store: its list entry still says ready.
func TestEndpointThatAnnouncesLeavingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 3)
	f.endpoints[0].announce(0, "Server-Leaving", "1")
	f.callUntil(0, 1)
	time.Sleep(drainTime)
	start := time.Now()
	for range 60 {
		is.Equal(f.call().StatusCode, http.StatusOK)
	}
	is.Equal(f.endpoints[0].since(start), 0)
}

// Guards against a leaving endpoint that is in use again because an older list entry of it
// arrives, or its entry is removed and put back; and against keeping out its next
// incarnation.
func TestAnnouncedLeavingOutlivesListEntry(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	f.endpoints[0].announce(0, "Server-Leaving", "1")
	f.callUntil(0, 1)
	f.process.onStoreChange(infra.Event{Pair: infra.Pair{Key: "servers/e0", Revision: 90}, Deleted: true})
	f.list(0, "ready", 1)
	start := time.Now()
	for range 30 {
		f.call()
	}
	is.Equal(f.endpoints[0].since(start), 0)
	f.endpoints[0].announce(0, "", "")
	f.list(0, "ready", 2)
	f.callUntil(0, 1)
	f.list(0, "ready", 1) // an older copy of the store
	f.endpoints[0].announce(0, "Server-Leaving", "1")
	start = time.Now()
	for range 30 {
		f.call()
	}
	is.Equal(f.endpoints[0].since(start), 0)
}

// Guards against requests to an endpoint that leaves, or has left, by its list entry: a store
// that was restored from an older copy lists it as ready; and against keeping out its
// next incarnation.
func TestLeavingByListEntryIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	f.callUntil(0, 1)
	f.list(0, "draining", 1)
	f.list(0, "ready", 1)
	start := time.Now()
	for range 30 {
		f.call()
	}
	f.process.onStoreChange(infra.Event{Pair: infra.Pair{Key: "servers/e0", Revision: 90}, Deleted: true})
	f.list(0, "ready", 1)
	for range 30 {
		f.call()
	}
	is.Equal(f.endpoints[0].since(start), 0)
	f.list(0, "ready", 2)
	f.callUntil(0, 1)
}

// Guards against a caller that waits, or a request to a leaving endpoint, when the last
// endpoint of a service leaves.
func TestLastEndpointThatAnnouncesLeaving(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 1)
	f.endpoints[0].announce(0, "Server-Leaving", "1")
	is.Equal(f.call().StatusCode, http.StatusOK)
	start := time.Now()
	is.True(f.callRefused() > 0)
	is.Equal(f.endpoints[0].since(start), 0)
}

// another returns another gateway that lists the same endpoints. The two follow each other.
func (f *announcedFleet) another() *announcedFleet {
	f.t.Helper()
	other := newAnnouncedGateway(f.t, "g1")
	other.endpoints, other.servers = f.endpoints, f.servers
	for i := range f.endpoints {
		other.list(i, "ready", 1)
	}
	other.process.peers.Put(f.peer)
	f.process.peers.Put(other.peer)
	return other
}

// waitForState waits until a gateway has an endpoint in a state.
func (f *announcedFleet) waitForState(i int, want member.State) {
	f.t.Helper()
	for end := time.Now().Add(drainTime); f.process.gateway.Members.Service("s")[i].State != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("endpoint %d is not %s after %v", i, want, drainTime)
		}
	}
}

// Guards against requests to a leaving endpoint from a gateway that gets no answers of it:
// it learns from the others, those that announced it before it joined included.
func TestPeersTellOfLeavingEndpoints(t *testing.T) {
	f := newAnnouncedFleet(t, 3)
	f.endpoints[0].announce(0, "Server-Leaving", "1")
	f.callUntil(0, 1)
	other := f.another()
	other.waitForState(0, member.Leaving)
	f.endpoints[1].announce(0, "Server-Leaving", "1")
	f.callUntil(1, 1)
	other.waitForState(1, member.Leaving)
	other.waitForState(2, member.Ready)
}

// Guards against requests to an endpoint that has rejected one with 503 and Retry-After:
// it wants none from this gateway for so long. Afterwards it gets requests again.
func TestEndpointIsPausedForItsRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	f.endpoints[0].announce(http.StatusServiceUnavailable, "Retry-After", "1.7")
	f.callUntil(0, 1)
	start := time.Now()
	for time.Since(start) < 1500*time.Millisecond {
		is.Equal(f.call().StatusCode, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.endpoints[0].since(start), 0)
	f.endpoints[0].announce(0, "", "")
	f.callUntil(0, 1)
	is.True(time.Since(start) > 1600*time.Millisecond)
}

// Guards against a pause that ends early because the entry is written again or restored,
// and against a restarted endpoint that is kept out by the pause of its predecessor.
func TestPauseBelongsToIncarnation(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	f.endpoints[0].announce(http.StatusServiceUnavailable, "Retry-After", "30")
	f.callUntil(0, 1)
	f.endpoints[0].announce(0, "", "")
	f.process.onStoreChange(infra.Event{Pair: infra.Pair{Key: "servers/e0", Revision: 90}, Deleted: true})
	time.Sleep(1200 * time.Millisecond) // until the tracker has forgotten it
	f.list(0, "ready", 1)
	start := time.Now()
	for range 30 {
		f.call()
	}
	is.Equal(f.endpoints[0].since(start), 0)
	f.list(0, "ready", 2)
	f.callUntil(0, 1)
}

// Guards against callers that wait, or return too early, while every endpoint of a service
// wants a pause: they are refused at once, with the shortest of the pauses.
func TestAllEndpointsPaused(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	f.endpoints[0].announce(http.StatusServiceUnavailable, "Retry-After", "3")
	f.endpoints[1].announce(http.StatusServiceUnavailable, "Retry-After", "8")
	for f.endpoints[0].since(time.Time{}) == 0 || f.endpoints[1].since(time.Time{}) == 0 {
		f.call()
	}
	start := time.Now()
	after := f.callRefused()
	is.True(time.Since(start) < 400*time.Millisecond) // an eighth of the target latency is 500 ms
	is.True(after > 2 && after < 4)
	is.Equal(f.endpoints[0].since(start)+f.endpoints[1].since(start), 0)
}

// Guards against a caller that returns long before the only endpoint takes requests again.
func TestRefusalCarriesPauseOfLastEndpoint(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 1)
	f.endpoints[0].announce(http.StatusServiceUnavailable, "Retry-After", "3")
	after := f.callRefused()
	is.True(after > 2.5 && after < 4)
}

// callFor sends requests one after the other for a time and returns how many had another
// status than 200.
func (f *announcedFleet) callFor(d time.Duration) (failed int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if f.call().StatusCode != http.StatusOK {
			failed++
		}
	}
	return failed
}

// Guards against an endpoint that gets more requests than the rate limit that it has
// announced from two gateways together, while another endpoint can take them; and against a
// limit that outlives its announcement.
func TestGatewaysKeepAnnouncedRateLimit(t *testing.T) {
	const perSecond, window = 3, 4 * time.Second
	is := is.New(t)
	f := newAnnouncedFleet(t, 2)
	gateways := []*announcedFleet{f, f.another()}
	f.endpoints[0].announce(0, "Server-Limit", fmt.Sprint(perSecond))
	callAll := func(d time.Duration) {
		var wg sync.WaitGroup
		for _, g := range gateways {
			wg.Go(func() { is.Equal(g.callFor(d), 0) })
		}
		wg.Wait()
	}
	callAll(time.Second)
	start := time.Now()
	callAll(window)
	got := f.endpoints[0].since(start)
	is.True(got <= perSecond*6+5)
	is.True(got >= perSecond*3) // it isn't left out
	f.endpoints[0].announce(0, "", "")
	callAll(time.Second)
	start = time.Now()
	callAll(time.Second)
	is.True(f.endpoints[0].since(start) > perSecond*6+5)
}

// Guards against callers that wait for a rate limit that can't carry them: they are refused
// at once, and told when it can.
func TestRequestBeyondRateLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 1)
	f.endpoints[0].announce(0, "Server-Limit", "0.2")
	f.callUntil(0, 1)
	start := time.Now()
	after := f.callRefused()
	is.True(time.Since(start) < 400*time.Millisecond) // an eighth of the target latency is 500 ms
	is.True(after > 4 && after < 6)
	is.Equal(f.endpoints[0].since(start), 0)
}
