package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/internal/memory"
)

// patience is the deadline of callers for whom a busy host must not be too slow.
const patience = 20 * time.Second

// patientCodec is a testCodec with such callers.
type patientCodec struct{ testCodec }

func (c patientCodec) DecodeRequest(h http.Header) (RequestInfo, error) {
	info, err := c.testCodec.DecodeRequest(h)
	info.Timeout = patience
	return info, err
}

// Guards against streams of sound endpoints that are cut because another endpoint sends
// events without end: that endpoint's responses yield first, and are continued elsewhere.
func TestEndlessEventsYieldToSoundOnes(t *testing.T) {
	is := is.New(t)
	const limit = 4 << 20
	large := fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("y", 40<<10)) // 40 of them fit into the budget
	f := newFleet(t, []responder{endlessEvent}, []responder{ok(large)}, []responder{ok(large)})
	f.gateway.Responses = memory.NewBudget(limit)
	f.gateway.Codec = patientCodec{}
	c := testConfig
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		c.Routes[i].Timeout = patience
	}
	c.Index()
	is.True(f.gateway.Config.SetIfNewer(&c))
	var peak, whole, refused atomic.Int64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				peak.Store(max(peak.Load(), f.gateway.Responses.Used()))
			}
		}
	}()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			status, body := f.callID(t, "/tag/1", fmt.Sprint("r", i))
			switch {
			case status == http.StatusOK && body == large:
				whole.Add(1)
			case status == http.StatusBadGateway && body == "failed\n":
				refused.Add(1) // the endless endpoint's; the retry budget is spent
			default:
				t.Errorf("status %d, %d bytes", status, len(body))
			}
		})
	}
	wg.Wait()
	close(done)
	sends := map[string]int{}
	for _, id := range f.arrivals {
		sends[id]++
	}
	t.Logf("peak %d KiB, %d whole, %d refused, sends %v", peak.Load()>>10, whole.Load(), refused.Load(), sends)
	is.True(peak.Load() <= limit+40*(256<<10)) // those that wait for room are counted
	is.Equal(int(refused.Load()) <= sends["e0"], true)
	is.True(whole.Load() >= int64(sends["e1"]+sends["e2"]))
	for end := time.Now().Add(5 * time.Second); f.gateway.Responses.Used() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // all memory is given back
	}
}

// Guards against an endpoint whose failures never end and that is chosen again and again:
// each request to it lasted until its deadline, which was no evidence against it.
func TestEndlessFailureIsAFailedAttempt(t *testing.T) {
	endless := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusNotFound)
		for filler, err := make([]byte, 64<<10), error(nil); err == nil; {
			_, err = w.Write(filler)
		}
	}
	for path, want := range map[string]int{"/read/1": http.StatusOK, "/tag/1": http.StatusOK, "/book/1": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, []responder{endless})
			start := time.Now()
			status, _ := f.callID(t, path, "alone")
			is.Equal(status, http.StatusBadGateway)
			is.True(time.Since(start) < 900*time.Millisecond) // before the route's timeout
			_, _ = f.callID(t, path, "again")
			f.add(t, "e1", []responder{ok("own\n\n")})
			for i := range 8 {
				status, _ = f.callID(t, path, fmt.Sprint("r", i))
				is.True(status == http.StatusOK || status == want)
			}
			n := 0
			for _, id := range f.arrivals[2:] {
				if id == "e0" {
					n++
				}
			}
			is.True(n <= 1) // it is left out, but for a probe
		})
	}
}

// Guards against request bodies that together fill the memory of the process: what doesn't
// fit is refused at once, as not run, and accepted when there is room again.
func TestBodiesShareMemory(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFleet(t, []responder{func(w http.ResponseWriter, r *http.Request) { <-release; ok("whole")(w, r) }})
	f.gateway.Bodies = memory.NewBudget(2000)
	body := strings.Repeat("b", 900)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			resp, _, err := f.callBody(t, fmt.Sprint("held", i), body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
	for f.sends() < 2 {
		time.Sleep(time.Millisecond)
	}
	resp, text, err := f.callBody(t, "beyond", body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(text, "body_memory\n")
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(f.sends(), 2)
	close(release)
	wg.Wait()
	resp, _, err = f.callBody(t, "after", body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	for end := time.Now().Add(5 * time.Second); f.gateway.Bodies.Used() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // all memory is given back
	}
}

// callBody sends a booking with a body and returns the response and its body.
func (f *fleet) callBody(t *testing.T, id, body string) (*http.Response, string, error) {
	resp, err := f.open(f.request(t, http.MethodPost, "/book/1", id, body))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// Guards against callers who take for ever to send their bodies, which are held in memory.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("whole")})
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	start := time.Now()
	_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nId: slow\r\nKey: k\r\nContent-Length: 900\r\n\r\nb")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(start.Add(5 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(start) < 1500*time.Millisecond) // the route's timeout is a second
	is.Equal(f.sends(), 0)
}

// smallBuffers is a listener whose connections hold little that their peers don't read.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

// Guards against a caller who doesn't read, and whose response holds the memory that other
// callers need.
func TestSlowCallerYields(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 250<<10)
	f := newFleet(t, []responder{ok(body)})
	f.gateway.Responses = memory.NewBudget(300 << 10)
	s := httptest.NewUnstartedServer(f.gateway)
	s.Listener = smallBuffers{s.Listener}
	s.Start()
	defer s.Close()
	slow, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer slow.Close()
	is.NoErr(slow.(*net.TCPConn).SetReadBuffer(4 << 10))
	_, err = io.WriteString(slow, "GET /read/1 HTTP/1.1\r\nHost: h\r\nId: slow\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	for f.gateway.Responses.Used() < 250<<10 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	status, text := f.callID(t, "/read/1", "other")
	is.Equal(status, http.StatusOK)
	is.Equal(text, body)
	is.True(time.Since(start) < 500*time.Millisecond)
	got, _ := io.ReadAll(slow) // the connection has been reset
	is.True(len(got) < len(body))
}
