package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/internal/rawserver"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/stream"
)

type sink struct {
	head *stream.Head
	body bytes.Buffer
	// dataCalls is the number of calls of Data.
	dataCalls int
}

func (s *sink) Head(_ context.Context, h stream.Head) error { s.head = &h; return nil }
func (s *sink) Data(_ context.Context, b []byte) error {
	s.dataCalls++
	s.body.Write(b)
	return nil
}
func withIdempotencyKey(r *agent.Request, key string) *agent.Request {
	r.Headers = []stream.Header{{Name: "Idempotency-Key", Value: key}}
	return r
}

// Guards against three faults: the transport retries requests with an idempotency key
// by itself, a request is reported as not run after such a retry failed to dial, and
// the response to another request is delivered.
func TestDo(t *testing.T) {
	for _, tc := range []struct {
		name         string
		idempotent   bool
		respond      func(w http.ResponseWriter, r *http.Request, stop func())
		wantRun      call.Run
		wantRequests int64
	}{
		{"connection dropped, non-idempotent request", false, func(http.ResponseWriter, *http.Request, func()) { panic(http.ErrAbortHandler) }, call.Unknown, 1},
		{"dial after a dropped connection", true, func(_ http.ResponseWriter, _ *http.Request, stop func()) {
			stop()
			panic(http.ErrAbortHandler)
		}, call.Unknown, 1},
		{"response to another request", false, func(w http.ResponseWriter, _ *http.Request, _ func()) {
			w.Header().Set("X-Request-Id", "other")
			_, _ = w.Write([]byte("other's answer"))
		}, call.Unknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var requests atomic.Int64
			srv := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				requests.Add(1)
				tc.respond(w, r, func() { _ = l.Close() })
			})}}
			srv.Start()
			defer srv.Close()
			c := New(kernel.Settings{})
			defer c.Close()
			ep := agent.Endpoint{Address: l.Addr().String()}
			// Leaves an idle connection in the pool.
			is.NoErr(c.Do(t.Context(), ep, &agent.Request{ID: "w", Method: http.MethodGet, Path: "/", Idempotent: true}, nil, &sink{}))
			var s sink
			err = c.Do(t.Context(), ep, withIdempotencyKey(&agent.Request{ID: "r", Method: http.MethodPost, Path: "/", Idempotent: tc.idempotent}, "k"), []byte("b"), &s)
			var de *agent.DriverError
			is.True(errors.As(err, &de))
			is.Equal(de.Run, tc.wantRun)
			is.Equal(requests.Load(), tc.wantRequests)
			is.True(s.head == nil) // nothing of the other response is delivered
		})
	}
}

// Guards against a truncated stream that counts as complete because a token contains
// the text of the closing event, and against events that the buffer splits or joins.
func TestStreamIsCompleteOnlyWithItsClosingEvent(t *testing.T) {
	long := "data: {\"text\":\"" + strings.Repeat("x", 3*lineBufferBytes) + "\"}\n\n"
	for _, tc := range []struct {
		body, code string
		events     int
	}{
		{"data: {\"text\":\"data: [DONE]\"}\n\n", agent.CodeTruncated, 1},
		{"event: x\r\ndata: a\r\n\r\ndata: [DONE]\n\n", "", 2},
		{long + "data: [DONE]\n\n", "", 2},
		{long + "data: half", agent.CodeTruncated, 1},
		{"data: " + strings.Repeat("x", maxEventBytes+1), agent.CodeProtocol, 0},
	} {
		is := is.New(t)
		var s sink
		err := relayEvents(t.Context(), strings.NewReader(tc.body), &s)
		var de *agent.DriverError
		is.Equal(errors.As(err, &de), tc.code != "")
		if de != nil {
			is.Equal(de.Code, tc.code)
		}
		is.Equal(s.dataCalls, tc.events)
		is.True(strings.HasPrefix(tc.body, s.body.String()))
	}
}

// Guards against a broken response that an endpoint's driver forwards: one whose status
// answers no request, or in whose head the name of a field holds a blank or a control byte.
func TestBrokenHeadIsNotForwarded(t *testing.T) {
	for _, head := range []string{"000 None", "200 OK\r\nContent-Length : 1", "200 OK\r\nX Y: 1", "200 OK\r\nX\x01Y: 1"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.Start(t, func(c net.Conn, r *bufio.Reader, _ int) {
				_, _ = http.ReadRequest(r)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n\r\nbody", head)
			})
			c := New(kernel.Settings{})
			defer c.Close()
			var s sink
			err := c.Do(t.Context(), agent.Endpoint{Address: address}, &agent.Request{ID: "r", Method: http.MethodPost, Path: "/"}, []byte("b"), &s)
			var de *agent.DriverError
			is.True(errors.As(err, &de))
			is.Equal(de.Run, call.Unknown) // it may have run
			is.True(s.head == nil)
		})
	}
}

// Guards against a part of a response that is forwarded as a whole one: the endpoint sends it
// without framing and resets the connection while the request body is still being sent.
func TestResetDuringUploadIsTruncation(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, func(c net.Conn, r *bufio.Reader, _ int) {
		_, _ = http.ReadRequest(r)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // closing resets the connection
	})
	c := New(kernel.Settings{})
	defer c.Close()
	body := make([]byte, 16<<20) // more than the buffers hold
	for range 20 {
		err := c.Do(t.Context(), agent.Endpoint{Address: address}, &agent.Request{ID: "r", Method: http.MethodPost, Path: "/"}, body, &sink{})
		var de *agent.DriverError
		is.True(errors.As(err, &de))
	}
}
