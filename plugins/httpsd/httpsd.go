// Package httpsd is the host list driver, id "hosts.httpsd". It reads the JSON format
// of Prometheus HTTP service discovery: groups of targets with labels.
package httpsd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "hosts.httpsd", New: func() any { return new(Driver) }})
}

// Names of the labels of a target group.
const (
	LabelID            = "id"
	LabelService       = "service"
	LabelKind          = "kind"
	LabelAgent         = "agent"
	LabelRegion        = "region"
	LabelFailureDomain = "failure_domain"
	LabelState         = "state"
)

// Group is a target group: addresses with common labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Driver implements infra.HostList.
type Driver struct {
	url     string
	timeout time.Duration
	client  *http.Client
	log     *zap.Logger
	// invalidTargets is the number of invalid targets in the last list.
	invalidTargets atomic.Int64

	mu sync.Mutex
	// etag is the ETag of the last list, and last holds its valid endpoints.
	etag string
	last []infra.Host
}

// maxListBytes bounds the size of a list. 2,000 endpoints need about 0.6 MB.
const maxListBytes = 16 << 20

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	var err error
	if d.url, err = s.URL("host list"); err != nil {
		return err
	}
	d.timeout = s.Timeout
	if d.timeout <= 0 {
		d.timeout = time.Second
	}
	d.log = s.Logger()
	d.client = &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{DialContext: s.DialContext()}}}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.CloseIdleConnections()
	return nil
}

// Hosts implements infra.HostList. If the service returned an ETag, the list is only
// transferred again when it has changed: 2,000 endpoints once a second would otherwise
// be about 0.4 MB/s.
func (d *Driver) Hosts(ctx context.Context) ([]infra.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url, nil)
	if err != nil {
		return nil, &infra.Error{Code: infra.Invalid, Op: "host list", Err: err}
	}
	etag, last := d.lastList()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, &infra.Error{Code: infra.Unavailable, Op: "host list", Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return slices.Clone(last), nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &infra.Error{Code: infra.Unavailable, Op: "host list", Err: fmt.Errorf("status %s", resp.Status)}
	}
	var groups []Group
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&groups); err != nil {
		return nil, &infra.Error{Code: infra.Invalid, Op: "host list", Err: err}
	}
	list, invalid := parseHosts(groups)
	if n := int64(len(invalid)); d.invalidTargets.Swap(n) != n && n > 0 {
		d.log.Error("host list has invalid targets", zap.Int64("targets", n), zap.Error(invalid[0]))
	}
	d.mu.Lock()
	d.etag, d.last = resp.Header.Get("ETag"), slices.Clone(list)
	d.mu.Unlock()
	return list, nil
}

// lastList returns the last list and its ETag, "" if it has none.
func (d *Driver) lastList() (etag string, last []infra.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.etag, d.last
}

// parseHosts returns the valid endpoints and an error for each invalid one. An invalid
// target must not prevent updates of the others.
func parseHosts(groups []Group) ([]infra.Host, []error) {
	var out []infra.Host
	var invalid []error
	seen := map[string]bool{}
	for _, g := range groups {
		for _, target := range g.Targets {
			h := infra.Host{
				ID: g.Labels[LabelID], Service: g.Labels[LabelService], Kind: infra.Kind(g.Labels[LabelKind]),
				Address: target, Agent: g.Labels[LabelAgent], Region: g.Labels[LabelRegion],
				FailureDomain: g.Labels[LabelFailureDomain], State: infra.HostState(g.Labels[LabelState]),
			}
			if h.State == "" {
				h.State = infra.Live
			}
			if err := validate(h, seen); err != nil {
				invalid = append(invalid, err)
				continue
			}
			seen[h.ID] = true
			out = append(out, h)
		}
	}
	return out, invalid
}

// validate returns an error if an endpoint is invalid. seen contains the ids of the
// valid endpoints before it.
func validate(h infra.Host, seen map[string]bool) error {
	_, _, err := net.SplitHostPort(h.Address)
	switch {
	case h.ID == "" || h.Service == "":
		return fmt.Errorf("target %q has no id or service", h.Address)
	case seen[h.ID]:
		return fmt.Errorf("target %q: id %q is listed twice", h.Address, h.ID)
	case err != nil:
		return fmt.Errorf("endpoint %q: address %q, allowed: ip:port", h.ID, h.Address)
	case h.Kind != infra.Engine && h.Kind != infra.Plain:
		return fmt.Errorf("endpoint %q: kind %q, allowed: engine, plain", h.ID, h.Kind)
	case h.State != infra.Live && h.State != infra.Leaving:
		return fmt.Errorf("endpoint %q: state %q, allowed: live, leaving", h.ID, h.State)
	}
	return nil
}
