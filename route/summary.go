package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// summaryTTL is the time for which a received summary is used.
	summaryTTL = 2 * time.Second
	// summaryRefresh is the time after which a summary is sent again although the load is
	// as expected.
	summaryRefresh = summaryTTL / 2
	// minWaitChangeMs is the difference in milliseconds between the wait and that which
	// receivers expect from which a summary is sent.
	minWaitChangeMs = 10
	// minKVChange is the relative change of the memory in use from which a summary is sent.
	minKVChange = 0.05
)

// Summary describes the load of an endpoint to processes that don't receive the events
// of its requests.
type Summary struct {
	Endpoint string
	// Wait is the expected wait of a request with the lowest priority.
	Wait time.Duration
	// KVUsedTokens is the KV cache memory that running requests occupy, in tokens.
	KVUsedTokens int64
}

// timedSummary is a summary with the time at which it arrived or was sent.
type timedSummary struct {
	Summary
	at time.Time
}

// wait returns what is left of the wait, in milliseconds.
func (s *timedSummary) wait(now time.Time) float64 {
	if now.Sub(s.at) > summaryTTL {
		return 0
	}
	return max(0, ms(s.Wait-now.Sub(s.at)))
}

// kvUsed returns the KV cache memory in use, 0 after summaryTTL.
func (s *timedSummary) kvUsed(now time.Time) float64 {
	if now.Sub(s.at) > summaryTTL {
		return 0
	}
	return float64(s.KVUsedTokens)
}

// outdated reports whether receivers of the summary need a newer one.
func (s *timedSummary) outdated(m Summary, now time.Time) bool {
	wait, kv := ms(m.Wait), float64(m.KVUsedTokens)
	idle := wait == 0 && kv == 0
	switch {
	case math.Abs(wait-s.wait(now)) > minWaitChangeMs, math.Abs(kv-s.kvUsed(now)) > minKVChange*kv:
		return true
	}
	return !idle && now.Sub(s.at) >= summaryRefresh
}

// Summaries returns the load of those endpoints whose ids are in a part, if receivers of
// the summaries returned before don't know it. Most engines of a large fleet are idle or
// do what was expected. Endpoints that aren't tracked are left out.
func (t *Tracker) Summaries(endpoints []string, part Part, now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Summary, 0, len(endpoints))
	for _, id := range endpoints {
		if s := t.endpoints[id]; s != nil && part.contains(xxhash.Sum64String(id)) {
			wait := s.backlog.wait(math.MaxInt, now)
			m := Summary{Endpoint: id, Wait: time.Duration(wait * float64(time.Millisecond)), KVUsedTokens: int64(s.kv.tokens)}
			if s.sentSummary.outdated(m, now) {
				s.sentSummary = timedSummary{m, now}
				out = append(out, m)
			}
		}
	}
	return out
}

// ApplySummaries records the load that another process has sent. Summaries of
// endpoints that aren't tracked are ignored.
func (t *Tracker) ApplySummaries(summaries []Summary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range summaries {
		if s := t.endpoints[m.Endpoint]; s != nil {
			s.summary = timedSummary{m, now}
		}
	}
}

// lowestRankWait returns the expected wait of a request with the lowest priority, in
// milliseconds.
func (s *endpointState) lowestRankWait(now time.Time) float64 {
	return max(s.backlog.wait(math.MaxInt, now), s.summary.wait(now))
}

// kvUsed returns the KV cache memory that running requests occupy, in tokens.
func (s *endpointState) kvUsed(now time.Time) float64 {
	return max(s.kv.tokens, s.summary.kvUsed(now))
}
