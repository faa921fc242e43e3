package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignEntry is an entry of another writer, with an address and a start time. No
	// configuration names its service.
	foreignEntry = `{"service":"inventory","address":%q,"zone":"amman-a","version":"1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`
	// foreignSettled is the time after the foreign entries from which requests are judged.
	foreignSettled = 8 * time.Second
)

// runForeign lets another writer register the addresses of the engines of a service under a
// service of its own. The route to these engines was added by a later configuration.
func runForeign(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	const models = `{"name":"alpha"}`
	firstPath, laterPath := path{"first", "llm"}, path{"later", "desk"}
	s.putConfig(3, models, oneKey, firstPath)
	if _, err := s.startEngines("llm", 3, map[string]int64{"alpha": 1}); err != nil {
		return false, err
	}
	engines, err := s.startEngines("desk", 3, map[string]int64{"alpha": 1})
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
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var judging atomic.Bool
	var first, later tally
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, plainCaller("first"), &first, &judging) })
	}
	sleep(ctx, 3*time.Second)
	s.putConfig(7, models, oneKey, firstPath, laterPath)
	sleep(ctx, 4*time.Second)
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, plainCaller("later"), &later, &judging) })
	}
	sleep(ctx, 5*time.Second)
	for i, e := range engines {
		if trouble {
			s.putJSON(fmt.Sprint("servers/inventory-", i), fmt.Sprintf(foreignEntry, e.address, time.Now().UnixMilli()))
		}
	}
	sleep(ctx, foreignSettled)
	judging.Store(true)
	s.add("judged from here")
	sleep(ctx, judgedTime)
	judging.Store(false)
	return s.compare(&first, &later)
}

// plainCaller sends prompts that share no part.
func plainCaller(name string) caller {
	return caller{path: "/" + name + "/x", model: "alpha", every: askInterval, prompt: func(string) string {
		return fmt.Sprintf("%x:1460", time.Now().UnixNano())
	}}
}
