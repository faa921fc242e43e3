package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longBody is the size of a request's body. max_body_bytes is 4,194,304.
	longBody = 3 << 20
	// readPause is for how long an engine doesn't read on in a long body.
	readPause = 4 * time.Second
	// slowEvents are the events of its answer, one each slowInterval.
	slowEvents, slowInterval = 24, 250 * time.Millisecond
	// slowRequests is the number of requests to each gateway.
	slowRequests = 4
)

// slowReader is a stand-in of an engine that begins to answer before it has read a long body, and
// reads on later. Without pause it reads the body first.
type slowReader struct {
	*system
	id    string
	pause time.Duration

	mu sync.Mutex
	// whole and cut count the requests whose bodies have arrived whole, and the others.
	whole, cut int
}

// ServeHTTP implements http.Handler.
func (e *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Citrontiller-Request-Id")
	h := w.Header()
	h.Set("Citrontiller-Request-Id", id)
	if want := r.Header.Get("Citrontiller-Expect-Instance"); want != "" && want != e.id {
		h.Set("Citrontiller-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rc := http.NewResponseController(w)
	if err := rc.EnableFullDuplex(); err != nil {
		e.add("%s: %v", e.id, err)
	}
	body := make(chan int64, 1)
	go func() {
		first, _ := io.CopyN(io.Discard, r.Body, 64<<10) // what is missing is counted below
		time.Sleep(e.pause)
		rest, _ := io.Copy(io.Discard, r.Body)
		body <- first + rest
	}()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Citrontiller-Server-Stamp", e.id+"."+id)
	for i := 1; i <= slowEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = rc.Flush() // the gateway may have left
		time.Sleep(slowInterval)
	}
	n := <-body
	e.mu.Lock()
	defer e.mu.Unlock()
	if n == longBody {
		e.whole++
	} else {
		e.cut++
	}
	e.add("%s: %s: %d of %d bytes of the body have arrived", e.id, id, n, longBody)
}

// runSlowRead lets an engine read long bodies slowly, and sends a SIGHUP to each gateway.
func runSlowRead(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	e := &slowReader{system: s, id: "i-0"}
	if trouble {
		e.pause = readPause
	}
	engineAddress, err := s.listen(e)
	if err != nil {
		return false, err
	}
	s.putJSON("op/config", fmt.Sprintf(fleetConfig, 3, slowRoute, `{"name":"llm","health_path":"/health","max_connections":610,"protocol":"h1","tls":false}`, `"key"`))
	s.putJSON("servers/i-0", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"amman-a","version":"1","slots":128,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, engineAddress, time.Now().UnixMilli()))
	storeAddress, err := s.listen(s.store)
	if err != nil {
		return false, err
	}
	if err := s.startGateways(storeAddress); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // contact_ms and more
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, complete := 0, 0
	for _, g := range s.gateways {
		if err := g.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		s.add("SIGHUP to %s", g.name)
		for n := range slowRequests {
			wg.Go(func() {
				ok := s.askLong(g, fmt.Sprintf("%s-long-%d", g.name, n))
				mu.Lock()
				defer mu.Unlock()
				asked++
				if ok {
					complete++
				}
			})
		}
	}
	wg.Wait()
	s.add("%d requests, %d complete answers; at the engine %d whole bodies, %d others", asked, complete, e.whole, e.cut)
	return complete == asked, nil
}

// slowRoute is a route with the figures of diagnosis-draft of sites/zgm-router.toml.
const slowRoute = `{"name":"r-long","host":"h.example","prefix":"/long/","kind":"stream","timeout_ms":15000,"target_latency_ms":600,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":250}`

// askLong sends a request with a long body, and reports whether its answer
// is complete.
func (s *system) askLong(g *gatewayProcess, id string) bool {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/long/x", bytes.NewReader(make([]byte, longBody)))
	if err != nil {
		panic(err) // the address is well-formed
	}
	req.Host = "h.example"
	req.Header.Set("Citrontiller-Request-Id", id)
	req.Header.Set("Citrontiller-Credential", oneKey[0])
	req.Header.Set("Citrontiller-Deadline-Ms", "15000")
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.add("%s: no answer after %v: %v", id, time.Since(sent).Round(time.Millisecond), err)
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.add("%s: %d, %d of %d events, ends after %v: %v", id, resp.StatusCode, strings.Count(string(text), "\n\n"), slowEvents, time.Since(sent).Round(time.Millisecond), err)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(text), "\n\n") == slowEvents
}
