package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// awayTime is how long the store is away in a drill.
	awayTime = 700 * time.Millisecond
	// callersPerGateway is the number of callers at each gateway.
	callersPerGateway = 8
	// callPause is the time between two requests of a caller.
	callPause = 50 * time.Millisecond
	// holderTimeout bounds the time until a gateway holds the rollout lock.
	holderTimeout = 12 * time.Second
	// lockKey is the key of the lock whose holder gives the engines orders.
	lockKey = "citrontiller/rollout-lock"
)

const config = `{"version":1,"routes":[{"name":"draft","host":"h","prefix":"/draft/","kind":"stream","timeout_ms":3000,"target_latency_ms":500,
"priority":0,"service":"llm","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"llm","health_path":"/health","max_connections":610,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity":400000,"token_kv_bytes":18432,"link_mbps":370000,"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// rawJSON is JSON text that is stored unchanged.
type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// system is three gateways, each in a region of its own, with the platform, engines and callers
// around them.
type system struct {
	record   *record
	folder   string
	store    *platformtest.Store
	server   *httptest.Server
	engines  []*engine
	gateways []*gateway
	// first restores the store to its state before the first gateway was started.
	first func()
	// renewed receives the path of each renewal of a lease, if somebody waits for one.
	renewed chan string
	done    chan struct{}

	mu sync.Mutex
	// away is true while the store is away: nobody can write.
	away    bool
	version int64
	// leaving is the gateway that is being stopped: callers open no connections to it.
	leaving *gateway
	// written holds what the operator has written, by key.
	written map[string]any
}

// newSystem starts the system with a number of engines and waits until it is ready. The caller
// must call close, also after an error.
func newSystem(r *record, engines int) (*system, error) {
	s := &system{record: r, store: platformtest.NewStore(), version: 1, written: map[string]any{}, renewed: make(chan string), done: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serveStore))
	var err error
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		return s, err
	}
	s.operatorWrites("op/config", rawJSON(config))
	s.nameVersion()
	for i := range engines {
		e := newEngine(fmt.Sprintf("i-%02d", i), r, s.writeEntry)
		s.engines = append(s.engines, e)
		e.writeEntry()
	}
	s.first = s.store.Snapshot()
	for _, name := range []string{"a", "b", "c"} {
		g, err := newGateway(s.folder, name, s.server.Listener.Addr().String(), "require_fence: false, lease_ms: 3000")
		if err != nil {
			return s, err
		}
		if err := g.start(); err != nil {
			return s, err
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(); err != nil {
			return s, err
		}
		for i := range callersPerGateway {
			go s.call(g, i)
		}
	}
	return s, nil
}

// close ends all that the system has started.
func (s *system) close() {
	close(s.done)
	for _, g := range s.gateways {
		g.stop()
	}
	for _, e := range s.engines {
		e.server.CloseClientConnections()
		e.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	if s.folder != "" {
		_ = os.RemoveAll(s.folder) // it is temporary
	}
}

// serveStore serves the store and tells of renewals.
func (s *system) serveStore(w http.ResponseWriter, r *http.Request) {
	s.store.ServeHTTP(w, r)
	if strings.HasPrefix(r.URL.Path, "/v1/kv-keep/") {
		select {
		case s.renewed <- r.URL.Path:
		default: // nobody waits for it
		}
	}
}

// drill has the store away for awayTime. It comes back from the copy that restore brings back, and
// the operator and the engines write again, rewriteDelay later, what they had written.
func (s *system) drill(restore func(), copied time.Time, rewriteDelay time.Duration) {
	s.mu.Lock()
	s.away = true
	s.store.SetDown(true)
	s.mu.Unlock()
	s.record.add("the store is away")
	time.Sleep(awayTime)
	s.mu.Lock()
	restore()
	s.store.SetDown(false)
	s.away = false
	s.mu.Unlock()
	s.record.add("the store is back from a copy %.1f s old", time.Since(copied).Seconds())
	time.Sleep(rewriteDelay)
	s.mu.Lock()
	for key, value := range s.written {
		s.store.Put(key, value)
	}
	s.mu.Unlock()
	for _, e := range s.engines {
		e.writeEntry()
	}
	s.record.add("the operator and the engines have written again")
}

// operatorWrites stores a value of the operator.
func (s *system) operatorWrites(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = value
	s.store.Put(key, value)
}

// nameVersion names new weights.
func (s *system) nameVersion() {
	s.version++
	s.record.add("the operator names version %d", s.version)
	s.operatorWrites("op/version/"+model, map[string]any{"model": model, "version": s.version})
}

// writeEntry stores the entry of an engine; while the store is away it is written afterwards.
func (s *system) writeEntry(id string, entry any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.store.Put("servers/"+id, entry)
	}
}

// lock is the rollout lock as the platform sees it.
type lock struct {
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease"`
}

// readLock reads the rollout lock, false if nobody holds it.
func (s *system) readLock() (lock, bool) {
	var l lock
	resp, err := http.Get("http://" + s.server.Listener.Addr().String() + "/v1/kv-key?key=" + lockKey)
	if err != nil {
		return l, false
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	return l, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&l) == nil
}

// awaitHolder returns the gateway that holds the rollout lock in the store, and the lock.
func (s *system) awaitHolder() (*gateway, lock, error) {
	for end := time.Now().Add(holderTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l, ok := s.readLock()
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(string(l.Value), " ")
		for _, g := range s.gateways {
			if g.name == name {
				return g, l, nil
			}
		}
	}
	return nil, lock{}, errors.New("no gateway holds the rollout lock")
}

// setLeaving sets the gateway that is being stopped, nil for none.
func (s *system) setLeaving(g *gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = g
}

func (s *system) isLeaving(g *gateway) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving == g
}

// call sends requests to a gateway one after the other, each on a new connection.
func (s *system) call(g *gateway, caller int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-s.done:
			return
		case <-time.After(callPause):
		}
		if s.isLeaving(g) {
			continue
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/draft/x", strings.NewReader("x"))
		if err != nil {
			panic(err) // the address is valid
		}
		req.Host = "h"
		for name, value := range map[string]string{"Request-Id": fmt.Sprintf("%s-%d-%d", g.name, caller, i), "Model": model, "Token-Usage": "500,20",
			"Prompt-Prefix": fmt.Sprintf("%x:300,%x:200", caller, i), "Deadline-Ms": "3000"} {
			req.Header.Set("Citrontiller-"+name, value)
		}
		resp, err := client.Do(req)
		if err != nil {
			continue // the gateway is being restarted
		}
		_ = resp.Body.Close() // the load is what counts
	}
}

// checkOrders reports whether an engine got an order with a lower fencing token after one with a
// higher one.
func (s *system) checkOrders() bool {
	broken := false
	for _, e := range s.engines {
		for _, text := range e.overtaken() {
			s.record.add("ONE broken: %s", text)
			broken = true
		}
	}
	return broken
}
