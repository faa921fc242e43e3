// Package kv is a stand-in for the platform's key-value service. It implements
// the part of etcd's v3 JSON gateway that the driver in plugins/etcd uses, and
// injects faults.
package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
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

// change is a write or a deletion of a key.
type change struct {
	key     string
	item    item
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
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

// notify wakes the open watches. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the expired leases with their keys. The caller holds mu.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expires.After(now) {
			continue
		}
		delete(s.leases, id)
		for k, it := range s.keys {
			if it.lease == id {
				s.remove(k)
			}
		}
	}
}

type jsonKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type jsonHeader struct {
	Revision int64 `json:"revision,string"`
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

// inRange reports whether key is in [from, end). As in etcd, an empty end selects
// only the key equal to from, and an end of one zero byte sets no upper bound.
func inRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && (end == "\x00" || key < end)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		KeysOnly bool   `json:"keys_only"`
	}
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var kvs []jsonKV
	for k, it := range s.keys {
		if inRange(k, string(req.Key), string(req.RangeEnd)) {
			if req.KeysOnly {
				it.value = nil
			}
			kvs = append(kvs, jsonKV{[]byte(k), it.value, it.revision})
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return string(kvs[i].Key) < string(kvs[j].Key) })
	writeJSON(w, map[string]any{"header": jsonHeader{s.revision}, "kvs": kvs})
}

// jsonTxn is a transaction: the operations of Success are applied if every key of
// Compare has the given revision. Revision 0 means that the key is absent.
type jsonTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		Delete *struct {
			Key []byte `json:"key"`
		} `json:"request_delete_range"`
	} `json:"success"`
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req jsonTxn
	if !decode(w, r, &req) {
		return
	}
	if !s.admitWrite(w) {
		return
	}
	s.mu.Lock()
	ok := true
	for _, c := range req.Compare {
		ok = ok && s.keys[string(c.Key)].revision == c.ModRevision
	}
	if ok {
		for _, op := range req.Success {
			switch {
			case op.Put != nil:
				s.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
			case op.Delete != nil:
				s.remove(string(op.Delete.Key))
			}
		}
	}
	loseResponse := s.faults.LoseWriteResponses > 0
	if loseResponse {
		s.faults.LoseWriteResponses--
	}
	rev := s.revision
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"header": jsonHeader{rev}, "succeeded": ok})
}

// admitWrite applies the faults that act before a transaction. It returns false
// after an error response, and panics to drop the connection.
func (s *Server) admitWrite(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		panic(http.ErrAbortHandler)
	}
	if second := time.Now().Unix(); second != s.second {
		s.second, s.writes = second, 0
	}
	s.writes++
	if limit := s.faults.WritesPerSecond; limit > 0 && s.writes > limit {
		w.Header().Set("Retry-After", "1")
		http.Error(w, `{"error":"etcdserver: too many requests","code":8}`, http.StatusTooManyRequests)
		return false
	}
	return true
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

type jsonLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req jsonLease
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, jsonLease{ID: s.lastLeaseID, TTL: req.TTL})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req jsonLease
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := jsonLease{ID: req.ID}
	if l := s.leases[req.ID]; l != nil {
		l.expires = time.Now().Add(l.ttl)
		out.TTL = int64(l.ttl / time.Second)
	}
	writeJSON(w, map[string]any{"result": out})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Create struct {
			Key           []byte `json:"key"`
			RangeEnd      []byte `json:"range_end"`
			StartRevision int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &req) {
		return
	}
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	_ = enc.Encode(map[string]any{"result": map[string]any{"created": true}})
	_ = rc.Flush()
	next := req.Create.StartRevision
	for {
		s.mu.Lock()
		changed := s.changed
		events := s.events(string(req.Create.Key), string(req.Create.RangeEnd), next)
		next = s.revision + 1
		if s.faults.SilentWatch {
			events = nil
		}
		s.mu.Unlock()
		if len(events) > 0 {
			if enc.Encode(map[string]any{"result": map[string]any{"events": events}}) != nil || rc.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

type jsonEvent struct {
	Type string `json:"type,omitempty"`
	KV   jsonKV `json:"kv"`
}

// events returns the changes of keys in [key, end) whose revision is at least from.
// The caller holds mu.
func (s *Server) events(key, end string, from int64) []jsonEvent {
	var out []jsonEvent
	for _, c := range s.log {
		if c.item.revision < from || !inRange(c.key, key, end) {
			continue
		}
		e := jsonEvent{KV: jsonKV{[]byte(c.key), c.item.value, c.item.revision}}
		if c.deleted {
			e.Type = "DELETE"
		}
		out = append(out, e)
	}
	return out
}
