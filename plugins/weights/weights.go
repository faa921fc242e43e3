// Package weights is the weight store driver, id "weights.http". It checks for weights
// with HTTP HEAD requests and respects the store's rate limit.
package weights

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/internal/retryafter"
	"github.com/citrontiller/citrontiller/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "weights.http", New: func() any { return new(Driver) }})
}

const (
	// defaultTimeout bounds one call if the settings have no timeout.
	defaultTimeout = 2 * time.Second
	// defaultRetryAfter is the wait after a 429 response without Retry-After.
	defaultRetryAfter = time.Second
)

// Driver implements infra.WeightStore.
type Driver struct {
	base    string
	timeout time.Duration
	client  *http.Client

	mu sync.Mutex
	// retryAt is the time until which no calls are sent, after a 429 response.
	retryAt time.Time
}

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	var err error
	if d.base, err = s.URL("weight store"); err != nil {
		return err
	}
	d.base = strings.TrimSuffix(d.base, "/")
	if d.timeout = s.Timeout; d.timeout <= 0 {
		d.timeout = defaultTimeout
	}
	d.client = &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{DialContext: s.DialContext()}}}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.CloseIdleConnections()
	return nil
}

// Stat implements infra.WeightStore with HEAD <address>/<model>/<version>. Until the
// wait that the store requested is over, it returns ErrRateLimited without a call.
func (d *Driver) Stat(ctx context.Context, model, version string) error {
	op := fmt.Sprintf("stat weights %s/%s", model, version)
	if model == "" || version == "" {
		return &infra.Error{Code: infra.Invalid, Op: op, Err: errors.New("model and version are required")}
	}
	if wait := d.remainingWait(); wait > 0 {
		return &infra.Error{Code: infra.RateLimited, Op: op, RetryAfter: wait}
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	u := d.base + "/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, u, nil)
	if err != nil {
		return &infra.Error{Code: infra.Invalid, Op: op, Err: err}
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	resp.Body.Close()
	return d.responseError(resp, op)
}

// responseError returns the error for the response's status, nil for 200 and 204.
func (d *Driver) responseError(resp *http.Response, op string) error {
	cause := fmt.Errorf("status %s", resp.Status)
	switch {
	case resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone:
		return &infra.Error{Code: infra.NotFound, Op: op, Err: cause}
	case resp.StatusCode == http.StatusTooManyRequests:
		return &infra.Error{Code: infra.RateLimited, Op: op, RetryAfter: d.backOff(resp.Header), Err: cause}
	case resp.StatusCode < http.StatusInternalServerError:
		return &infra.Error{Code: infra.Invalid, Op: op, Err: cause}
	default:
		return &infra.Error{Code: infra.Unavailable, Op: op, Err: cause}
	}
}

// remainingWait returns the time until calls may be sent; it is not positive if they
// may be sent now.
func (d *Driver) remainingWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.retryAt)
}

// backOff suspends calls for the time that the store requests, and returns that time.
func (d *Driver) backOff(h http.Header) time.Duration {
	wait := retryafter.Parse(h, time.Now())
	if wait == 0 {
		wait = defaultRetryAfter
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryAt = time.Now().Add(wait)
	return wait
}
