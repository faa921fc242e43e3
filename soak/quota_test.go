package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// limitedKey is the credential of the account with a limit, usualKey that of the other.
	limitedKey, usualKey = "limited", "key"
	// limitRate and limitBurst are the account's limit in requests a second and requests.
	limitRate, limitBurst = 20, 20
	// quotaWindow is the length of the windows in which the limit is judged, quotaOvershoot
	// and quotaSlack the tolerance as a share of it and in requests.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 40
	// limitedGap is the mean time between two requests of the account: five times its limit.
	limitedGap = time.Second / (5 * limitRate)
)

// limitedRuns holds when the requests of the limited account that ran were sent.
type limitedRuns struct {
	mu   sync.Mutex
	sent []time.Time
}

// add records a request that has run.
func (l *limitedRuns) add(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, sent)
}

// most returns the largest number of requests sent within quotaWindow.
func (l *limitedRuns) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.sent, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	most, from := 0, 0
	for i := range l.sent {
		for l.sent[i].Sub(l.sent[from]) > quotaWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// sendLimited sends requests of the limited account to random gateways until ctx ends.
func (s *system) sendLimited(ctx context.Context, next *atomic.Int64, rng *rand.Rand) {
	c := newCaller(s)
	defer c.close()
	for ctx.Err() == nil {
		p := s.processes[rng.IntN(len(s.processes))]
		if s.takesCalls(p) {
			c.callLimited(next.Add(1), p)
		}
		time.Sleep(between(rng, 0, 2*limitedGap))
	}
}

// callLimited sends one request of the limited account and checks the response.
func (c *caller) callLimited(n int64, p *process) {
	request := shortRequest(n, "read")
	request.credential = limitedKey
	r, ok := c.send(p, request)
	if !ok {
		return
	}
	if r.status == http.StatusTooManyRequests {
		c.system.checkOverLimit(r)
		return
	}
	c.system.check(r)
	if c.system.runs.Count(r.id) > 0 {
		c.system.limited.add(r.sentAt)
	}
}

// checkOverLimit checks a refusal of a request beyond the limit.
func (s *system) checkOverLimit(r result) {
	s.overLimit.Add(1)
	s.refused.Store(r.id, true)
	if r.header.Get("Retry-After") == "" {
		s.fail("%s: 429 without Retry-After", r.id)
	}
}

// checkQuota checks the limited account's requests that ran against its limit.
func (s *system) checkQuota() {
	limit := (limitRate*quotaWindow.Seconds()+limitBurst)*(1+quotaOvershoot) + quotaSlack
	if most := s.limited.most(); float64(most) > limit {
		s.fail("%d requests of the limited account ran that were sent within %v, allowed %.0f", most, quotaWindow, limit)
	}
	if s.overLimit.Load() == 0 {
		s.fail("no request of the limited account was refused")
	}
}

// quotaSummary describes the limited account's requests, for the log of a seed.
func (s *system) quotaSummary() string {
	return fmt.Sprintf("limited account: at most %d ran within %v, %d refused", s.limited.most(), quotaWindow, s.overLimit.Load())
}
