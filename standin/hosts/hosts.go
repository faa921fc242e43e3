// Package hosts is a stand-in for the platform's host list, in the HTTP service
// discovery format that plugins/httpsd reads.
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

// Server is a host list, an http.Handler. Changes of the list take effect after a
// configurable lag. It is safe for concurrent use.
type Server struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	delay time.Duration
	// lists holds all versions of the list, oldest first.
	lists []version
	// notModified is the number of responses with status 304.
	notModified int
}

// version is a host list and the time from which it is served.
type version struct {
	effective time.Time
	hosts     []infra.Host
}

// New returns a server with an empty list and no lag.
func New() *Server { return &Server{} }

// SetLag sets the time after which later changes of the list take effect.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	s.lag = d
	s.mu.Unlock()
}

// SetDown sets whether requests fail with status 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// SetDelay sets the delay of every response.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// Set replaces the list after the lag.
func (s *Server) Set(hosts []infra.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, version{effective: time.Now().Add(s.lag), hosts: append([]infra.Host(nil), hosts...)})
}

// SetState changes the state of one endpoint in the newest list after the lag.
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

// current returns the list that is in effect now. The caller holds mu.
func (s *Server) current() []infra.Host {
	now := time.Now()
	var out []infra.Host
	for _, v := range s.lists {
		if !v.effective.After(now) {
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
	for _, h := range s.current() {
		groups = append(groups, httpsd.Group{Targets: []string{h.Address}, Labels: map[string]string{
			httpsd.LabelID: h.ID, httpsd.LabelService: h.Service, httpsd.LabelKind: string(h.Kind), httpsd.LabelAgent: h.Agent,
			httpsd.LabelRegion: h.Region, httpsd.LabelFailureDomain: h.FailureDomain, httpsd.LabelState: string(h.State)}})
	}
	body, _ := json.Marshal(groups)
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		s.notModified++
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// NotModified returns the number of responses with status 304 (Not Modified).
func (s *Server) NotModified() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notModified
}
