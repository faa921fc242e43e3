package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/stream"
)

// Response is a response that is being delivered to the caller.
type Response struct {
	RequestID string
	Endpoint  string
	// version is the weights version that serves the request.
	version string
	Head    stream.Head
	// WriteStall bounds how long the caller may block a write.
	WriteStall time.Duration
	// next returns the next body bytes, or nil at the end of the body.
	next  func(ctx context.Context) ([]byte, error)
	close func()
	// buffered reports whether next can return bytes without waiting for the
	// endpoint; nil means unknown.
	buffered func() bool
	// attempt is the attempt that next reads from; nil if the response comes from
	// a claim.
	attempt *attempt
	// outcome is set when the response has ended, for logs and metrics.
	outcome string
}

// events reports whether the response is a server-sent event stream.
func (r *Response) events() bool {
	for _, h := range r.Head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// encode writes a response to the caller. If the body fails, an event stream ends
// with an error event, and for any other body the connection is closed, so that the
// caller can detect the truncation.
func encode(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*Response)
	defer r.close()
	for _, h := range r.Head.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set("X-Request-Id", r.RequestID)
	w.Header().Set("X-Citrontiller-Endpoint", r.Endpoint)
	w.WriteHeader(r.Head.Status)
	rc := http.NewResponseController(w)
	for {
		b, err := r.next(ctx)
		if err != nil {
			return r.abort(w, rc, err)
		}
		if b == nil {
			r.outcome = outcomeOK
			return nil
		}
		_ = rc.SetWriteDeadline(time.Now().Add(r.WriteStall))
		if _, err := w.Write(b); err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.buffered != nil && r.buffered() {
			continue // the next bytes have already arrived
		}
		if err := rc.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// abort ends a response after a failed read. It panics with http.ErrAbortHandler to
// close the connection.
func (r *Response) abort(w http.ResponseWriter, rc *http.ResponseController, err error) error {
	if errors.Is(err, context.Canceled) || !r.events() {
		if !errors.Is(err, context.Canceled) {
			r.outcome = asError(err).Code
		}
		panic(http.ErrAbortHandler)
	}
	e := asError(err)
	r.outcome = e.Code
	e.RequestID = r.RequestID
	if _, err := fmt.Fprintf(w, "event: error\ndata: %s\n\n", e.body()); err != nil || rc.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
