package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. The route is like the sheet's job-tag.
const (
	streamCallers  = 4
	streamInterval = 100 * time.Millisecond
	streamTime     = 12 * time.Second
	// streamEvents and eventGap: a stream of a sound engine lasts 1.5 s; pauses stay below
	// gap_aim_ms.
	streamEvents = 11
	eventGap     = 150 * time.Millisecond
	// endlessAfter is the number of events after which the engine in trouble sends bytes
	// that are no answer, endlessBytes of them each endlessPause.
	endlessAfter = 2
	endlessBytes = 64 << 10
	endlessPause = 5 * time.Millisecond
	// stillWorking is the time of the rule.
	stillWorking = 400 * time.Millisecond
)

// streamRun is the work of an engine on a request.
type streamRun struct {
	engine, after string
	began         time.Time
	// ended is when the engine stopped to work on it: it had sent everything, or its
	// connection was closed. Zero while it works.
	ended time.Time
}

// streamRuns holds the runs of each request in the order in which they began.
type streamRuns struct {
	mu sync.Mutex
	by map[string][]*streamRun
}

func (r *streamRuns) begin(id, engine, after string) *streamRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &streamRun{engine: engine, after: after, began: time.Now()}
	r.by[id] = append(r.by[id], run)
	return run
}

func (r *streamRuns) end(run *streamRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended = time.Now()
}

// streamEngine is a model engine.
type streamEngine struct {
	*system
	id   string
	runs *streamRuns
	// endless is true for the engine in trouble.
	endless bool
}

func (e *streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, after := r.Header.Get("Citrontiller-Request-Id"), r.Header.Get("Last-Event-Id")
	h := w.Header()
	h.Set("Citrontiller-Request-Id", id)
	h.Set("Citrontiller-Weight-Versions", "1")
	if want := r.Header.Get("Citrontiller-Expect-Version"); r.Header.Get("Citrontiller-Expect-Instance") != e.id || want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := e.runs.begin(id, e.id, after)
	e.record("engine %s runs %s after event %q", e.id, id, after)
	defer func() {
		e.runs.end(run)
		e.record("engine %s stops work on %s", e.id, id)
	}()
	h.Set("Citrontiller-Server-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	next := 1
	if after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			panic(err) // the callers send none, and the events have numbers
		}
		next = n + 1
	}
	for i := next; i <= streamEvents; i++ {
		if e.endless && i > endlessAfter {
			e.sendWithoutEnd(w, r)
			return
		}
		if !sendBytes(w, fmt.Appendf(nil, "id: %d\ndata: %s %d\n\n", i, id, i)) {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

// sendBytes reports whether the caller is still there.
func sendBytes(w http.ResponseWriter, b []byte) bool {
	if _, err := w.Write(b); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// sendWithoutEnd sends bytes that are no answer until the caller closes. It goes on when
// the caller doesn't read.
func (e *streamEngine) sendWithoutEnd(w http.ResponseWriter, r *http.Request) {
	go func() {
		b := bytes.Repeat([]byte{'x'}, endlessBytes)
		for sendBytes(w, b) {
			time.Sleep(endlessPause)
		}
	}()
	<-r.Context().Done()
	time.Sleep(10 * endlessPause) // the writer above must have ended before the handler does
}

// endlessStream sends streams that may be resumed, while one of three engines sends bytes
// without end in the middle of its streams. Once a request goes on at another engine, the
// engine before may work on it for 400 ms at most.
func endlessStream(s *system) (string, error) {
	runs := &streamRuns{by: map[string][]*streamRun{}}
	s.put("op/config", map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": "job-tag", "host": "shop.example", "prefix": "/tag/", "kind": "stream", "timeout_ms": 3000,
			"target_latency_ms": 400, "gap_aim_ms": 250, "priority": 0, "service": "llm", "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_connections": 610, "protocol": "h1",
			"engine": map[string]any{"slots": 128, "kv_capacity": 411557, "token_kv_bytes": 18432, "models": []any{map[string]any{"name": "m0"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "dedicated": false}}})
	for i := range 3 {
		e := &streamEngine{system: s, id: fmt.Sprintf("i-%d", i+1), runs: runs, endless: s.trouble && i == 0}
		address, err := serve(e)
		if err != nil {
			return "", err
		}
		s.put("servers/"+e.id, map[string]any{"service": "llm", "address": address, "zone": "amman-a", "version": "v1", "slots": 128, "state": "ready",
			"cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
			"sequence": 0, "born": s.began.UnixMilli()})
	}
	g, err := s.start("front-1", "amman-a", s.storeAddr)
	if err != nil {
		return "", err
	}
	if err := s.awaitReady(g); err != nil {
		return "", err
	}
	served := sendStreams(s, g)
	if served == 0 {
		return "", fmt.Errorf("no stream was served whole")
	}
	time.Sleep(time.Second) // work that was cancelled ends
	return brokenByRuns(s, runs), nil
}

// sendStreams sends streams for streamTime and returns how many were served whole.
func sendStreams(s *system, g *gateway) (served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(streamTime)
	for i := range streamCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("t%d-%d", i, n)
				req, err := newRequest(http.MethodPost, g.front, "/tag/"+id, id, "prompt of "+id, 3*time.Second)
				if err != nil {
					panic(err) // the arguments are constant
				}
				req.Header.Set("Citrontiller-Model", "m0")
				req.Header.Set("Citrontiller-Token-Usage", "600,11")
				req.Header.Set("Citrontiller-Prompt-Prefix", fmt.Sprintf("5c1e07a2:300,%08x:200,%s:100", n%5, id))
				s.record("caller sends %s", id)
				a := send(client, req)
				whole := a.err == nil && a.status == http.StatusOK && strings.Count(string(a.body), "\n\n") == streamEvents
				s.record("caller of %s gets %s, whole: %v", id, a, whole)
				mu.Lock()
				if whole {
					served++
				}
				mu.Unlock()
				time.Sleep(streamInterval)
			}
		})
	}
	wg.Wait()
	return served
}

// brokenByRuns returns the requests that went on at another engine while the one before
// still worked on them stillWorking later.
func brokenByRuns(s *system, runs *streamRuns) string {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	var broken []string
	resumed := 0
	for id, all := range runs.by {
		for i := 1; i < len(all); i++ {
			resumed++
			before, next := all[i-1], all[i]
			if before.ended.IsZero() || before.ended.Sub(next.began) > stillWorking {
				longer := "until the end"
				if !before.ended.IsZero() {
					longer = fmt.Sprintf("%.3f s", before.ended.Sub(next.began).Seconds())
				}
				broken = append(broken, fmt.Sprintf("%s went on at %s, and %s worked on it for %s more", id, next.engine, before.engine, longer))
			}
		}
	}
	s.record("%d requests ran, %d times one went on at another engine", len(runs.by), resumed)
	if len(broken) == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d of %d times: %s", len(broken), resumed, strings.Join(broken, "; "))
}
