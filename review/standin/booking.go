package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case: the rates of the sheet's slot-book, and the dose of answer_lost that
// the site's days name.
const (
	bookingCallers  = 6
	bookingInterval = 130 * time.Millisecond // a caller's; 46 requests a second in all
	bookingTime     = 12 * time.Second
	lostFrom        = 3 * time.Second
	lostFor         = 6 * time.Second
	// lostOneIn: one answer in so many is lost at one of the three servers while the
	// disruption lasts.
	lostOneIn = 10
	// bookingWork is the time for which a booking runs.
	bookingWork = 30 * time.Millisecond
)

// desk is a server that books. It keeps connections and runs each request that it reads.
type desk struct {
	*system
	id    string
	since time.Time
	// loses is true for the server that loses answers.
	loses bool

	mu    sync.Mutex
	count int
	runs  *bookingRuns
}

// bookingRuns holds the servers that ran each request, and the requests whose answer was
// lost.
type bookingRuns struct {
	mu   sync.Mutex
	by   map[string][]string
	lost map[string]bool
}

// losesAnswer reports whether the answer to this run is lost.
func (d *desk) losesAnswer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Since(d.since)
	if !d.trouble || !d.loses || at < lostFrom || at > lostFrom+lostFor {
		return false
	}
	d.count++
	return d.count%lostOneIn == 0
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Citrontiller-Request-Id")
	w.Header().Set("Citrontiller-Request-Id", id)
	if r.Header.Get("Citrontiller-Expect-Instance") != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.runs.mu.Lock()
	d.runs.by[id] = append(d.runs.by[id], d.id)
	n := len(d.runs.by[id])
	d.runs.mu.Unlock()
	lose := d.losesAnswer()
	d.record("server %s runs %s (run %d of it)%s", d.id, id, n, map[bool]string{true: "; its answer will be lost"}[lose])
	time.Sleep(bookingWork)
	if lose {
		d.runs.mu.Lock()
		d.runs.lost[id] = true
		d.runs.mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	w.Header().Set("Citrontiller-Server-Stamp", d.id+"."+id)
	fmt.Fprintf(w, "booked %s", id)
}

// repeatedBooking sends bookings that have an Idempotency-Key and no body, while one
// server loses some answers. No booking may run more than once.
func repeatedBooking(s *system) (string, error) {
	runs := &bookingRuns{by: map[string][]string{}, lost: map[string]bool{}}
	began := time.Now()
	s.put("op/config", map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": "slot-book", "host": "shop.example", "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1200,
			"target_latency_ms": 250, "priority": 2, "service": "desk", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "dedicated": false}}})
	for i := range 3 {
		d := &desk{system: s, id: fmt.Sprintf("i-%d", i+1), since: began, loses: i == 0, runs: runs}
		address, err := serve(d)
		if err != nil {
			return "", err
		}
		s.put("servers/"+d.id, map[string]any{"service": "desk", "address": address, "zone": "amman-a", "version": "v1", "slots": 6,
			"state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": began.UnixMilli()})
	}
	g, err := s.start("front-1", "amman-a", s.storeAddr)
	if err != nil {
		return "", err
	}
	if err := s.awaitReady(g); err != nil {
		return "", err
	}
	answers := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range bookingCallers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Since(began) < bookingTime; n++ {
				id := fmt.Sprintf("b%d-%d", i, n)
				req, err := newRequest(http.MethodPost, g.front, "/book/"+id, id, "", 2500*time.Millisecond)
				if err != nil {
					panic(err) // the arguments are constant
				}
				req.Header.Set("Idempotency-Key", "order-"+id)
				s.record("caller sends %s", id)
				a := send(client, req)
				s.record("caller of %s gets %s", id, a)
				mu.Lock()
				answers[a.status]++
				mu.Unlock()
				time.Sleep(bookingInterval)
			}
		})
	}
	wg.Wait()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	var twice []string
	for id, by := range runs.by {
		if len(by) > 1 {
			twice = append(twice, fmt.Sprintf("%s at %s", id, strings.Join(by, ", ")))
		}
	}
	slices.Sort(twice)
	s.record("%d requests ran, the answers of %d were lost; statuses %v", len(runs.by), len(runs.lost), answers)
	if answers[http.StatusOK] == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if len(twice) > 0 {
		return fmt.Sprintf("TWICE: %d bookings ran more than once: %s", len(twice), strings.Join(twice, "; ")), nil
	}
	return "", nil
}
