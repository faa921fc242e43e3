package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/rawserver"
	"github.com/citrontiller/citrontiller/route"
)

// addRaw adds an endpoint whose connections are served by serve, which writes to them
// what it likes. n counts the connections from 0.
func (f *fleet) addRaw(t *testing.T, id string, serve func(c net.Conn, r *bufio.Reader, n int)) {
	address := rawserver.Start(t, serve)
	f.gateway.Directory.Put(catalog.Endpoint{Host: infra.Host{ID: id, Service: "s", Address: address, Region: "r", State: infra.Live}, BootID: "1"}, 1)
}

// readRequest reads a request and returns its id, "" when the connection has ended.
func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

// answer is a whole response to the request with an id; its body names the id.
func answer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\nanswer to %s", id, len("answer to "+id), id)
}

// callID sends a request with an id of its own.
func (f *fleet) callID(t *testing.T, path, id string) (status int, body string) {
	t.Helper()
	resp, err := f.open(f.request(t, http.MethodPost, path, id, "b"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// Guards against a second copy of an answer that an endpoint sends late on a kept
// connection: the next caller would get the answer to another request. The copy
// arrives while the connection is idle, or after the next request has been sent.
func TestLateSecondCopyIsNotDelivered(t *testing.T) {
	for name, afterNext := range map[string]bool{"while idle": false, "after the next request": true} {
		for path, statuses := range map[string][]int{"/book/1": {200, 502}, "/read/1": {200, 502}, "/draft/1": {200, 502}} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
					first := readRequest(r)
					_, _ = io.WriteString(c, answer(first))
					if !afterNext {
						time.Sleep(20 * time.Millisecond)
						_, _ = io.WriteString(c, answer(first))
					}
					for id := readRequest(r); id != ""; id = readRequest(r) {
						if afterNext {
							_, _ = io.WriteString(c, answer(first))
						}
						_, _ = io.WriteString(c, answer(id))
					}
				})
				status, body := f.callID(t, path, "first")
				is.Equal(status, 200)
				is.Equal(body, "answer to first")
				time.Sleep(60 * time.Millisecond)
				for _, id := range []string{"second", "third"} {
					status, body := f.callID(t, path, id)
					is.True(status == statuses[0] || status == statuses[1])
					is.True(status != 200 || body == "answer to "+id)
				}
			})
		}
	}
}

// Guards against a booking that runs twice: when its answer was lost on a kept connection,
// the transport sent it again by itself, as it does without a body and with such a header.
func TestBookingWithoutBodyRunsOnce(t *testing.T) {
	for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var runs atomic.Int64
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				for id := readRequest(r); id != ""; id = readRequest(r) {
					if id == "lost" {
						runs.Add(1)
						return
					}
					_, _ = io.WriteString(c, answer(id))
				}
			})
			for _, id := range []string{"first", "second", "lost"} {
				req := f.request(t, http.MethodPost, "/book/1", id, "")
				req.Header.Set(header, "k")
				resp, err := f.open(req)
				is.NoErr(err)
				_ = resp.Body.Close()
				is.Equal(resp.StatusCode == http.StatusBadGateway, id == "lost")
			}
			is.Equal(runs.Load(), int64(1))
		})
	}
}

// Guards against bytes that are no answer, with and without an end: the process goes
// on, and a request that may be repeated is answered by another endpoint.
func TestBytesThatAreNoAnswer(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "text": "what?\r\n\r\n", "binary": "\x00\xff\x16\x03\x01", "negative length": "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", "bad chunk": "HTTP/1.1 200 OK\r\nId: x\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				_ = readRequest(r)
				_, _ = io.WriteString(c, text)
			})
			status, _ := f.callID(t, "/book/1", "x")
			is.Equal(status, http.StatusBadGateway) // it may have run
			f.add(t, "e1", []responder{ok("own")})
			status, body := f.callID(t, "/read/1", "x")
			is.Equal(status, http.StatusOK)
			is.Equal(body, "own")
		})
	}
}

// Guards against a response that answers no request, such as a 101 that nobody asked for:
// its reader would wait past the deadline for the rest of the connection, or the caller
// would take what follows for another protocol.
func TestStatusThatAnswersNoRequest(t *testing.T) {
	for _, status := range []string{"101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x", "101 Switching Protocols", "000 None", "099 None", "600 None", "999 None"} {
		for path, repeatable := range map[string]bool{"/book/1": false, "/read/1": true, "/draft/1": false, "/tag/1": true} {
			t.Run(status[:3]+path, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nStamp: s\r\n\r\n", status, readRequest(r))
					_, _ = io.Copy(io.Discard, r) // until the caller closes
				})
				start := time.Now()
				code, _ := f.callID(t, path, "x")
				is.Equal(code, http.StatusBadGateway)             // it may have run
				is.True(time.Since(start) < 900*time.Millisecond) // before the route's timeout
				if repeatable {
					f.add(t, "e1", []responder{ok("own\n\n")})
					code, _ = f.callID(t, path, "x")
					is.Equal(code, http.StatusOK)
				}
			})
		}
	}
}

