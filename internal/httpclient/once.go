package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// ErrRepeated means that http.Transport was about to send a request once more. The first
// send may have been executed.
var ErrRepeated = errors.New("connection broke and the request is not sent again")

// NewClient returns a client that returns redirects instead of following them, which would
// send the request to another address.
func NewClient(t http.RoundTripper) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// mayBeRepeated reports whether http.Transport could send a request again: it must be able
// to provide the body once more.
func mayBeRepeated(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
}

// sendOnce sends a request on one connection only. The second connection that the transport
// assigns to the request is closed before anything is written to it.
func (t *Transport) sendOnce(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	var assigned atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		if assigned.Swap(true) {
			cancel(ErrRepeated)
			_ = c.Conn.Close() // nothing was sent on it
		}
	}})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if resp.Body == http.NoBody {
		cancel(nil)
	} else {
		resp.Body = &cancelingBody{resp.Body, cancel}
	}
	return resp, nil
}

// cancelingBody ends the context of a response when its body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
