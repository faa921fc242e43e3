package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/internal/testcpu"
)

// endlessEvent sends the beginning of an event and then bytes without end, until the
// caller closes.
func endlessEvent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	filler := bytes.Repeat([]byte("x"), 64<<10)
	_, err := io.WriteString(w, "id: 1\ndata: ")
	for err == nil {
		_, err = w.Write(filler)
	}
}

// maxAllocated bounds what a request to an endpoint that sends without end may allocate.
const maxAllocated = 64 << 20

// Guards against a stream whose event never ends: it is buffered until it is whole, and
// would fill the memory of the process. The request moves on to another endpoint.
func TestEndlessEventIsCutOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{endlessEvent}, []responder{endlessEvent})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	resp, _, err := f.call(t, http.MethodPost, "/tag/1", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.True(time.Since(start) < 1900*time.Millisecond) // before the route's timeout
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
}

// maxPastTimeout is how long after the route's timeout a body without end may still be relayed.
const maxPastTimeout = 500 * time.Millisecond

// Guards against a body without end that is kept in memory, or relayed past the route's
// timeout by a process whose processor it takes, or that looks complete to the caller. The
// time past the timeout is the process's processor time, because the test takes all that
// it gets: on a busy machine it may stand still for seconds in between.
func TestEndlessBodyEndsAtTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{endlessEvent})
	core, logs := observer.New(zap.InfoLevel)
	f.gateway.Log = zap.New(core)
	atTimeout := make(chan time.Duration, 1)
	time.AfterFunc(time.Second, func() { atTimeout <- testcpu.Used(t) }) // the route's timeout
	resp, err := f.open(f.request(t, http.MethodPost, "/read/1", "x", "b"))
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
	is.True(testcpu.Used(t)-<-atTimeout < maxPastTimeout)
	aborted := logs.FilterMessage("response aborted").All()
	is.Equal(len(aborted), 1)
	is.Equal(aborted[0].ContextMap()["outcome"], "timeout")
}

// Guards against a body without end that is relayed past the route's timeout while its
// endpoint sends slowly. Time is virtual.
func TestPacedEndlessBodyEndsAtTimeout(t *testing.T) {
	f := newFleet(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var endpoint sync.WaitGroup
		defer endpoint.Wait() // it ends because its connection was closed
		transport := &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			endpoint.Go(func() { sendPaced(remote) })
			return local, nil
		}}
		f.gateway.ShortIdle = &httpclient.Transport{Transport: transport, SendOnce: true}
		f.gateway.LongIdle = f.gateway.ShortIdle
		f.gateway.Directory.Put(catalog.Endpoint{Host: infra.Host{ID: "e0", Service: "s", Address: "10.0.0.1:1", Region: "r", State: infra.Live}, BootID: "1"}, 1)
		r := httptest.NewRequest(http.MethodPost, "http://h/read/1", strings.NewReader("b"))
		r.Header.Set("Id", "x")
		r.Header.Set("Key", "k")
		w := httptest.NewRecorder()
		start := time.Now()
		defer func() {
			is.Equal(recover(), http.ErrAbortHandler) // else the body would look complete
			is.True(time.Since(start) >= time.Second) // the route's timeout
			is.True(time.Since(start) < time.Second+maxPastTimeout)
			is.True(w.Body.Len() > maxBufferedBytes)
		}()
		f.gateway.ServeHTTP(w, r)
	})
}

// sendPaced answers a request with a body without end, 64 KB each 10 ms, until the other
// side closes the connection.
func sendPaced(c net.Conn) {
	defer c.Close()
	id := readRequest(bufio.NewReader(c))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n", id)
	filler := bytes.Repeat([]byte("x"), 64<<10)
	for err == nil {
		time.Sleep(10 * time.Millisecond)
		_, err = c.Write(filler)
	}
}

// paced sends an event or a part of one at each step.
func paced(step time.Duration, parts ...string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(step)
		}
	}
}

// Guards against a slow but sound stream that is cut because its endpoint is silent
// between events.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	for _, path := range []string{"/draft/1", "/tag/1"} {
		f := newFleet(t, []responder{paced(550*time.Millisecond, events...)})
		resp, body, err := f.call(t, http.MethodPost, path, "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, strings.Join(events, ""))
		is.Equal(f.sends(), 1)
	}
}

// Guards against a stalled stream that sends a byte now and then and never ends: it
// ends at the route's timeout, and doesn't look complete.
func TestDrippingStreamEndsAtTimeout(t *testing.T) {
	for _, path := range []string{"/draft/1", "/tag/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			drip := append([]string{"id: 1\ndata: a\n\n"}, strings.Split(strings.Repeat("x ", 200), " ")...)
			f := newFleet(t, []responder{paced(100*time.Millisecond, drip...)})
			start := time.Now()
			resp, err := f.open(f.request(t, http.MethodPost, path, "x", "b"))
			is.NoErr(err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			is.True(err != nil)
			is.True(time.Since(start) < 2500*time.Millisecond) // the route's timeout is two seconds
		})
	}
}
