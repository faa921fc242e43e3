package callers

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a listener or a server that is closed while a caller's connection is about
// to carry a request, whose caller would get no answer.
func TestAwaitQuietWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Conns
		conn, other := net.Pipe()
		defer conn.Close()
		defer other.Close()
		c.OnState(conn, http.StateNew)
		start := time.Now()
		for _, next := range []http.ConnState{http.StateActive, http.StateIdle} {
			time.AfterFunc(time.Duration(next)*time.Second, func() { c.OnState(conn, next) })
		}
		c.AwaitQuiet(func() bool { return false })
		is.True(time.Since(start) >= 2*time.Second+quietTime)
		is.True(time.Since(start) < 2*time.Second+2*quietTime)
		c.OnState(conn, http.StateActive)
		start = time.Now()
		c.AwaitQuiet(func() bool { return time.Since(start) >= time.Second })
		is.True(time.Since(start) < 2*time.Second)
	})
}

// Guards against a process that waits for a connection on which no request ever comes.
func TestUnusedConnectionDoesNotHoldUpTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Conns
		conn, other := net.Pipe()
		defer conn.Close()
		defer other.Close()
		c.OnState(conn, http.StateNew)
		start := time.Now()
		c.AwaitQuiet(func() bool { return false })
		is.True(time.Since(start) >= maxUnusedTime)
		is.True(time.Since(start) < maxUnusedTime+2*quietTime)
	})
}
