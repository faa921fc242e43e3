package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopAt is a planned stop whose clock stands at a time after its begin.
func stopAt(now, certainFrom, end time.Duration) Stop {
	return Stop{Clock: func() time.Duration { return now }, CertainFrom: certainFrom, End: end}
}

// Guards against a stream that a stopping process takes although nearly all streams of its
// route last longer than the process will: its caller loses it, instead of trying elsewhere.
func TestStopRefusesWhatProbablyCannotEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("x")})
	for range 100 {
		f.gateway.durations.Observe("draft", time.Second)
	}
	f.gateway.BeginStop(stopAt(0, time.Hour, 500*time.Millisecond))
	resp, _, err := f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(f.arrivals), 0)
	f.gateway.BeginStop(stopAt(0, time.Hour, 1500*time.Millisecond)) // most end in time
	resp, _, err = f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against a request that is sent to another endpoint, after the first one has refused
// it, although the process may end before the response.
func TestStopEndsRetries(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	refuseAndStop := func(w http.ResponseWriter, r *http.Request) {
		f.gateway.BeginStop(stopAt(0, time.Hour, 500*time.Millisecond))
		refuseNotRun(http.StatusServiceUnavailable)(w, r)
	}
	for _, id := range []string{"e0", "e1"} {
		f.add(t, id, []responder{refuseAndStop})
	}
	for range 100 {
		f.gateway.durations.Observe("draft", time.Second)
	}
	resp, body, err := f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(body, "closing\n")
	is.Equal(len(f.arrivals), 1)
}

// Guards against a caller who keeps a connection that the planned stop closes: its next
// request crosses the close.
func TestResponsesDuringStopCloseTheirConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.add(t, "e0", []responder{func(w http.ResponseWriter, r *http.Request) {
		f.gateway.BeginStop(stopAt(0, time.Hour, time.Hour)) // the request came before
		ok("x")(w, r)
	}})
	caller := &http.Transport{}
	defer caller.CloseIdleConnections()
	resp, err := caller.RoundTrip(f.request(t, http.MethodPost, "/book/1", "1", "b"))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// Guards against a request that is passed on before the process, which didn't run for a while,
// has noticed that it had been told to stop long before the request came.
func TestRequestAfterStallWaitsForSignal(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("x")})
	f.gateway.JustStalled = func() bool {
		time.AfterFunc(10*time.Millisecond, func() { f.gateway.BeginStop(stopAt(3*time.Second, 0, 4*time.Second)) })
		return true
	}
	resp, _, err := f.call(t, http.MethodPost, "/draft/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(f.sends(), 0)
}
