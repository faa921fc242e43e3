package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashEngines is the number of engines: the crash of one is a share of less than 0.15.
	crashEngines = 7
	// downTime is how long an engine is down.
	downTime = 3 * time.Second
	// crashPause is the least time between two crashes.
	crashPause = 300 * time.Millisecond
	// prefillTime is the time to the first event of an answer, as the sheets aim at.
	prefillTime = 400 * time.Millisecond
	// calmAfter is the time after the last crash from which requests are judged: until the
	// engine is back, contact_ms and recovery_s.
	calmAfter = downTime + 4*time.Second + 12*time.Second
	// crashJudgedTime is how long requests are judged.
	crashJudgedTime = 40 * time.Second
	// laterInterval is the time between two requests of the later route at a gateway.
	laterInterval = 4 * time.Second
)

// runCrashes lets two of seven engines crash one after the other, each while it computes the
// prompt of a request of a route that was added later. All prompts of that route begin with the
// same part.
func runCrashes(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	const models = `{"name":"alpha"}`
	firstPath, laterPath := path{"first", "llm"}, path{"later", "llm"}
	s.putConfig(3, models, oneKey, firstPath)
	engines, err := s.startEngines("llm", crashEngines, map[string]int64{"alpha": 1})
	if err != nil {
		return false, err
	}
	storeAddress, err := s.listen(s.store)
	if err != nil {
		return false, err
	}
	if err := s.startGateways(storeAddress); err != nil {
		return false, err
	}
	for _, e := range engines {
		e.prefill = prefillTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var judging atomic.Bool
	var first, later tally
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, firstCaller, &first, &judging) })
	}
	sleep(ctx, 3*time.Second)
	s.putConfig(7, models, oneKey, firstPath, laterPath)
	sleep(ctx, 4*time.Second)
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, laterCaller, &later, &judging) })
		sleep(ctx, laterInterval/fleetGateways)
	}
	sleep(ctx, 5*time.Second)
	for i := 0; trouble && i < 2; i++ {
		onlyOne(engines, laterCaller.path).crash(downTime)
		sleep(ctx, crashPause)
	}
	sleep(ctx, calmAfter)
	judging.Store(true)
	s.add("judged from here")
	sleep(ctx, crashJudgedTime)
	judging.Store(false)
	return s.compare(&first, &later)
}

// onlyOne waits until just one request below a path is in its prefill, and returns its engine.
func onlyOne(engines []*engine, path string) *engine {
	for {
		var at *engine
		all := 0
		for _, e := range engines {
			if n := e.inPrefill(path); n > 0 {
				at = e
				all += n
			}
		}
		if all == 1 {
			return at
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// firstCaller sends prompts of their own, laterCaller prompts that begin with the same part.
var (
	firstCaller = caller{path: "/first/x", model: "alpha", every: askInterval, prompt: func(string) string {
		return fmt.Sprintf("%x:1460", time.Now().UnixNano())
	}}
	laterCaller = caller{path: "/later/x", model: "alpha", every: laterInterval, prompt: func(string) string {
		return fmt.Sprintf("5c1e07a2:800,%x:660", time.Now().UnixNano())
	}}
)
