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

// Response is an answer on its way to the caller.
type Response struct {
	RequestID string
	Endpoint  string
	// version is the version of the weights that answer.
	version    string
	Head       stream.Head
	WriteStall time.Duration
	// next returns the following body bytes, nil at the end.
	next  func(ctx context.Context) ([]byte, error)
	close func()
	// waiting reports whether next has bytes without waiting for the endpoint;
	// nil means that it is not known.
	waiting func() bool
	// attempt is what next reads; nil for a result that is read as a whole.
	attempt *attempt
	// outcome is set when the answer has ended, for logs and metrics.
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

// encode writes a response. After the head is out, a broken event stream ends
// with an error event; any other broken body is cut off with the connection,
// so that the caller can't take it for whole.
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
		if r.waiting != nil && r.waiting() {
			continue // the next bytes are there already
		}
		if err := rc.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

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