// inFlight returns the number of the gateway's requests at an endpoint.
func (f *fleet) inFlight(endpoint string) int64 {
	members := f.gateway.Members.Service("s")
	for _, e := range f.gateway.Tracker.AppendSnapshot(nil, &route.Request{Service: "s"}, members, nil, noReport, time.Now()) {
		if e.ID == endpoint {
			return e.InFlight
		}
	}
	return -1
}

// Guards against requests that count as in flight for ever after their response was
// aborted: their endpoint would appear to be full, and receive no more requests.
func TestAbortedRequestsAreNotInFlight(t *testing.T) {
	stalled := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, leave := range map[string]bool{"the caller leaves": true, "the timeout is reached": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, []responder{stalled})
			var ended atomic.Int64
			f.gateway.Tracker.OnEvent(func(e route.Event) {
				if e.Kind == route.Ended {
					ended.Add(1)
				}
			})
			for range 3 {
				req := f.request(t, http.MethodPost, "/draft/1", "x", "b")
				req.Header.Set("Model", "m")
				req.Header.Set("Tokens", "100")
				resp, err := f.open(req)
				is.NoErr(err)
				if leave {
					_, _ = resp.Body.Read(make([]byte, 1))
				} else {
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				is.NoErr(resp.Body.Close())
			}
			for end := time.Now().Add(time.Second); f.inFlight("e0") > 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(f.inFlight("e0"), int64(0))
			is.Equal(ended.Load(), int64(3))
		})
	}
}

// Guards against a stream without a length or chunks that its endpoint breaks off inside
// an event, and that reaches the caller as a complete success.
func TestStreamWithoutFramingIsWhole(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tc := range map[string]struct {
		body  string
		whole bool
	}{
		"ends after an event": {whole, true},
		"ends inside a line":  {whole + "id: 3\nda", false},
		"ends after a line":   {whole + "id: 3\n", false},
		"ends before it":      {"", false},
	} {
		for _, path := range []string{"/draft/1", "/tag/1"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
					if id := readRequest(r); id != "" {
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n%s", id, tc.body)
					}
				})
				resp, err := f.open(f.request(t, http.MethodPost, path, "r1", "b"))
				is.NoErr(err)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				is.Equal(err == nil && resp.StatusCode == http.StatusOK, tc.whole)
				is.True(!tc.whole || string(got) == whole)
			})
		}
	}
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection:
// without a request id it was taken for the refusal of the request that runs there, whose
// caller was told that it had not run, or which ran at a second endpoint. On a new
// connection it can only belong to the request.
func TestRepeatedRefusalIsNotTakenForThisRequest(t *testing.T) {
	refusals := map[string]string{"503": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"421": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var received atomic.Int64
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				for id, first := readRequest(r), true; id != ""; id, first = readRequest(r), false {
					received.Add(1)
					if !first {
						_, _ = io.WriteString(c, refusal)
					}
					_, _ = io.WriteString(c, answer(id))
				}
			})
			status, _ := f.callID(t, "/book/1", "first")
			is.Equal(status, http.StatusOK)
			status, _ = f.callID(t, "/book/1", "second")
			is.Equal(status, http.StatusBadGateway) // it may have run
			f.add(t, "e1", []responder{ok("fine")})
			const requests = 12
			received.Store(0)
			for i := range requests {
				status, _ := f.callID(t, "/book/1", fmt.Sprint("r", i))
				is.True(status != http.StatusServiceUnavailable)
			}
			is.Equal(int(received.Load())+f.sends(), requests) // none has run twice
			f = newFleet(t)
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				_ = readRequest(r)
				_, _ = io.WriteString(c, refusal)
			})
			status, _ = f.callID(t, "/book/1", "first")
			is.Equal(status, http.StatusServiceUnavailable)
		})
	}
}

// Guards against a kept connection whose responses are all one request late after a
// refusal that was written once more: each further request on it failed too.
func TestConnectionWithRepeatedRefusalIsNotKept(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, n int) {
		for id, i := readRequest(r), 0; id != ""; id, i = readRequest(r), i+1 {
			if n == 0 && i == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(50 * time.Millisecond) // its run
			}
			_, _ = io.WriteString(c, answer(id))
		}
	})
	for i, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK, http.StatusOK} {
		status, _ := f.callID(t, "/book/1", fmt.Sprint("r", i))
		is.Equal(status, want)
	}
}

// Guards against a response without a request id on a kept connection, which may be the
// second copy of an earlier one, that reaches the next caller.
func TestResponseWithoutRequestIDOnKeptConnection(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 7\r\n\r\nanother"
	for _, path := range []string{"/book/1", "/read/1", "/draft/1", "/tag/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				_, _ = io.WriteString(c, answer(readRequest(r)))
				for id := readRequest(r); id != ""; id = readRequest(r) {
					_, _ = io.WriteString(c, copied+answer(id))
				}
			})
			status, _ := f.callID(t, "/book/1", "first")
			is.Equal(status, http.StatusOK)
			status, body := f.callID(t, path, "second")
			is.True(status != http.StatusOK || body != "another")
		})
	}
}
