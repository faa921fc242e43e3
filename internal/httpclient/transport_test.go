package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawServer serves each connection with serve and reports on closed when the caller has
// closed one.
func rawServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (addr string, closed chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				serve(c, r)
				_, _ = io.Copy(io.Discard, r)
				closed <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// Guards against a response to which net/http attaches the connection itself, or whose
// status answers no request: its reader would wait for good, past the request's context,
// and the connection would stay open.
func TestOnlyFinalResponsesAreReturned(t *testing.T) {
	for name, head := range map[string]string{
		"switched protocol": "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
		"bare 101":          "101 Switching Protocols\r\n",
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
			transport := &Transport{&http.Transport{}}
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
			is.NoErr(err)
			_, err = transport.RoundTrip(req)
			var status *StatusError
			is.True(errors.As(err, &status))
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
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
			transport := &Transport{&http.Transport{}}
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
