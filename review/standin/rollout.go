package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	rolloutEngines = 6
	rolloutCallers = 12
	// rolloutDocuments is the number of second parts of prompts.
	rolloutDocuments = 50
	rolloutInterval  = 100 * time.Millisecond
	// newWeightsAfter is when the operator names version 2, loadTime the time in which an
	// engine loads it.
	newWeightsAfter = 5 * time.Second
	loadTime        = 1100 * time.Millisecond
	// rolloutTime is how long the callers send after the naming: more than 1.5 x version_ms
	// and contact_ms.
	rolloutTime = 26 * time.Second
	// leastAnswers is the number of sound answers that the engine has given before it spoils
	// one: the dose is at most one in so many.
	leastAnswers = 20
	// stopGrace is grace_s.
	stopGrace = 8 * time.Second
)

// rolloutEngine is a model engine that takes orders to load weights.
type rolloutEngine struct {
	*system
	id, address string
	// spoiled is true once one of the engines has spoiled its answer to an order.
	spoiled *atomic.Bool

	mu       sync.Mutex
	version  int64
	busy     bool
	sequence int64
	fence    int64
	answers  int
}

// list writes the engine's entry. The caller holds mu, or is the only user.
func (e *rolloutEngine) list() {
	e.put("servers/"+e.id, map[string]any{"service": "llm", "address": e.address, "zone": "amman-a", "version": "v1", "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": e.version, "adapters": []any{}}},
		"sequence": e.sequence, "born": e.began.UnixMilli()})
}

func (e *rolloutEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Citrontiller-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": e.version, "adapters": []any{}}},
			"busy": e.busy, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 411557, "handles": 0})
	case "/v1/order":
		e.order(w, r)
	default:
		e.answer(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

// order takes an order as the protocol says.
func (e *rolloutEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fencing_token"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record("engine %s gets an order from %s: version %d, fence %d", e.id, o.Holder, o.Version, o.Fence)
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy, e.sequence, e.fence = true, e.sequence+1, o.Fence
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.version = false, o.Version
		e.record("engine %s has version %d", e.id, o.Version)
		e.list()
	})
	if e.trouble && e.answers >= leastAnswers && e.spoiled.CompareAndSwap(false, true) {
		e.record("engine %s spoils its answer to the order, after %d sound answers to requests", e.id, e.answers)
		go spoil(w) // takes the connection over
		time.Sleep(50 * time.Millisecond)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// spoil sends the head of a switch of protocols that nobody asked for, and nothing more. It
// keeps the connection until the caller closes it.
func spoil(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // connections of HTTP/1.1 can be taken over
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: none\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn) // until the caller closes
}

// answer answers a request.
func (e *rolloutEngine) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Citrontiller-Request-Id")
	h := w.Header()
	h.Set("Citrontiller-Request-Id", id)
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.answers++
	e.mu.Unlock()
	h.Set("Citrontiller-Weight-Versions", fmt.Sprint(version))
	if want := r.Header.Get("Citrontiller-Expect-Version"); want != "" && want != fmt.Sprint(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		h.Set("Citrontiller-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("Citrontiller-Server-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	for i := range 2 {
		if !sendBytes(w, fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i+1, id)) {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// stalledRollout names new weights, while one engine spoils its answer to one order. All
// engines must have the new weights in time.
func stalledRollout(s *system) (string, error) {
	s.put("op/config", map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": "job-tag", "host": "shop.example", "prefix": "/tag/", "kind": "stream", "timeout_ms": 3000,
			"target_latency_ms": 400, "gap_aim_ms": 250, "priority": 0, "service": "llm", "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_connections": 610, "protocol": "h1",
			"engine": map[string]any{"slots": 128, "kv_capacity": 411557, "token_kv_bytes": 18432, "models": []any{map[string]any{"name": "m0"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "dedicated": false}}})
	s.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	var engines []*rolloutEngine
	var spoiled atomic.Bool
	for i := range rolloutEngines {
		e := &rolloutEngine{system: s, id: fmt.Sprintf("i-%d", i+1), version: 1, spoiled: &spoiled}
		var err error
		if e.address, err = serve(e); err != nil {
			return "", err
		}
		e.list()
		engines = append(engines, e)
	}
	var gateways []*gateway
	for _, zone := range []string{"amman-a", "irbid-a"} {
		g, err := s.start("front-"+zone, zone, s.storeAddr)
		if err != nil {
			return "", err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := s.awaitReady(g); err != nil {
			return "", err
		}
	}
	time.AfterFunc(newWeightsAfter, func() { s.put("op/version/m0", map[string]any{"model": "m0", "version": 2}) })
	served := sendTags(s, gateways, time.Now().Add(newWeightsAfter+rolloutTime))
	old := 0
	for _, e := range engines {
		e.mu.Lock()
		if e.version < 2 {
			old++
		}
		e.mu.Unlock()
	}
	s.record("%d of %d engines have version 1 at the end; served in each second: %v", old, len(engines), served)
	recordStop(s, gateways)
	if served[1] == 0 {
		return "", fmt.Errorf("no request was served before the new weights were named")
	}
	if old > 1 && old*10 > len(engines) {
		return fmt.Sprintf("VERSION: %d of %d engines still have the older version %v after the newer one was named", old, len(engines), rolloutTime), nil
	}
	return "", nil
}

// sendTags sends requests until a time and returns how many were served in each second.
func sendTags(s *system, gateways []*gateway, until time.Time) []int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	served := make([]int, int(time.Until(until).Seconds())+5)
	for i := range rolloutCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("t%d-%d", i, n)
				g := gateways[(i+n)%len(gateways)]
				req, err := newRequest(http.MethodPost, g.front, "/tag/"+id, id, "prompt of "+id, 3*time.Second)
				if err != nil {
					panic(err) // the arguments are constant
				}
				req.Header.Set("Citrontiller-Model", "m0")
				req.Header.Set("Citrontiller-Token-Usage", "600,2")
				req.Header.Set("Citrontiller-Prompt-Prefix", fmt.Sprintf("5c1e07a2:300,%08x:200,%s:100", n%rolloutDocuments, id))
				a := send(client, req)
				s.record("caller of %s at %s gets %s", id, g.name, a)
				if a.err == nil && a.status == http.StatusOK && strings.Count(string(a.body), "\n\n") == 2 {
					mu.Lock()
					served[int(time.Since(began).Seconds())]++
					mu.Unlock()
				}
				time.Sleep(rolloutInterval)
			}
		})
	}
	wg.Wait()
	return served
}

// recordStop sends SIGTERM to the gateways and records which of them have ended by
// themselves within grace_s.
func recordStop(s *system, gateways []*gateway) {
	for _, g := range gateways {
		_ = g.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
	}
	deadline := time.After(stopGrace)
	for _, g := range gateways {
		select {
		case <-g.ended:
			s.record("%s has ended after SIGTERM", g.name)
		case <-deadline:
			s.record("%s has not ended %v after SIGTERM", g.name, stopGrace)
			return
		}
	}
}
