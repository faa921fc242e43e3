package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/citrontiller/citrontiller/call"
)

type accountKey struct{ service, account string }

// running counts the running requests of each account at this entry.
type running struct {
	mu     sync.Mutex
	counts map[accountKey]int
}

// acquire takes a place unless limit are taken; 0 means no limit.
func (r *running) acquire(k accountKey, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit > 0 && r.counts[k] >= limit {
		return false
	}
	r.counts[k]++
	return true
}

func (r *running) release(k accountKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[k]--; r.counts[k] <= 0 {
		delete(r.counts, k)
	}
}

// limiting is the middleware that bounds the running requests of an account.
// The place is held until the response is closed.
func (s *Server) limiting(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r := request.(*Request)
		k := accountKey{r.Service, r.Account}
		limit := r.Document.Limits.MaxRunningPerAccount
		if !s.running.acquire(k, limit) {
			return nil, &Error{Status: http.StatusTooManyRequests, Code: CodeTooManyRequests, Run: call.NotRun, RetryAfter: time.Second,
				Message: "the account already runs as many requests as the service allows at this entry"}
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
