package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// delivered is what callers of a brokenStream have received before it breaks off.
const delivered = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Heads of a response that breaks off, without the stamp and the id.
const (
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n24\r\n"
	lengthHead  = "Content-Length: 500\r\n\r\n"
)

// brokenStream returns a fleet whose endpoints break off a stream after two events, and
// answer its resume with a whole response. head is the rest of the first one's; ID stands for the request id.
func brokenStream(t *testing.T, head, resumed string) *fleet {
	f := newFleet(t)
	for i := range 3 {
		f.addRaw(t, fmt.Sprint("e", i), func(c net.Conn, r *bufio.Reader, _ int) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			f.mu.Lock()
			f.arrivals = append(f.arrivals, req.Header.Get("Last-Event"))
			f.mu.Unlock()
			id := req.Header.Get("Id")
			if req.Header.Get("Last-Event") != "" {
				_, _ = io.WriteString(c, strings.ReplaceAll(resumed, "ID", id))
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nStamp: s\r\n"+head+delivered+"id: 3\n")
		})
	}
	return f
}

// readStream returns what a caller receives of a stream, and whether it looks complete.
func (f *fleet) readStream(t *testing.T) (body string, complete bool) {
	t.Helper()
	resp, err := f.open(f.request(t, http.MethodPost, "/tag/1", "r1", "b"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err == nil
}

// Guards against a stream that ends as if it were complete although its continuation broke
// off before its first event: what was known of the first response's framing and bytes
// was taken for that of the second.
func TestEmptyContinuationIsNotComplete(t *testing.T) {
	is := is.New(t)
	f := brokenStream(t, chunkedHead, "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n\r\n")
	body, complete := f.readStream(t)
	is.Equal(body, delivered)
	is.True(!complete)
}

// Guards against callers that find in the middle of their stream the text or the head of an
// error with which the next endpoint answers, or whose stream then looks complete.
func TestErrorIsNotPartOfStream(t *testing.T) {
	const head = "Id: ID\r\nStamp: s\r\n"
	for name, resumed := range map[string]string{
		"500":                   "HTTP/1.1 500 Internal Server Error\r\n" + head + "Content-Length: 13\r\n\r\nid: 3\ndata: e\n",
		"500 without framing":   "HTTP/1.1 500 Internal Server Error\r\n" + head + "\r\nid: 3\ndata: e\n\n",
		"503":                   "HTTP/1.1 503 Service Unavailable\r\n" + head + "Content-Length: 4\r\n\r\nbusy",
		"refusal":               "HTTP/1.1 503 Service Unavailable\r\n" + head + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"204":                   "HTTP/1.1 204 No Content\r\n" + head + "\r\n",
		"without stamp":         "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 16\r\n\r\nid: 3\ndata: e\n\nxx",
		"another request":       "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 15\r\n\r\nid: 3\ndata: e\n\n",
		"head that is cut":      "HTTP/1.1 200 OK\r\nId: ID\r\nSta",
		"no response":           "id: 3\ndata: e\n\n",
		"second head in stream": "HTTP/1.1 200 OK\r\n" + head + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := brokenStream(t, chunkedHead, resumed)
			body, complete := f.readStream(t)
			is.Equal(body, delivered)
			is.True(!complete)
		})
	}
}

// Guards against an event that callers get twice, or events of two runs in one stream: the
// next endpoint begins again with events that the caller has.
func TestContinuationDoesNotRepeatEvents(t *testing.T) {
	for name, events := range map[string]string{
		"from the first event": delivered + "id: 3\ndata: c\n\n",
		"from the last event":  "id: 2\ndata: b\n\nid: 3\ndata: c\n\n",
		"without an id":        "data: b\n\nid: 3\ndata: c\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := brokenStream(t, chunkedHead, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", len(events), events))
			body, complete := f.readStream(t)
			is.Equal(body, delivered)
			is.True(!complete)
		})
	}
}

// Guards against a stream that isn't continued after the last whole event, in one piece, or
// that never looks complete because the first endpoint had told its length.
func TestContinuationGoesOn(t *testing.T) {
	const rest = "id: 3\ndata: c\n\nid: 10\ndata: d\n\n"
	for name, head := range map[string]string{"chunks": chunkedHead, "length": lengthHead} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := brokenStream(t, head, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest))
			body, complete := f.readStream(t)
			is.Equal(body, delivered+rest)
			is.True(complete)
			is.Equal(f.arrivals, []string{"", "2"})
		})
	}
}

// Guards against a 200 with an empty or short body, framed as whole, after an endpoint
// stopped in the middle of its head or its body and closed.
func TestCutHeadIsNoSuccess(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"
	for _, path := range []string{"/book/1", "/read/1", "/draft/1", "/tag/1"} {
		for cut := 0; cut < len(whole); cut += 3 {
			t.Run(fmt.Sprint(path, "/", cut), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t)
				f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
					if readRequest(r) != "" {
						_, _ = io.WriteString(c, whole[:cut])
					}
				})
				resp, err := f.open(f.request(t, http.MethodPost, path, "r1", "b"))
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				is.True(err != nil || resp.StatusCode != http.StatusOK)
			})
		}
	}
}

// Guards against an endpoint that works on while another one continues its stream: the
// gateway gives up a response without end, which doesn't end its connection by itself.
func TestGivenUpResponseIsClosed(t *testing.T) {
	is := is.New(t)
	const workedOn = 400 * time.Millisecond
	f := newFleet(t)
	closed := make(chan struct{})
	for i := range 2 {
		f.addRaw(t, fmt.Sprint("e", i), func(c net.Conn, r *bufio.Reader, _ int) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nStamp: s\r\nId: "+req.Header.Get("Id")+"\r\n\r\n")
			if req.Header.Get("Last-Event") == "" {
				_, _ = io.WriteString(c, delivered+strings.Repeat("x", maxEventBytes+2*streamReadBytes))
				_, _ = io.Copy(io.Discard, r) // until the caller closes
				close(closed)
				return
			}
			select {
			case <-closed:
			case <-time.After(workedOn):
				t.Error("the endpoint before still works on the request")
			}
			_, _ = io.WriteString(c, "id: 3\ndata: c\n\n")
		})
	}
	body, complete := f.readStream(t)
	is.Equal(body, delivered+"id: 3\ndata: c\n\n")
	is.True(complete)
}
