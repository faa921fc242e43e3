package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// askInterval is the time between two requests of a model at a gateway.
	askInterval = 60 * time.Millisecond
	// settledAfter is the time after the naming of a version from which requests are judged:
	// version_all_ms and contact_ms.
	settledAfter = 17*time.Second + 4*time.Second
	// judgedTime is how long requests are judged.
	judgedTime = 12 * time.Second
)

// runModels lets three engines, which hold two models each, get new weights of one of them. The
// route of that model was added by a later configuration.
func runModels(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	const models = `{"name":"alpha"},{"name":"beta"}`
	alphaPath, betaPath := path{"alpha", "llm"}, path{"beta", "llm"}
	s.putConfig(3, models, oneKey, alphaPath)
	engines, err := s.startEngines("llm", 3, map[string]int64{"alpha": 1, "beta": 1})
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
	var alpha, beta tally
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, modelCaller("alpha"), &alpha, &judging) })
	}
	sleep(ctx, 3*time.Second)
	s.putConfig(7, models, oneKey, alphaPath, betaPath)
	sleep(ctx, 4*time.Second)
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, modelCaller("beta"), &beta, &judging) })
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		for _, e := range engines {
			e.name("beta", 2)
		}
		s.putJSON("op/version/beta", `{"model":"beta","version":2}`)
	}
	sleep(ctx, settledAfter)
	judging.Store(true)
	s.add("judged from here")
	sleep(ctx, judgedTime)
	judging.Store(false)
	return s.compare(&alpha, &beta)
}

// modelCaller sends requests of a model, whose prompts begin with one of some shared parts.
func modelCaller(model string) caller {
	return caller{path: "/" + model + "/x", model: model, every: askInterval, prompt: func(id string) string {
		return fmt.Sprintf("%s:800,%x:660", sharedPart(model, id), time.Now().UnixNano())
	}}
}

// sharedParts is the number of shared parts of prompts of a model.
const sharedParts = 40

// sharedPart returns the id of the part that a request's prompt shares with others of its model.
func sharedPart(model, id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("%x%02x", model, h.Sum32()%sharedParts)
}
