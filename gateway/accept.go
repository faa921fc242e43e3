package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
)

// defaultTimeout applies to requests without a deadline; the route's timeout still caps it.
const defaultTimeout = 30 * time.Second

// accept decodes the request, finds its route and account, reads its body and charges it to
// the account's quota.
// The error is a *Refusal.
func (x *exchange) accept() error {
	info, err := x.g.Codec.DecodeRequest(x.r.Header)
	x.info = info
	c := x.g.Config.Current()
	if c == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Outcome: "no_configuration", RetryAfter: startupRetryAfter}
	}
	x.configVersion = c.Version
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Outcome: "malformed", Err: err}
	}
	if err := x.identify(c); err != nil {
		return err
	}
	x.deadline = x.arrived.Add(x.timeout())
	if !x.endsBeforeStop() {
		return x.unavailable("closing", nil)
	}
	x.service = x.route.Service(x.info.ID)
	if err := x.readBody(c.Limits.MaxBodyBytes); err != nil {
		return err
	}
	x.readAt = time.Now()
	x.awaitSignal()
	if !x.endsBeforeStop() {
		return x.unavailable("closing", nil)
	}
	return x.checkQuota()
}

// identify sets the request's route and client account.
func (x *exchange) identify(c *catalog.Config) error {
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = c.Match(x.r.Host, path)
	if x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Outcome: "no_route"}
	}
	if !c.AccountsRequired {
		return nil
	}
	x.account = c.Accounts[x.info.Credential]
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

// timeout returns the time limit of the request: the lesser of the caller's
// deadline and the route's timeout.
func (x *exchange) timeout() time.Duration {
	d := x.info.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if x.route.Timeout > 0 {
		d = min(d, x.route.Timeout)
	}
	return d
}
