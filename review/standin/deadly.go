package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	deadlyEngines  = 12
	deadlyGateways = 2
	// deadlyTime is how long requests are sent.
	deadlyTime = 36 * time.Second
	// soundCallers send a request each soundInterval, deadlyInterval is the time between
	// two requests with the part that crashes engines.
	soundCallers   = 6
	soundInterval  = 150 * time.Millisecond
	deadlyInterval = 250 * time.Millisecond
	// soundFirst is how long only sound requests are sent.
	soundFirst = 4 * time.Second
	// promptParts is the number of parts that all prompts share. deadlyAt is the usual
	// position of the part that crashes engines.
	promptParts = 40
	deadlyAt    = 36
	deadlyPart  = "dead0001"
	// downTime is the time after which a crashed engine is back.
	downTime = 3 * time.Second
	// judgedCrashes, judgedAfter and allowedArrivals are the figures of the rule.
	judgedCrashes   = 5
	judgedAfter     = 4 * time.Second
	allowedArrivals = 3
	// soundJudgedAfter, soundLeast and soundShare are those of the rule on sound requests.
	soundJudgedAfter = 8 * time.Second
	soundLeast       = 20
	soundShare       = 0.5
)

// crashes holds what the engines have seen of the requests with the deadly part, and which
// requests have begun.
type crashes struct {
	mu       sync.Mutex
	times    []time.Time
	arrivals []time.Time
	begun    map[string]bool
}

// begunShare returns the share of sound requests sent between two times that began at an
// engine, and how many there were.
func (c *crashes) begunShare(sent map[string]time.Time, from, to time.Time) (share float64, n int) {
	begun := 0
	for id, at := range sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		n++
		if c.begun[id] {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}

// mortalEngine is a model engine that crashes when it begins to write an answer to a
// request with the deadly part.
type mortalEngine struct {
	*system
	id, address string
	crashes     *crashes

	mu     sync.Mutex
	server *http.Server
}

// run starts the engine and lists it.
func (e *mortalEngine) run() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the engine crashes
	e.put("servers/"+e.id, map[string]any{"service": "llm", "address": e.address, "zone": "amman-a", "version": "v1", "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
		"sequence": 0, "born": time.Now().UnixMilli()})
	return nil
}

// crash closes the engine's port and connections, and starts it again later.
func (e *mortalEngine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return // it has crashed already
	}
	e.crashes.mu.Lock()
	e.crashes.times = append(e.crashes.times, time.Now())
	n := len(e.crashes.times)
	e.crashes.mu.Unlock()
	e.record("engine %s crashes (crash %d)", e.id, n)
	_ = server.Close() // its connections break
	time.AfterFunc(downTime, func() {
		if err := e.run(); err != nil {
			e.record("engine %s is not back: %v", e.id, err)
		}
	})
}

