package entry

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/route"
)

// maxBufferedBytes bounds how much of a non-streamed response is buffered until it
// is complete, so that the request can be retried if the response fails. The rest
// of a longer response is streamed, and the caller's connection is closed if it
// fails.
const maxBufferedBytes = 1 << 20

// startResponse runs an attempt until its response may be delivered. A
// non-idempotent request needs only the response head. An idempotent one needs
// the first event of an event stream, or the first token if the stream is
// resumable, or the complete body of a non-streamed response up to
// maxBufferedBytes. replied is set when the agent has replied. If the endpoint
// returned a retryable status, both the response and an error are returned.
func (s *Server) startResponse(ctx context.Context, r *Request, rr *route.Request, endpoint string, replied *atomic.Bool, fb *feedback) (*Response, *Error) {
	resp, err := s.openAttempt(ctx, r, rr, endpoint, replied, fb)
	if err != nil || !r.Idempotent {
		return resp, err
	}
	start, err := resp.readStart(ctx, r.resumable)
	if err != nil {
		resp.close()
		return nil, err
	}
	resp.prepend(start)
	return resp, resp.retryable()
}

// readStart reads the part of the body that must have arrived before delivery
// starts. If untilToken is set, an event stream is read up to its first token. The
// last element is nil if the body has ended.
func (r *Response) readStart(ctx context.Context, untilToken bool) ([][]byte, *Error) {
	var start [][]byte
	for size := 0; size < maxBufferedBytes; {
		b, err := r.next(ctx)
		if err != nil {
			return nil, asError(err)
		}
		start = append(start, b)
		if b == nil || (r.events() && (!untilToken || hasToken(b))) {
			break
		}
		size += len(b)
	}
	return start, nil
}

// prepend puts data that was already read before the rest of the body.
func (r *Response) prepend(start [][]byte) {
	rest := r.next
	r.next = func(ctx context.Context) ([]byte, error) {
		if len(start) == 0 {
			return rest(ctx)
		}
		b := start[0]
		start = start[1:]
		return b, nil
	}
}

// retryable returns an error if the response has a status for which the request
// may succeed at another endpoint: 429 or 5xx. An engine that returns 429 did not run
// the request, but Run is Ran because the endpoint responded.
func (r *Response) retryable() *Error {
	switch {
	case r.Head.Status == http.StatusTooManyRequests:
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Message: "the endpoint is overloaded", Run: call.Ran}
	case r.Head.Status >= http.StatusInternalServerError:
		return &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: "the endpoint answered " + http.StatusText(r.Head.Status), Run: call.Ran}
	}
	return nil
}
