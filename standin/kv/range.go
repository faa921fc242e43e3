package kv

import (
	"net/http"
	"sort"
	"time"
)

type jsonKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type jsonHeader struct {
	Revision int64 `json:"revision,string"`
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
