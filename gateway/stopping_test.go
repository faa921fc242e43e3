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
