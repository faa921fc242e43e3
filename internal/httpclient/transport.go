// Package httpclient holds the transport of the HTTP calls to endpoints and to the
// platform's services.
package httpclient

import (
	"fmt"
	"net/http"
)

// Transport is an http.Transport that returns final responses only. Their bodies end with
// the request's context. It is safe for concurrent use.
type Transport struct {
	*http.Transport
	// SendOnce makes a request fail where http.Transport would send it again by itself, as
	// it does on kept connections that break, depending on its method, headers and body.
	SendOnce bool
}

// StatusError reports a response whose status answers no request.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("response status %d is not that of a final response", e.Status)
}

// RoundTrip implements http.RoundTripper. It returns a *StatusError for a status that is
// not a final one, and closes the connection. After a 101, net/http would return the
// connection itself as the body, which neither the request's context nor the transport
// closes any more. Requests don't ask for another protocol.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	send := t.Transport.RoundTrip
	if t.SendOnce && mayBeRepeated(req) {
		send = t.sendOnce
	}
	resp, err := send(req)
	if err != nil {
		return nil, err
	}
	if !isFinal(resp.StatusCode) {
		_ = resp.Body.Close() // the response is not used
		return nil, &StatusError{resp.StatusCode}
	}
	return resp, nil
}

// isFinal reports whether a status is that of a final response.
func isFinal(status int) bool {
	return status >= http.StatusOK && status < 600
}
