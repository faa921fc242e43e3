// Package hosts is a stand-in for the platform's host list.
package hosts

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/plugins/httpsd"
)

// Server serves a host list with a lag.
type Server struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	delay time.Duration
	lists []version
	// unchanged counts the answers without a list.
	unchanged int
}

type version struct {
	from  time.Time
	hosts []infra.Host
}

// New returns an empty list.
func New() *Server { return &Server{} }

// SetLag delays the effect of every later Set.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	s.lag = d
	s.mu.Unlock()
}

// SetDown makes the list answer with 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// SetDelay slows every answer.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// Set replaces the list, effective after the lag.
func (s *Server) Set(hosts []infra.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, version{from: time.Now().Add(s.lag), hosts: append([]infra.Host(nil), hosts...)})
}

// SetState changes one endpoint's state, effective after the lag.
func (s *Server) SetState(id string, state infra.HostState) {
	s.mu.Lock()
	var hosts []infra.Host
	if n := len(s.lists); n > 0 {
		hosts = append(hosts, s.lists[n-1].hosts...)
	}
	s.mu.Unlock()
	for i := range hosts {
		if hosts[i].ID == id {
			hosts[i].State = state
		}
	}
	s.Set(hosts)
}

func (s *Server) visible() []infra.Host {
	now := time.Now()
	var out []infra.Host
	for _, v := range s.lists {
		if !v.from.After(now) {
			out = v.hosts
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	groups := []httpsd.Group{}
	for _, h := range s.visible() {
		groups = append(groups, httpsd.Group{Targets: []string{h.Address}, Labels: map[string]string{
			httpsd.LabelID: h.ID, httpsd.LabelService: h.Service, httpsd.LabelKind: string(h.Kind), httpsd.LabelAgent: h.Agent,
			httpsd.LabelRegion: h.Region, httpsd.LabelFailureDomain: h.FailureDomain, httpsd.LabelState: string(h.State)}})
	}
	body, _ := json.Marshal(groups)
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		s.unchanged++
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// Unchanged returns how often the answer was that nothing has changed.
func (s *Server) NotModified() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unchanged
}
