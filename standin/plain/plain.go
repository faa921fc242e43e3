// Package plain is a stand-in for a plain service, an endpoint without a model.
// It counts each POST as a booking of the request's body, so that tests can
// detect a call that ran twice.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that the service injects.
type Faults struct {
	// Delay is the delay of every response; the call runs before it.
	Delay time.Duration
	// DropResponses is the number of further calls that run and whose connection is
	// then dropped.
	DropResponses int
	// MisroutedResponses is the number of further calls that get the response of the
	// preceding call, with its X-Request-Id.
	MisroutedResponses int
	// Padding is the number of bytes added to the body of every response.
	Padding int
}

// Server is a plain service, an http.Handler. It is safe for concurrent use.
type Server struct {
	// ID is the service field of the responses.
	ID string

	mu     sync.Mutex
	faults Faults
	// bookings counts the POST requests by body.
	bookings map[string]int
	total    int
	// last is the response to the preceding call.
	last booking
}

// New returns a service with the given ID and no bookings.
func New(id string) *Server {
	return &Server{ID: id, bookings: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Bookings returns the number of POST requests with the given body.
func (s *Server) Bookings(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bookings[body]
}

// Total returns the number of calls that ran, of any method.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// booking is the body of a response.
type booking struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	Request string `json:"request"`
	Body    string `json:"body"`
	Padding string `json:"padding,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.total++
	if r.Method == http.MethodPost {
		s.bookings[string(body)]++
	}
	b := booking{Service: s.ID, Number: s.total, Request: r.Header.Get("X-Request-Id"), Body: string(body), Padding: strings.Repeat("x", f.Padding)}
	drop := f.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	resp := b
	if f.MisroutedResponses > 0 && s.last.Request != "" {
		s.faults.MisroutedResponses--
		resp = s.last
	}
	s.last = b
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", resp.Request)
	_ = json.NewEncoder(w).Encode(resp)
}
