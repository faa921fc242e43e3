package httpclient

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

	"github.com/citrontiller/citrontiller/internal/rawserver"
)

// rawServer serves each connection with serve and reports on closed when the caller has
// closed one.
func rawServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (addr string, closed chan struct{}) {
	closed = make(chan struct{}, 16)
	addr = rawserver.Start(t, func(c net.Conn, r *bufio.Reader, _ int) {
		serve(c, r)
		_, _ = io.Copy(io.Discard, r)
		closed <- struct{}{}
	})
	return addr, closed
}

// waitClosed waits until a caller of rawServer has closed a connection.
func waitClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against a response to which net/http attaches the connection itself, or whose
// status answers no request: its reader would wait for good, past the request's context,
// and the connection would stay open.
func TestOnlyFinalResponsesAreReturned(t *testing.T) {
	for name, head := range map[string]string{
		"switched protocol": "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
		"bare 101":          "101 Switching Protocols\r\n",
		"zero":              "000 None\r\nContent-Length: 5\r\n",
		"below 100":         "099 None\r\nContent-Length: 5\r\n",
		"above 599":         "600 None\r\nContent-Length: 5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, closed := rawServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n", head)
				}
			})
			transport := &Transport{Transport: &http.Transport{}, SendOnce: true}
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
			is.NoErr(err)
			_, err = transport.RoundTrip(req)
			var status *StatusError
			is.True(errors.As(err, &status))
			waitClosed(t, closed)
		})
	}
}

// Guards against a reader of a response that waits past the request's context, whatever
// framing the response has.
func TestBodyEndsWithContext(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 5\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "no framing": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, closed := rawServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", head)
				}
			})
			transport := &Transport{Transport: &http.Transport{}, SendOnce: true}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
			is.NoErr(err)
			resp, err := transport.RoundTrip(req)
			is.NoErr(err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			is.True(errors.Is(err, context.DeadlineExceeded))
			<-closed
		})
	}
}

// Guards against a request that the transport sends again by itself after a kept connection
// broke: it runs twice, and neither limits nor budgets know.
func TestRequestIsSentOnce(t *testing.T) {
	for name, build := range map[string]func() *http.Request{
		"idempotency key":          func() *http.Request { return newRequest(http.MethodPost, "Idempotency-Key", nil) },
		"other idempotency key":    func() *http.Request { return newRequest(http.MethodPost, "X-Idempotency-Key", nil) },
		"GET":                      func() *http.Request { return newRequest(http.MethodGet, "A", nil) },
		"TRACE":                    func() *http.Request { return newRequest(http.MethodTrace, "A", nil) },
		"body that can be reread":  func() *http.Request { return newRequest(http.MethodPut, "Idempotency-Key", strings.NewReader("b")) },
		"empty body that is known": func() *http.Request { return newRequest(http.MethodPost, "Idempotency-Key", http.NoBody) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			addr, _ := rawServer(t, func(c net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.URL.Path == "/lost" {
						requests.Add(1)
						_ = c.Close() // the answer is lost
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			transport := &Transport{Transport: &http.Transport{}, SendOnce: true}
			defer transport.CloseIdleConnections()
			send := func(req *http.Request, path string) (string, error) {
				req.URL.Host, req.URL.Path = addr, path
				resp, err := transport.RoundTrip(req)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				text, err := io.ReadAll(resp.Body)
				return string(text), err
			}
			for range 2 { // leaves a connection that is in use again
				text, err := send(newRequest(http.MethodGet, "A", nil), "/")
				is.NoErr(err)
				is.Equal(text, "ok")
			}
			_, err := send(build(), "/lost")
			is.True(err != nil)
			is.Equal(requests.Load(), int64(1))
			text, err := send(build(), "/") // the transport is as good as before
			is.NoErr(err)
			is.Equal(text, "ok")
		})
	}
}

// newRequest returns a request with a header.
func newRequest(method, header string, body io.Reader) *http.Request {
	req, err := http.NewRequest(method, "http://host/", body)
	if err != nil {
		panic(err) // the arguments are constant
	}
	req.Header.Set(header, "k")
	return req
}

// Guards against a response whose head is malformed although net/http accepts it, and
// against the rest of one on a connection that is used again: the next request would get it
// as its response.
func TestMalformedHeadEndsConnection(t *testing.T) {
	for name, lines := range map[string]string{
		"blank after the name":     "Content-Length: 2\r\nX-Y : 1\r\n",
		"blank in the name":        "Content-Length: 2\r\nX Y: 1\r\n",
		"blank after the length":   "Content-Length : 2\r\n",
		"blank after a 2nd length": "Content-Length: 0\r\nContent-Length : 2\r\n",
		"blank before the chunks":  "Content-Length: 0\r\nTransfer-Encoding : chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, closed := rawServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", lines)
				}
			})
			transport := &Transport{Transport: &http.Transport{}}
			defer transport.CloseIdleConnections()
			req := newRequest(http.MethodPost, "A", strings.NewReader("b"))
			req.URL.Host = addr
			_, err := transport.RoundTrip(req)
			var malformed *FieldNameError
			is.True(errors.As(err, &malformed))
			waitClosed(t, closed)
		})
	}
}
