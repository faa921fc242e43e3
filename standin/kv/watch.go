package kv

import (
	"encoding/json"
	"net/http"
)

// change is a write or a deletion of a key.
type change struct {
	key     string
	item    item
	deleted bool
}

// notify wakes the open watches. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
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