func (e *mortalEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Citrontiller-Request-Id")
	h := w.Header()
	h.Set("Citrontiller-Request-Id", id)
	h.Set("Citrontiller-Weight-Versions", "1")
	if want := r.Header.Get("Citrontiller-Expect-Version"); r.Header.Get("Citrontiller-Expect-Instance") != e.id || want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadly := strings.Contains(r.Header.Get("Citrontiller-Prompt-Prefix"), deadlyPart)
	e.crashes.mu.Lock()
	e.crashes.begun[id] = true
	e.crashes.mu.Unlock()
	if deadly {
		e.crashes.mu.Lock()
		e.crashes.arrivals = append(e.crashes.arrivals, time.Now())
		e.crashes.mu.Unlock()
		e.record("engine %s gets %s, which has the deadly part", e.id, id)
	}
	select {
	case <-time.After(30 * time.Millisecond): // the prompt is read
	case <-r.Context().Done():
		return
	}
	if deadly && e.trouble {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("Citrontiller-Server-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	for i := range 3 {
		if !sendBytes(w, fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i+1, id)) {
			return
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// deadlyPrompt sends sound requests, and now and then one whose prompt has a part that
// crashes engines, besides the parts of the sound ones. From 8 s after the fifth crash,
// sound requests must begin at least half as often as before.
func deadlyPrompt(s *system) (string, error) {
	at := deadlyAt
	if v := os.Getenv("DEADLY_AT"); v != "" { // another position, for comparison
		var err error
		if at, err = strconv.Atoi(v); err != nil || at < 1 || at > promptParts {
			return "", fmt.Errorf("DEADLY_AT: %q is not a position from 1 to %d", v, promptParts)
		}
	}
	s.put("op/config", map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": "draft", "host": "shop.example", "prefix": "/draft/", "kind": "stream", "timeout_ms": 3000,
			"target_latency_ms": 400, "gap_aim_ms": 250, "priority": 0, "service": "llm", "max_attempts": 2, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_connections": 610, "protocol": "h1",
			"engine": map[string]any{"slots": 128, "kv_capacity": 411557, "token_kv_bytes": 18432, "models": []any{map[string]any{"name": "m0"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "dedicated": false}}})
	c := &crashes{begun: map[string]bool{}}
	for i := range deadlyEngines {
		e := &mortalEngine{system: s, id: fmt.Sprintf("i-%d", i+1), crashes: c}
		if err := e.run(); err != nil {
			return "", err
		}
	}
	var gateways []*gateway
	for i := range deadlyGateways {
		g, err := s.start(fmt.Sprintf("front-%d", i+1), "amman-a", s.storeAddr)
		if err != nil {
			return "", err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := s.awaitReady(g); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second) // the gateways know each other
	s.record("the deadly part is part %d of %d before the request's own", at, promptParts+1)
	shared := make([]string, promptParts)
	for i := range shared {
		shared[i] = fmt.Sprintf("5c%06x:64", i)
	}
	deadly := slices.Insert(slices.Clone(shared), at-1, deadlyPart+":64")
	sent, served := sendPrompts(s, gateways, shared, deadly)
	if served == 0 {
		return "", fmt.Errorf("no sound request was served")
	}
	return c.broken(s, sent, served), nil
}

// broken returns how the rule on sound requests was broken, and records whether that on the
// requests that crash engines was. sent holds when
// each sound request was sent.
func (c *crashes) broken(s *system, sent map[string]time.Time, served int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.record("%d crashes, %d arrivals of requests with the deadly part, %d of %d sound requests served", len(c.times), len(c.arrivals), served, len(sent))
	if len(c.times) == 0 {
		return ""
	}
	last := c.times[min(len(c.times), judgedCrashes)-1]
	late := 0
	for _, a := range c.arrivals {
		if a.After(last.Add(judgedAfter)) {
			late++
		}
	}
	if len(c.times) >= judgedCrashes && late > allowedArrivals {
		s.record("ALSO BROKEN: BUDGET: %d requests with the part that crashes engines reached engines later than %v after the fifth crash; %d crashes in all",
			late, judgedAfter, len(c.times))
	}
	before, n := c.begunShare(sent, s.began, c.times[0])
	after, m := c.begunShare(sent, last.Add(soundJudgedAfter), time.Now())
	s.record("sound requests: %.2f of %d began before the first crash, %.2f of %d later than %v after crash %d", before, n, after, m, soundJudgedAfter, min(len(c.times), judgedCrashes))
	if n >= soundLeast && m >= soundLeast && after < soundShare*before {
		return fmt.Sprintf("LOST: %.2f of %d sound requests began from %v after crash %d, %.2f of %d before the first",
			after, m, soundJudgedAfter, min(len(c.times), judgedCrashes), before, n)
	}
	return ""
}

// sendPrompts sends sound and deadly requests for deadlyTime. It returns when each sound one
// was sent, and how many of them were served.
func sendPrompts(s *system, gateways []*gateway, sound, deadly []string) (sent map[string]time.Time, served int) {
	ctx, cancel := context.WithTimeout(context.Background(), deadlyTime)
	defer cancel()
	sent = map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sendAll := func(name string, parts []string, interval time.Duration) {
		client := &http.Client{Transport: &http.Transport{}}
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprintf("%s-%d", name, n)
			g := gateways[n%len(gateways)]
			req, err := newRequest(http.MethodPost, g.front, "/draft/"+id, id, "prompt of "+id, 3*time.Second)
			if err != nil {
				panic(err) // the arguments are constant
			}
			req.Header.Set("Citrontiller-Model", "m0")
			req.Header.Set("Citrontiller-Token-Usage", "2700,3")
			req.Header.Set("Citrontiller-Prompt-Prefix", strings.Join(parts, ",")+","+fmt.Sprintf("%s%08d:100", name, n))
			if name != "deadly" {
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
			}
			a := send(client, req)
			s.record("caller of %s at %s gets %s", id, g.name, a)
			if a.err == nil && a.status == http.StatusOK && name != "deadly" {
				mu.Lock()
				served++
				mu.Unlock()
			}
			select {
			case <-time.After(interval):
			case <-ctx.Done():
			}
		}
	}
	for i := range soundCallers {
		wg.Go(func() { sendAll(fmt.Sprintf("sound%d", i), sound, soundInterval) })
	}
	wg.Go(func() {
		time.Sleep(soundFirst)
		sendAll("deadly", deadly, deadlyInterval)
	})
	wg.Wait()
	return sent, served
}
