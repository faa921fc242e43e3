package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reasons why a response can't be delivered.
var (
	errOtherRequest  = errors.New("response belongs to another request, or doesn't say to which one")
	errNoStamp       = errors.New("successful response lacks the endpoint's stamp")
	errEncoded       = errors.New("response has a content encoding that was not requested")
	errNotRunMissing = errors.New("refusal lacks the statement that the request did not run")
)

// check returns an error when a response can't be delivered, and reports the
// failure or the refusal to the tracker.
func (x *exchange) check(p *response) *attemptError {
	info := x.g.Codec.DecodeResponse(p.resp.StatusCode, p.resp.Header)
	if x.isForeign(p, info) {
		return x.rejectForeign(p)
	}
	x.g.Directory.Observe(p.endpoint.ID, x.info.Model, info, p.start)
	x.observeAnnouncements(p, info)
	if info.NotRun {
		p.attempt.Refused(time.Now())
		return &attemptError{failure: notRun, endpoint: p.endpoint.ID, err: fmt.Errorf("status %d", p.resp.StatusCode)}
	}
	if err := undeliverable(p.resp, info); err != nil {
		p.attempt.Failed(time.Now())
		return &attemptError{failure: unknown, endpoint: p.endpoint.ID, err: err}
	}
	return nil
}

// rejectForeign reports a response of another request to the tracker and returns the error.
func (x *exchange) rejectForeign(p *response) *attemptError {
	if p.resp.Body == http.NoBody {
		// The connection is idle again, although this request's own response is due on it.
		x.closeIdleConnections()
	}
	p.attempt.Failed(time.Now())
	return &attemptError{failure: unknown, endpoint: p.endpoint.ID, err: errOtherRequest}
}

// isForeign reports whether a response may belong to another request. On a connection that
// has carried other requests, a response without an id may be a copy of an earlier one.
func (x *exchange) isForeign(p *response, info ResponseInfo) bool {
	if info.RequestID == "" {
		return p.reusedConn
	}
	return info.RequestID != x.info.ID
}

// closeIdleConnections closes the idle connections of the request's pool.
func (x *exchange) closeIdleConnections() {
	if t, ok := x.transport().(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// undeliverable returns the reason why a response can't be delivered, or nil.
func undeliverable(resp *http.Response, info ResponseInfo) error {
	ok := resp.StatusCode/100 == 2
	switch {
	case impliesNotRun(resp.StatusCode):
		return errNotRunMissing
	case ok && !info.Stamped:
		return errNoStamp
	case ok && resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// impliesNotRun reports whether callers conclude from a status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
