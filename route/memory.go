package route

import (
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// initialHold is how long requests are assumed to run before any has ended.
	initialHold = 3 * time.Second
	// holdWeight is the weight of a new observation of that time.
	holdWeight = 0.05
	// maxHold is how long a request counts without word of its end.
	maxHold = 30 * time.Second
	// usableMemory is the part of an engine's memory that running requests fill
	// before others have to wait.
	usableMemory = 0.95
)

// memory is what the running requests hold of an engine's memory, in tokens.
// Prefixes that several of them share count once.
type memory struct {
	running map[workKey]holding
	// shared counts the running requests that share a prefix.
	shared map[uint64]int
	tokens float64
	// hold is how long requests run lately, 0 when unknown.
	hold time.Duration
	// sweptAt is when requests without word of their end were looked for.
	sweptAt time.Time
}

// holding is what one request holds.
type holding struct {
	levels []prefix.Level
	own    float64
	since  time.Time
}

// take adds a request with its shared prefixes and the length of its prompt.
func (m *memory) take(key workKey, levels []prefix.Level, prompt float64, now time.Time) {
	m.sweep(now)
	if m.running == nil {
		m.running, m.shared = map[workKey]holding{}, map[uint64]int{}
	}
	h := holding{levels: levels, own: prompt, since: now}
	var before int64
	for _, l := range levels {
		h.own -= float64(l.Tokens - before)
		m.shared[l.Hash]++
		if m.shared[l.Hash] == 1 {
			m.tokens += float64(l.Tokens - before)
		}
		before = l.Tokens
	}
	h.own = max(0, h.own)
	m.tokens += h.own
	m.running[key] = h
}

// release takes off a request that has ended.
func (m *memory) release(key workKey, now time.Time) {
	h, ok := m.running[key]
	if !ok {
		return
	}
	delete(m.running, key)
	m.tokens -= h.own
	var before int64
	for _, l := range h.levels {
		m.shared[l.Hash]--
		if m.shared[l.Hash] == 0 {
			m.tokens -= float64(l.Tokens - before)
			delete(m.shared, l.Hash)
		}
		before = l.Tokens
	}
	if m.hold == 0 {
		m.hold = initialHold
	}
	m.hold += time.Duration(holdWeight * float64(now.Sub(h.since)-m.hold))
}

// forget drops the requests that a process has sent.
func (m *memory) forget(sender string, now time.Time) {
	for key := range m.running {
		if key.sender == sender {
			m.release(key, now)
		}
	}
}

// sweep forgets requests of whose end no word came.
func (m *memory) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < maxHold/10 {
		return
	}
	m.sweptAt = now
	for key, h := range m.running {
		if now.Sub(h.since) > maxHold {
			m.release(key, now)
		}
	}
}

// wait returns the time until a request finds room in a memory of a size in
// tokens, in milliseconds. What runs is taken to end at a steady rate.
func (m *memory) wait(levels []prefix.Level, prompt, size float64) float64 {
	if size <= 0 || m.tokens <= 0 {
		return 0
	}
	excess := m.tokens + m.need(levels, prompt) - usableMemory*size
	if excess <= 0 {
		return 0
	}
	hold := m.hold
	if hold == 0 {
		hold = initialHold
	}
	return min(1, excess/m.tokens) * ms(hold)
}

// need returns the memory that a request adds.
func (m *memory) need(levels []prefix.Level, prompt float64) float64 {
	var before int64
	for _, l := range levels {
		if m.shared[l.Hash] > 0 {
			prompt -= float64(l.Tokens - before)
		}
		before = l.Tokens
	}
	return max(0, prompt)
}
