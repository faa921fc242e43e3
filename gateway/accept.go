package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
)

const (
	// defaultDeadline serves callers that name none on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes is the limit of a body before the configuration names one.
	defaultBodyBytes = 4 << 20
)

// accept reads the request and decides whether it may be served. The error is
// a *Refusal.
func (x *exchange) accept() error {
	call, err := x.g.Codec.DecodeRequest(x.r.Header)
	x.call = call
	c := x.g.Config.Current()
	if c == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Outcome: "no_configuration", RetryAfter: startupRetry}
	}
	x.config = c.Version
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Outcome: "malformed", Err: err}
	}
	if err := x.identify(c); err != nil {
		return err
	}
	x.until = x.arrived.Add(x.patience())
	if end := x.g.closing.Load(); end != nil && x.until.After(*end) {
		return x.noRoom("closing", nil)
	}
	x.service = x.route.Service(x.call.ID)
	return x.readBody(c.Limits.MaxBodyBytes)
}

// identify finds the request's route and client account.
func (x *exchange) identify(c *catalog.Config) error {
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = c.Match(x.r.Host, path)
	if x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Outcome: "no_route"}
	}
	if !c.AccountsRequired {
		return nil
	}
	x.account = c.Accounts[x.call.Credential]
	if x.account == nil && !x.route.Public {
		return &Refusal{Status: http.StatusUnauthorized, Outcome: "unknown_credential"}
	}
	return nil
}

// target returns the request's path and query as the caller sent them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI() // absolute form
}

// patience returns the time within which an answer is of use.
func (x *exchange) patience() time.Duration {
	d := x.call.Timeout
	if d <= 0 {
		d = defaultDeadline
	}
	if x.route.Timeout > 0 {
		d = min(d, x.route.Timeout)
	}
	return d
}

func (x *exchange) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: "body_too_large"}
	}
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: "body_too_large"}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Outcome: "body_incomplete", Err: err}
	}
	return nil
}
