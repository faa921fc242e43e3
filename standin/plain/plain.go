// Package plain is a stand-in for a plain service that books things: each POST
// counts as one booking.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the switches of the stand-in.
type Faults struct {
	// Delay slows every call.
	Delay time.Duration
	// DropAnswers books and then drops the connection.
	DropResponses int
	// CrossAnswers is how many calls get the answer of the call before them,
	// with its X-Request-Id.
	MisroutedResponses int
	// Padding is added to the body of every answer, in bytes.
	Padding int
}

// Server is a plain service.
type Server struct {
	ID string

	mu     sync.Mutex
	faults Faults
	bodies map[string]int
	total  int
	last   booking
}

// New returns a service.
func New(id string) *Server {
	return &Server{ID: id, bodies: map[string]int{}}
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Bookings returns how often a body was booked.
func (s *Server) Bookings(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[body]
}

// Total returns the number of calls that were run.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

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
		s.bodies[string(body)]++
	}
	b := booking{Service: s.ID, Number: s.total, Request: r.Header.Get("X-Request-Id"), Body: string(body), Padding: strings.Repeat("x", f.Padding)}
	drop := f.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	answer := b
	if f.MisroutedResponses > 0 && s.last.Request != "" {
		s.faults.MisroutedResponses--
		answer = s.last
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
	w.Header().Set("X-Request-Id", answer.Request)
	_ = json.NewEncoder(w).Encode(answer)
}
