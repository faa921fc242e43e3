package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	model = "m0"
	// reportLag is the age of what an engine reports.
	reportLag = 200 * time.Millisecond
	// loadTime is the time in which an engine loads weights.
	loadTime = 430 * time.Millisecond
	// engineSlots is the number of requests that an engine runs at once.
	engineSlots = 64
)

// order is an order that has arrived at an engine.
type order struct {
	Version  int64  `json:"version"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fencing_token"`
	Expected *int64 `json:"expected"`
	at       time.Time
}

// state is what an engine reports.
type state struct {
	version  int64
	busy     bool
	sequence int64
	at       time.Time
}

// engine is a stand-in of a model engine that doesn't check fencing tokens.
type engine struct {
	id     string
	server *httptest.Server
	record *record
	// list stores the engine's entry.
	list func(id string, entry any)

	mu      sync.Mutex
	now     state
	past    []state
	running int
	orders  []order
}

func newEngine(id string, r *record, list func(id string, entry any)) *engine {
	e := &engine{id: id, record: r, list: list, now: state{version: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("POST /draft/", e.run)
	e.server = httptest.NewServer(mux)
	return e
}

// writeEntry stores the engine's entry.
func (e *engine) writeEntry() {
	e.mu.Lock()
	version := e.now.version
	e.mu.Unlock()
	e.list(e.id, map[string]any{"service": "llm", "address": e.server.Listener.Addr().String(), "zone": "zone-e", "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": model, "version": version, "adapters": []any{}}},
		"sequence": 1, "born": bornMs})
}

// bornMs is the start of all engines.
var bornMs = time.Now().UnixMilli()

// change changes the state and keeps the one before for reports. The caller holds mu.
func (e *engine) change(f func(s *state)) {
	e.past = append(e.past, e.now)
	f(&e.now)
	e.now.at = time.Now()
}

// lagged returns the state as of reportLag ago. The caller holds mu.
func (e *engine) lagged() state {
	then := time.Now().Add(-reportLag)
	if !e.now.at.After(then) {
		return e.now
	}
	for i := len(e.past) - 1; i >= 0; i-- {
		if !e.past[i].at.After(then) {
			return e.past[i]
		}
	}
	return e.past[0]
}

// expects reports whether a request is for this engine, and answers 421 if not.
func (e *engine) expects(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Citrontiller-Instance-Id", e.id)
	want := r.Header.Get("Citrontiller-Expect-Instance")
	if want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if !e.expects(w, r) {
		return
	}
	e.mu.Lock()
	s, running := e.lagged(), e.running
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "colocated", "busy": s.busy, "sequence": s.sequence, "queued": 0, "running": running,
		"models": []any{map[string]any{"name": model, "version": s.version, "adapters": []any{}}}, "kv_used": 0, "kv_total": 400000, "handles": 0}) // the caller may have left
}

// order answers an order as the platform's page says of engines that don't check fences.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	if !e.expects(w, r) {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.at = time.Now()
	e.orders = append(e.orders, o)
	status := http.StatusAccepted
	switch {
	case e.now.busy, o.Expected != nil && *o.Expected != e.now.sequence:
		status = http.StatusConflict
	case e.now.version >= o.Version:
		status = http.StatusOK
	default:
		e.change(func(s *state) { s.busy, s.sequence = true, s.sequence+1 })
		time.AfterFunc(loadTime, func() { e.loaded(o.Version) })
	}
	e.record.add("order at %s: holder %s, fence %d, version %d, answered %d", e.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// loaded ends an order.
func (e *engine) loaded(version int64) {
	e.mu.Lock()
	e.change(func(s *state) { s.busy, s.version = false, version })
	e.mu.Unlock()
	e.writeEntry()
}

// run answers a request with a stream of two events.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // only then is the end of the connection noticed
	w.Header().Set("Citrontiller-Request-Id", r.Header.Get("Citrontiller-Request-Id"))
	if !e.expects(w, r) {
		return
	}
	e.mu.Lock()
	s := e.now
	want := r.Header.Get("Citrontiller-Expect-Version")
	if s.busy || want != "" && want != fmt.Sprint(s.version) {
		e.mu.Unlock()
		status := http.StatusMisdirectedRequest
		if s.busy {
			status = http.StatusServiceUnavailable
			w.Header().Set("Citrontiller-Not-Executed", "1")
		}
		w.WriteHeader(status)
		return
	}
	e.running++
	w.Header().Set("Citrontiller-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, engineSlots))
	e.mu.Unlock()
	w.Header().Set("Citrontiller-Server-Stamp", e.id+".1")
	w.Header().Set("Citrontiller-Weight-Versions", fmt.Sprint(s.version))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 2; i++ {
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush() // the caller may have left
	}
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// overtaken returns the orders that came with a lower fencing token after a higher one.
func (e *engine) overtaken() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	var highest order
	for _, o := range e.orders {
		if o.Fence < highest.Fence {
			out = append(out, fmt.Sprintf("%s: order of %s with fence %d came %.3f s after one of %s with fence %d",
				e.id, o.Holder, o.Fence, o.at.Sub(highest.at).Seconds(), highest.Holder, highest.Fence))
			continue
		}
		highest = o
	}
	return out
}
