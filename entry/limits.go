package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"golang.org/x/time/rate"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/config"
)

// accountKey identifies a client account of a service.
type accountKey struct{ service, account string }

// rateLimiters limits the rate of new requests of each account at this entry. An
// account without a limit has no limiter.
type rateLimiters struct {
	mu       sync.Mutex
	limiters map[accountKey]*rate.Limiter
}

// allow reports whether an account may start a request now at a limit of perSecond
// requests per second, with a burst of one second; 0 means no limit.
func (l *rateLimiters) allow(k accountKey, perSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if perSecond <= 0 {
		delete(l.limiters, k)
		return true
	}
	r := l.limiters[k]
	switch {
	case r == nil:
		r = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		l.limiters[k] = r
	case r.Burst() != perSecond:
		r.SetLimit(rate.Limit(perSecond))
		r.SetBurst(perSecond)
	}
	return r.Allow()
}

// runningRequests counts the running requests of each account at this entry.
type runningRequests struct {
	mu     sync.Mutex
	counts map[accountKey]int
}

// acquire counts one more running request. It returns false if limit are running
// already; 0 means no limit.
func (r *runningRequests) acquire(k accountKey, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit > 0 && r.counts[k] >= limit {
		return false
	}
	r.counts[k]++
	return true
}

func (r *runningRequests) release(k accountKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[k]--; r.counts[k] <= 0 {
		delete(r.counts, k)
	}
}

// limitsOf returns the limits on an account: running requests, and new requests
// per second, where 0 means no limit.
func limitsOf(d *config.Document, account string) (running, perSecond int) {
	running = d.Limits.MaxRunningPerAccount
	for _, a := range d.Accounts {
		if a.Name != account {
			continue
		}
		if a.MaxRunning > 0 {
			running = a.MaxRunning
		}
		return running, a.RequestsPerSecond
	}
	return running, 0
}

// limitMiddleware limits the running requests and the rate of new requests of an
// account. A request counts as running until its response is closed.
func (s *Server) limitMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		k := accountKey{r.Service, r.Account}
		limit, perSecond := limitsOf(r.Document, r.Account)
		if !s.rates.allow(k, perSecond) {
			return nil, &Error{Status: http.StatusTooManyRequests, Code: CodeTooManyRequests, Run: call.NotRun, RetryAfter: time.Second,
				Message: fmt.Sprintf("the account may send %d requests a second to the service at this entry", perSecond)}
		}
		if !s.running.acquire(k, limit) {
			return nil, &Error{Status: http.StatusTooManyRequests, Code: CodeTooManyRequests, Run: call.NotRun, RetryAfter: time.Second,
				Message: fmt.Sprintf("the account already runs %d requests of the service at this entry", limit)}
		}
		resp, err := next(ctx, request)
		if err != nil {
			s.running.release(k)
			return nil, err
		}
		out := resp.(*Response)
		out.close = closeBoth(out.close, func() { s.running.release(k) })
		return out, nil
	}
}
