// Package kv is a stand-in for the platform's key-value service. It implements
// the part of etcd's v3 JSON gateway that the driver in plugins/etcd uses, and
// injects faults.
package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Server is an in-memory key-value service, an http.Handler. It is safe for
// concurrent use. The zero value is not usable; call New.
type Server struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]item
	// log holds all changes in the order of their revisions.
	log    []change
	leases map[int64]*lease
	// lastLeaseID is the id of the last granted lease.
	lastLeaseID int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  Faults
	// calls counts the calls by path.
	calls map[string]int
	// writes is the number of writes within second, a Unix time.
	second int64
	writes int
}

// Faults are the faults that the service injects.
type Faults struct {
	// Down fails every new call with status 503. Open watches continue.
	Down bool
	// LoseWrites is the number of further transactions that are not applied and
	// whose connection is dropped.
	LoseWrites int
	// WritesPerSecond limits the transactions per second; further ones fail with
	// status 429. 0 means no limit.
	WritesPerSecond int
	// LoseWriteResponses is the number of further transactions that are applied and
	// whose connection is then dropped.
	LoseWriteResponses int
	// SilentWatch keeps watches open but drops their events.
	SilentWatch bool
	// Delay is the delay before every call is handled.
	Delay time.Duration
}

// Snapshot is the state of the keys at one revision. It does not include leases.
type Snapshot struct {
	revision int64
	keys     map[string]item
	logLen   int
}

// item is the value of a key.
type item struct {
	value    []byte
	revision int64
	lease    int64
}

// New returns an empty service.
func New() *Server {
	return &Server{revision: 1, keys: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Calls returns the number of calls to a path.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Value returns a key's value and revision, or nil and 0 if the key is absent.
func (s *Server) Value(key string) ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.keys[key]
	return it.value, it.revision
}

// Put writes a key without a revision check, a lease or injected faults.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// put writes a key. The caller holds mu.
func (s *Server) put(key string, value []byte, lease int64) {
	s.revision++
	it := item{value: value, revision: s.revision, lease: lease}
	s.keys[key] = it
	s.log = append(s.log, change{key: key, item: it})
	s.notify()
}

// remove deletes a key. The caller holds mu.
func (s *Server) remove(key string) {
	s.revision++
	delete(s.keys, key)
	s.log = append(s.log, change{key: key, item: item{revision: s.revision}, deleted: true})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.expire()
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if f.Down {
		http.Error(w, `{"error":"etcdserver: no leader"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v3/kv/range":
		s.serveRange(w, r)
	case "/v3/kv/txn":
		s.serveTxn(w, r)
	case "/v3/lease/grant":
		s.serveGrant(w, r)
	case "/v3/lease/keepalive":
		s.serveKeepAlive(w, r)
	case "/v3/watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// decode reads a JSON body into v. On failure it responds with status 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Snapshot returns the current state, to be passed to Restore.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, keys: maps.Clone(s.keys), logLen: len(s.log)}
}

// Restore returns to an older state, as after an outage that lost writes. The
// revision counter goes back too.
func (s *Server) Restore(old Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.keys, s.log = old.revision, maps.Clone(old.keys), s.log[:old.logLen:old.logLen]
	s.notify()
}
