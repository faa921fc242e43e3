package engine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type block struct {
	salt string
	boot string
	used time.Time
	// end is the offset of the block's end in its prompt, in bytes.
	end int
}

// event is a cache event as sent on /v1/cache/events.
type event struct {
	Seq       uint64      `json:"seq"`
	BootID    string      `json:"boot_id"`
	Type      string      `json:"type"`
	RequestID string      `json:"request_id,omitempty"`
	Blocks    []jsonBlock `json:"blocks,omitempty"`
	// deliverAt is the time at which the event is sent, lost whether it is dropped
	// instead.
	deliverAt time.Time
	lost      bool
}

type jsonBlock struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
}

// cachePrompt looks up the prompt's blocks in the cache and stores the missing
// ones. It returns the prompt's total and cached tokens, at 4 bytes per token.
func (s *Server) cachePrompt(text, salt, request string) (prompt, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.evict(now)
	prompt = max(1, len(text)/4)
	h := xxhash.New()
	_, _ = h.WriteString(salt)
	hit := true
	var stored []jsonBlock
	for end := BlockBytes; end <= len(text); end += BlockBytes {
		_, _ = h.WriteString(text[end-BlockBytes : end])
		key := h.Sum64()
		b := s.cache[key]
		if b != nil && hit {
			if b.salt != salt || b.boot != s.boot {
				s.counts.InvalidCacheHits++
			}
			cached = end / 4
			b.used = now
			continue
		}
		hit = false
		s.cache[key] = &block{salt: salt, boot: s.boot, used: now, end: end}
		stored = append(stored, jsonBlock{key, int64(end / 4)})
	}
	if len(stored) > 0 {
		s.emit("stored", request, stored)
	}
	s.counts.PromptTokens += prompt
	s.counts.CachedTokens += cached
	s.counts.CachedBySalt[salt] += cached
	return prompt, cached
}

// evict removes the blocks that were unused for BlockLifetime and then those over
// capacity. The caller holds mu.
func (s *Server) evict(now time.Time) {
	var evicted []jsonBlock
	for k, b := range s.cache {
		if now.Sub(b.used) > s.opts.BlockLifetime {
			evicted = append(evicted, jsonBlock{Hash: k})
		}
	}
	for _, b := range evicted {
		delete(s.cache, b.Hash)
	}
	evicted = append(evicted, s.evictOverCapacity()...)
	if len(evicted) > 0 {
		s.emit("removed", "", evicted)
	}
}

// evictOverCapacity removes and returns the least recently used blocks over
// capacity; among equally old ones, those deepest in their prompts come first.
// The caller holds mu.
func (s *Server) evictOverCapacity() []jsonBlock {
	over := len(s.cache) - s.opts.CacheBlocks
	if over <= 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(s.cache), func(a, b uint64) int {
		x, y := s.cache[a], s.cache[b]
		return cmp.Or(x.used.Compare(y.used), cmp.Compare(y.end, x.end), cmp.Compare(a, b))
	})
	evicted := make([]jsonBlock, 0, over)
	for _, k := range keys[:over] {
		delete(s.cache, k)
		evicted = append(evicted, jsonBlock{Hash: k})
	}
	return evicted
}

// emit appends a cache event of the given type. The caller holds mu.
func (s *Server) emit(kind, request string, blocks []jsonBlock) {
	seq := uint64(1)
	if n := len(s.events); n > 0 {
		seq = s.events[n-1].Seq + 1
	}
	s.events = append(s.events, event{Seq: seq, BootID: s.boot, Type: kind, RequestID: request, Blocks: blocks,
		deliverAt: time.Now().Add(s.faults.EventDelay), lost: s.rng.Float64() < s.faults.EventLoss})
	if len(s.events) > 8192 {
		s.events = append([]event(nil), s.events[4096:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serveEvents streams the cache events with a sequence number above the query
// parameter after.
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_, _ = fmt.Sscanf(r.URL.Query().Get("after"), "%d", &after)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		s.mu.Lock()
		changed := s.changed
		var due []event
		var wait time.Duration
		for _, e := range s.events {
			if e.Seq <= after {
				continue
			}
			if d := time.Until(e.deliverAt); d > 0 {
				wait = d
				break
			}
			after = e.Seq
			if !e.lost {
				due = append(due, e)
			}
			if s.faults.EventRepeat {
				due = append(due, e)
			}
		}
		s.mu.Unlock()
		for _, e := range due {
			b, _ := json.Marshal(e)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
		case <-r.Context().Done():
			return
		}
	}
}
