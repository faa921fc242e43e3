package httpclient

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// StatusError reports a response whose status answers no request.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("response status %d is not that of a final response", e.Status)
}

// FieldNameError reports a response in whose head the name of a field is no token.
type FieldNameError struct{ Name string }

func (e *FieldNameError) Error() string {
	return fmt.Sprintf("response has a header field with the malformed name %q", e.Name)
}

// checkHead returns an error for a response that http.Transport returns although it answers
// no request or is malformed.
//
// After a 101, net/http returns the connection itself as the body, which neither the
// request's context nor the transport closes any more. Requests don't ask for another
// protocol.
//
// net/http accepts blanks in the name of a field, which is then another field to it: it
// doesn't recognize one that frames the body, and takes other bytes for the body.
func checkHead(resp *http.Response) error {
	if !isFinal(resp.StatusCode) {
		return &StatusError{resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{name}
		}
	}
	return nil
}

// isFinal reports whether a status is that of a final response.
func isFinal(status int) bool {
	return status >= http.StatusOK && status < 600
}
