package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historyTime is the time for which the store keeps changes, history_s.
	historyTime = 20 * time.Second
	// largeEntries is the number of entries of the other writer, in one transaction of at most
	// 32. valueBytes is the largest value that the store takes, value_bytes.
	largeEntries, valueBytes = 7, 1 << 20
	// configApplyTime is config_apply_ms.
	configApplyTime = 2500 * time.Millisecond
	// revokedTime is how long a withdrawn key is used on.
	revokedTime = 12 * time.Second
)

// historyStore is a store that drops changes that are older than historyTime.
type historyStore struct {
	http.Handler
	mu        sync.Mutex
	revisions []agedRevision
}

type agedRevision struct {
	at       time.Time
	revision int64
}

// run drops changes until ctx ends.
func (h *historyStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		w := httptest.NewRecorder()
		h.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-range?prefix=none", nil))
		var out struct {
			CurrentRev int64 `json:"current_rev"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
			panic(err) // the store answers with JSON
		}
		h.mu.Lock()
		h.revisions = append(h.revisions, agedRevision{time.Now(), out.CurrentRev})
		for len(h.revisions) > 1 && time.Since(h.revisions[1].at) > historyTime {
			h.revisions = h.revisions[1:]
		}
		h.mu.Unlock()
		sleep(ctx, 100*time.Millisecond)
	}
}

// ServeHTTP implements http.Handler. A watch from a revision whose changes are dropped gets 410.
func (h *historyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/kv-watch" {
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0 without one
		h.mu.Lock()
		oldest := h.revisions[0]
		h.mu.Unlock()
		if time.Since(oldest.at) > historyTime && after < oldest.revision {
			w.Header().Set("Store-Era", "0")
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	h.Handler.ServeHTTP(w, r)
}

// putLarge writes entries whose bytes can't be read, as another writer does.
func (s *system) putLarge(address string) error {
	type put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	}
	t := struct {
		Expected []string `json:"expected"`
		Puts     []put    `json:"puts"`
		Remove   []string `json:"remove"`
	}{Expected: []string{}, Remove: []string{}}
	for i := range largeEntries {
		value := make([]byte, valueBytes)
		_, _ = rand.Read(value) // never fails
		t.Puts = append(t.Puts, put{Key: fmt.Sprint("servers/blob-", i), Value: value})
	}
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+address+"/v1/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	s.add("another writer writes %d entries of %d bytes: %d", largeEntries, valueBytes, resp.StatusCode)
	return nil
}

// runLarge lets another writer write large entries, and the operator withdraw a key just after.
func runLarge(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	store := &historyStore{Handler: s.store, revisions: []agedRevision{{time.Now(), 0}}}
	wg.Go(func() { store.run(ctx) })
	address, err := s.listen(store)
	if err != nil {
		return false, err
	}
	const models = `{"name":"alpha"}`
	firstPath := path{"first", "llm"}
	s.putConfig(3, models, []string{"key", "key-2"}, firstPath)
	engines, err := s.startEngines("llm", 3, map[string]int64{"alpha": 1})
	if err != nil {
		return false, err
	}
	if err := s.startGateways(address); err != nil {
		return false, err
	}
	var judging atomic.Bool
	var kept, withdrawn tally
	for _, g := range s.gateways {
		wg.Go(func() { s.askAll(ctx, g, plainCaller("first"), &kept, &judging) })
	}
	sleep(ctx, 6*time.Second)
	if trouble {
		if err := s.putLarge(address); err != nil {
			return false, err
		}
	}
	s.putConfig(7, models, []string{"key"}, firstPath)
	sleep(ctx, configApplyTime)
	judging.Store(true)
	s.add("judged from here")
	old := plainCaller("first")
	old.key, old.name = "key-2", "withdrawn"
	judgedCtx, end := context.WithTimeout(ctx, revokedTime)
	defer end()
	var askers sync.WaitGroup
	for _, g := range s.gateways {
		askers.Go(func() { s.askAll(judgedCtx, g, old, &withdrawn, &judging) })
	}
	askers.Wait()
	judging.Store(false)
	ran := 0
	for _, e := range engines {
		ran += e.ranWith("withdrawn")
	}
	s.add("kept key: %d requests, %d served", kept.asked.Load(), kept.served.Load())
	s.add("withdrawn key: %d requests, %d have run at an engine", withdrawn.asked.Load(), ran)
	if withdrawn.asked.Load() < minJudged || kept.served.Load() == 0 {
		return false, fmt.Errorf("%w: too few requests", errNotRun)
	}
	return ran == 0, nil
}
