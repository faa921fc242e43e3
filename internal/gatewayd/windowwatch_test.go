package gatewayd

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a request that is broken off because its endpoint, which is alive and answers,
// doesn't read on in a long body for longer than data may stay unacknowledged.
func TestEndpointMayReadSlowly(t *testing.T) {
	const (
		bodyBytes = 4 << 20
		readPause = unackedTimeout + 1500*time.Millisecond
	)
	for name, early := range map[string]bool{"answer before the body": true, "answer after the body": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			read := make(chan int64, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				rc := http.NewResponseController(w)
				if err := rc.EnableFullDuplex(); err != nil {
					t.Error(err)
				}
				if early {
					_, _ = io.WriteString(w, "early ")
					_ = rc.Flush()
				}
				time.Sleep(readPause)
				n, _ := io.Copy(io.Discard, r.Body) // what is missing is checked below
				_, _ = io.WriteString(w, "late")
				read <- n
			}))
			defer s.Close()
			transport := newTransport(time.Second)
			defer transport.CloseIdleConnections()
			req, err := http.NewRequest(http.MethodPost, s.URL, bytes.NewReader(make([]byte, bodyBytes)))
			is.NoErr(err)
			resp, err := transport.RoundTrip(req)
			is.NoErr(err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(<-read, int64(bodyBytes))
		})
	}
}

// userTimeout returns TCP_USER_TIMEOUT of a connection in milliseconds.
func userTimeout(t *testing.T, c *windowConn) int {
	t.Helper()
	ms := -1
	err := c.raw.Control(func(fd uintptr) {
		ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) // -1 after an error
	})
	if err != nil {
		t.Fatal(err)
	}
	return ms
}

// Guards against a host that falls silent later and isn't noticed, because its endpoint once
// didn't read for a while; and against a watch that goes on without need.
func TestUserTimeoutReturnsAfterClosedWindow(t *testing.T) {
	is := is.New(t)
	goOn := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-goOn
		_, _ = io.Copy(io.Discard, r.Body) // ends with the connection
	}))
	defer s.Close()
	var w windowWatch
	conn, err := w.dialer(newDialer(keepAliveInterval, keepAliveCount))(t.Context(), "tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	c := conn.(*windowConn)
	watched := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.conns)
	}
	is.Equal(userTimeout(t, c), int(unackedTimeout.Milliseconds()))
	go func() {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n")
		_, _ = c.Write(make([]byte, 16<<20)) // checked by the timeout
	}()
	is.True(eventually(func() bool { return userTimeout(t, c) == 0 }))
	close(goOn)
	is.True(eventually(func() bool { return watched() == 0 }))
	is.Equal(userTimeout(t, c), int(unackedTimeout.Milliseconds()))
}
