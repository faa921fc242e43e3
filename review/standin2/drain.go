package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// drainTime is the time in which requests may still reach an engine that has left the list
	// (drain_ms).
	drainTime = 2500 * time.Millisecond
	// drainAway is the time from the removal of an entry until the store is away, and drainCopy the
	// time from the copy until then.
	drainAway, drainCopy = 2 * time.Second, 3500 * time.Millisecond
	// drainRewrite is the time from a drill until the operator and the engines have written again.
	drainRewrite = 800 * time.Millisecond
	// leftAfter is the time from the removal of its entry until the engine ends.
	leftAfter = 5 * time.Second
	// bookingTime is how long a booking runs.
	bookingTime = 300 * time.Millisecond
	// bookingCallers is the number of callers at each gateway.
	bookingCallers = 4
	// departures is the number of engines that leave, one after the other.
	departures = 5
)

const drainConfig = `{"version":1,"routes":[{"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1200,"target_latency_ms":250,
"priority":2,"service":"desk","max_attempts":1,"public":true,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// desk is a stand-in of an engine that books.
type desk struct {
	id     string
	server *httptest.Server

	mu sync.Mutex
	// arrivals holds when each booking has arrived.
	arrivals map[string]time.Time
}

func newDesk(id string) *desk {
	d := &desk{id: id, arrivals: map[string]time.Time{}}
	d.server = httptest.NewServer(d)
	return d
}

// entry returns the engine's entry in the store.
func (d *desk) entry() any {
	return map[string]any{"service": "desk", "address": d.server.Listener.Addr().String(), "zone": "zone-e", "version": "v1", "slots": 16,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": bornMs}
}

// ServeHTTP runs a booking.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // only then is the end of the connection noticed
	id := r.Header.Get("Citrontiller-Request-Id")
	w.Header().Set("Citrontiller-Request-Id", id)
	if r.Header.Get("Citrontiller-Expect-Instance") != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.mu.Lock()
	d.arrivals[id] = time.Now()
	d.mu.Unlock()
	time.Sleep(bookingTime)
	w.Header().Set("Citrontiller-Server-Stamp", d.id+".1")
	_, _ = io.WriteString(w, "booked "+id) // the caller may have left
}

// end ends the engine at once.
func (d *desk) end() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// drainSystem is two gateways with the platform, engines that book and callers around them.
type drainSystem struct {
	record   *record
	store    *platformtest.Store
	server   *httptest.Server
	gateways []*gateway
	desks    []*desk
	next     int
	done     chan struct{}

	mu sync.Mutex
	// sent is when each booking was sent, and status its answer, 0 for none.
	sent   map[string]time.Time
	status map[string]int
}

// playDrain has engines leave whose entries are removed without a word before. With trouble, there is
// a drill of the store after each, whose copy still has the entry.
func playDrain(r *record, trouble bool) (bool, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // it is temporary
	s := &drainSystem{record: r, store: platformtest.NewStore(), done: make(chan struct{}), sent: map[string]time.Time{}, status: map[string]int{}}
	s.server = httptest.NewServer(s.store)
	defer s.server.Close()
	defer s.server.CloseClientConnections()
	s.store.Put("op/config", rawJSON(drainConfig))
	for range 3 {
		s.addDesk()
	}
	defer func() {
		for _, d := range s.desks {
			d.end()
		}
	}()
	for _, name := range []string{"a", "b"} {
		g, err := newGateway(folder, name, s.server.Listener.Addr().String(), "drain_ms: 2500")
		if err != nil {
			return false, err
		}
		if err := g.start(); err != nil {
			return false, err
		}
		defer g.stop()
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	defer close(s.done)
	for _, g := range s.gateways {
		for i := range bookingCallers {
			go s.book(g, i)
		}
	}
	broken := false
	for range departures {
		time.Sleep(6 * time.Second)
		late, err := s.depart(trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late
	}
	return broken, nil
}

// addDesk adds an engine.
func (s *drainSystem) addDesk() {
	d := newDesk("i-" + strconv.Itoa(s.next))
	s.next++
	s.desks = append(s.desks, d)
	s.store.Put("servers/"+d.id, d.entry())
}

// remove removes the entry of an engine, as its owner does.
func (s *drainSystem) remove(d *desk) error {
	body := fmt.Sprintf(`{"expected":[],"puts":[],"remove":["servers/%s"]}`, d.id)
	resp, err := http.Post("http://"+s.server.Listener.Addr().String()+"/v1/kv-txn", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // it isn't needed
	if resp.StatusCode != http.StatusOK {
		return errors.New("entry not removed: " + resp.Status)
	}
	return nil
}

// depart has the first engine leave, and reports whether bookings that were sent later than drainTime
// after the removal of its entry have reached it.
func (s *drainSystem) depart(trouble bool) (bool, error) {
	d := s.desks[0]
	s.addDesk() // the new one starts first
	time.Sleep(time.Second)
	restore, copied := s.store.Snapshot(), time.Now()
	time.Sleep(drainCopy - drainAway)
	if err := s.remove(d); err != nil {
		return false, err
	}
	removed := time.Now()
	s.record.add("the entry of %s is removed; it goes on serving", d.id)
	if trouble {
		time.Sleep(drainAway)
		s.store.SetDown(true)
		s.record.add("the store is away")
		time.Sleep(awayTime)
		restore()
		s.store.SetDown(false)
		s.record.add("the store is back from a copy %.1f s old", time.Since(copied).Seconds())
		time.Sleep(drainRewrite)
		s.store.Put("op/config", rawJSON(drainConfig))
		for _, other := range s.desks[1:] {
			s.store.Put("servers/"+other.id, other.entry())
		}
		if err := s.remove(d); err != nil {
			return false, err
		}
		s.record.add("the operator and the engines have written again, the entry of %s is removed again", d.id)
	}
	time.Sleep(time.Until(removed.Add(leftAfter)))
	d.end()
	s.record.add("%s ends", d.id)
	s.desks = s.desks[1:]
	time.Sleep(2 * time.Second)
	return s.check(d, removed), nil
}

// check reports whether bookings have reached an engine too late.
func (s *drainSystem) check(d *desk, removed time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	late, lost, last := 0, 0, time.Duration(0)
	for id, at := range d.arrivals {
		if s.sent[id].Sub(removed) <= drainTime {
			continue
		}
		late++
		last = max(last, at.Sub(removed))
		if s.status[id] != http.StatusOK {
			lost++
		}
		s.record.add("%s was sent %.3f s and reached %s %.3f s after the removal, answered %d", id, s.sent[id].Sub(removed).Seconds(), d.id, at.Sub(removed).Seconds(), s.status[id])
	}
	if late > 0 {
		s.record.add("DRAIN broken: %d bookings sent later than %v after the removal reached %s, the last one %.3f s after it; %d of them were lost", late, drainTime, d.id, last.Seconds(), lost)
	}
	return late > 0
}

// book books at a gateway, one booking after the other.
func (s *drainSystem) book(g *gateway, caller int) {
	client := &http.Client{Timeout: 4 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-s.done:
			return
		case <-time.After(callPause):
		}
		id := fmt.Sprintf("%s-%d-%d", g.name, caller, i)
		req, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/book/x", strings.NewReader("x"))
		if err != nil {
			panic(err) // the address is valid
		}
		req.Host = "h"
		req.Header.Set("Citrontiller-Request-Id", id)
		req.Header.Set("Citrontiller-Deadline-Ms", "2500")
		s.mu.Lock()
		s.sent[id] = time.Now()
		s.mu.Unlock()
		status := 0
		if resp, err := client.Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close() // it was read
			if err == nil {
				status = resp.StatusCode
			}
		}
		s.mu.Lock()
		s.status[id] = status
		s.mu.Unlock()
	}
}
