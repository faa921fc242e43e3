package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/route"
)

// maxWhole is how many bytes of a whole answer are held back until it is
// complete, so that a broken one can be fetched again. Longer answers are
// passed on from there, and cut with the connection when they break.
const maxWhole = 1 << 20

// first runs an attempt until its answer has begun: for an event stream the
// first event, for an idempotent whole answer all of it. answered is set when
// the agent has replied. With an error answer of the endpoint, both the
// response and the error are returned.
func (s *Server) first(ctx context.Context, r *Request, rr *route.Request, endpoint string, answered *atomic.Bool, fb *feedback) (*Response, *Error) {
	resp, err := s.attempt(ctx, r, rr, endpoint, answered, fb)
	if err != nil || !r.Idempotent {
		return resp, err
	}
	held, err := resp.hold(ctx, r.resumable)
	if err != nil {
		resp.close()
		return nil, err
	}
	resp.prepend(held)
	return resp, resp.retryable()
}

// hold reads the part of the body that is delivered only when it has arrived.
// The last element is nil when the body has ended.
func (r *Response) hold(ctx context.Context, text bool) ([][]byte, *Error) {
	var held [][]byte
	for size := 0; size < maxWhole; {
		b, err := r.next(ctx)
		if err != nil {
			return nil, asError(err)
		}
		held = append(held, b)
		if b == nil || (r.events() && (!text || hasToken(b))) {
			break
		}
		size += len(b)
	}
	return held, nil
}

// prepend puts bytes that were read already before the rest of the body.
func (r *Response) prepend(held [][]byte) {
	rest := r.next
	r.next = func(ctx context.Context) ([]byte, error) {
		if len(held) == 0 {
			return rest(ctx)
		}
		b := held[0]
		held = held[1:]
		return b, nil
	}
}

// retryable returns an error when another endpoint may answer better. A 429 of
// an engine says that it didn't run the request.
func (r *Response) retryable() *Error {
	switch {
	case r.Head.Status == http.StatusTooManyRequests:
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: "the endpoint is overloaded", Run: call.Ran}
	case r.Head.Status >= http.StatusInternalServerError:
		return &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: "the endpoint answered " + http.StatusText(r.Head.Status), Run: call.Ran}
	}
	return nil
}
