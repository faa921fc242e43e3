package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// loadTime is how long new weights take an engine.
	loadTime = 1100 * time.Millisecond
	// reportLag is the age of what an engine reports of itself.
	reportLag = 200 * time.Millisecond
	// heartbeat is the time between two writes of an engine's entry.
	heartbeat = 1200 * time.Millisecond
	// events and eventInterval are those of a stream.
	events        = 4
	eventInterval = 10 * time.Millisecond
)

// report is what an engine says of itself at GET /v1/report.
type report struct {
	Stage    string        `json:"stage"`
	Models   []reportModel `json:"models"`
	Busy     bool          `json:"busy"`
	Sequence int64         `json:"sequence"`
	Queued   int           `json:"queued"`
	Running  int           `json:"running"`
	KVUsed   int           `json:"kv_used"`
	KVTotal  int           `json:"kv_total"`
	Handles  int           `json:"handles"`
	Born     int64         `json:"born"`
}

type reportModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// run is one run of a request at an engine.
type run struct {
	id, model string
	version   int64
	at        time.Time
}

// engine is a stand-in of a model engine that holds several models.
type engine struct {
	*system
	id, service, address string
	// prefill is the time from the arrival of a request to its first event.
	prefill time.Duration
	server  *http.Server

	mu       sync.Mutex
	born     int64
	down     bool
	starting map[string]int
	versions map[string]int64
	named    map[string]int64
	loading  string
	fence    int64
	sequence int64
	running  int
	// reported are the reports of the last moments, the oldest first.
	reported []agedReport
	entry    string
	runs     []run
}

type agedReport struct {
	at time.Time
	report
}

// newEngine starts an engine and writes its entry.
func newEngine(s *system, id, service string, versions map[string]int64) (*engine, error) {
	e := &engine{system: s, id: id, service: service, prefill: eventInterval, versions: versions, named: maps.Clone(versions), starting: map[string]int{}}
	if err := e.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

// start begins an incarnation, which listens at an address and writes its entry.
func (e *engine) start(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.server = l.Addr().String(), &http.Server{Handler: mux}
	e.born, e.down, e.sequence, e.fence = time.Now().UnixMilli(), false, 0, 0
	srv := e.server
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }() // ends with close
	e.writeEntry()
	return nil
}

// crash ends the incarnation without a word: its connections break and its address refuses
// others. The engine is back after a time, under its id.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	e.down = true
	srv, address := e.server, e.address
	e.mu.Unlock()
	e.add("%s crashes", e.id)
	_ = srv.Close() // the listener and all connections
	time.AfterFunc(down, func() {
		if err := e.start(address); err != nil {
			e.add("%s: not started again: %v", e.id, err)
			return
		}
		e.add("%s is back", e.id)
	})
}

// inPrefill returns the number of requests below a path whose first event is due.
func (e *engine) inPrefill(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return 0
	}
	return e.starting[path]
}

// beat keeps the reports, and writes the entry when it has changed.
func (e *engine) beat() {
	last := time.Now()
	for range time.Tick(reportLag / 4) {
		e.mu.Lock()
		now := time.Now()
		e.reported = append(e.reported, agedReport{now, e.present()})
		for len(e.reported) > 1 && now.Sub(e.reported[1].at) >= reportLag {
			e.reported = e.reported[1:]
		}
		e.mu.Unlock()
		if now.Sub(last) >= heartbeat {
			last = now
			e.writeEntry()
		}
	}
}

// present returns the present report; the caller holds mu.
func (e *engine) present() report {
	r := report{Stage: "colocated", Busy: e.loading != "", Sequence: e.sequence, Running: e.running, KVTotal: 411557, Born: e.born}
	for _, name := range slices.Sorted(maps.Keys(e.versions)) {
		r.Models = append(r.Models, reportModel{name, e.versions[name], []string{}})
	}
	return r
}

// writeEntry writes the engine's entry if it has changed.
func (e *engine) writeEntry() {
	e.mu.Lock()
	models, err := json.Marshal(e.present().Models)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"amman-a","version":"1","slots":128,"state":"ready","cold_remaining_ms":0,"sequence":1,"stage":"colocated","models":%s,"born":%d}`,
		e.service, e.address, models, e.born)
	changed := entry != e.entry && !e.down
	e.entry = entry
	e.mu.Unlock()
	if changed {
		e.putJSON("servers/"+e.id, entry)
	}
}

// name makes a version known to the engine, as the operator does.
func (e *engine) name(model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.named[model] = version
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if !e.isExpected(w, r) {
		return
	}
	e.mu.Lock()
	out := e.present()
	if len(e.reported) > 0 {
		out = e.reported[0].report
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may have left
}

// isExpected answers 421 to a request for another engine.
func (e *engine) isExpected(w http.ResponseWriter, r *http.Request) bool {
	want := r.Header.Get("Citrontiller-Expect-Instance")
	if want == "" || want == e.id {
		return true
	}
	w.Header().Set("Citrontiller-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// serveOrder carries out an order to load a version.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.isExpected(w, r) {
		return
	}
	var o struct {
		Opcode   string `json:"opcode"`
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Strategy string `json:"strategy"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fencing_token"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Opcode != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.order(o.Model, o.Version, o.Fence, o.Expected)
	e.add("%s: order from %s with fence %d, %s version %d: %d", e.id, o.Holder, o.Fence, o.Model, o.Version, status)
	w.WriteHeader(status)
}

func (e *engine) order(model string, version, fence int64, expected *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	present, ok := e.versions[model]
	switch {
	case !ok || version > e.named[model]:
		return http.StatusBadRequest
	case fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	switch {
	case e.loading != "" || expected != nil && *expected != e.sequence:
		return http.StatusConflict
	case present == version:
		return http.StatusOK
	}
	e.sequence++
	e.loading = model
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.versions[model], e.loading = version, ""
		e.add("%s: has %s version %d", e.id, model, version)
	})
	return http.StatusAccepted
}

func (e *engine) countPrefill(path string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starting[path] += n
}

// serveRequest answers a caller's request with a stream.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // only the headers matter
	id, model := r.Header.Get("Citrontiller-Request-Id"), r.Header.Get("Citrontiller-Model")
	h := w.Header()
	h.Set("Citrontiller-Request-Id", id)
	if !e.isExpected(w, r) {
		return
	}
	e.mu.Lock()
	version, held := e.versions[model]
	status := http.StatusOK
	want := r.Header.Get("Citrontiller-Expect-Version")
	switch {
	case !held:
		status = http.StatusNotFound
	case e.loading == model:
		status = http.StatusServiceUnavailable
	case want != "" && want != strconv.FormatInt(version, 10):
		status = http.StatusMisdirectedRequest
	default:
		e.running++
		e.runs = append(e.runs, run{id, model, version, time.Now()})
	}
	h.Set("Citrontiller-Instance-Load", fmt.Sprintf("%d,0,128,100", e.running))
	e.mu.Unlock()
	h.Set("Citrontiller-Weight-Versions", strconv.FormatInt(version, 10))
	if status != http.StatusOK {
		h.Set("Citrontiller-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.countPrefill(r.URL.Path, 1)
	sleep(r.Context(), e.prefill)
	e.countPrefill(r.URL.Path, -1)
	if r.Context().Err() != nil {
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Citrontiller-Server-Stamp", e.id+"."+id)
	for i := 1; i <= events; i++ {
		sleep(r.Context(), eventInterval)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush() // the caller may have left
	}
}

// ranWith returns the number of runs of requests whose ids hold a text.
func (e *engine) ranWith(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if strings.Contains(r.id, text) {
			n++
		}
	}
	return n
}
