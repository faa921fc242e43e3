package kv

import (
	"net/http"
	"time"
)

// lease is a lease that a client has been granted.
type lease struct {
	ttl     time.Duration
	expires time.Time
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

// jsonLease is a request for a lease, or about one, and its answer.
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
