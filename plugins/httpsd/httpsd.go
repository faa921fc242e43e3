// Package httpsd is the host list driver, id "hosts.httpsd". It reads the
// JSON of Prometheus HTTP service discovery: groups of targets with labels.
package httpsd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/platform"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "hosts.httpsd", New: func() any { return new(Driver) }})
}

// Labels of a target group.
const (
	LabelID            = "id"
	LabelService       = "service"
	LabelKind          = "kind"
	LabelAgent         = "agent"
	LabelRegion        = "region"
	LabelFailureDomain = "failure_domain"
	LabelState         = "state"
)

// Group is a target group.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Driver implements platform.HostList.
type Driver struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	if s.Address == "" {
		return errors.New("the address of the host list is missing")
	}
	d.url = s.Address
	if !strings.Contains(d.url, "://") {
		d.url = "http://" + d.url
	}
	d.timeout = s.Timeout
	if d.timeout <= 0 {
		d.timeout = time.Second
	}
	d.client = &http.Client{Transport: &http.Transport{DialContext: s.DialContext()}}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.CloseIdleConnections()
	return nil
}

// Hosts implements platform.HostList.
func (d *Driver) Hosts(ctx context.Context) ([]platform.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url, nil)
	if err != nil {
		return nil, &platform.Error{Code: platform.Invalid, Op: "host list", Err: err}
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, &platform.Error{Code: platform.Unavailable, Op: "host list", Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &platform.Error{Code: platform.Unavailable, Op: "host list", Err: fmt.Errorf("status %s", resp.Status)}
	}
	var groups []Group
	if err := json.NewDecoder(resp.Body).Decode(&groups); err != nil {
		return nil, &platform.Error{Code: platform.Invalid, Op: "host list", Err: err}
	}
	return hosts(groups)
}

func hosts(groups []Group) ([]platform.Host, error) {
	var out []platform.Host
	for _, g := range groups {
		for _, target := range g.Targets {
			h := platform.Host{
				ID: g.Labels[LabelID], Service: g.Labels[LabelService], Kind: platform.Kind(g.Labels[LabelKind]),
				Address: target, Agent: g.Labels[LabelAgent], Region: g.Labels[LabelRegion],
				FailureDomain: g.Labels[LabelFailureDomain], State: platform.HostState(g.Labels[LabelState]),
			}
			if h.ID == "" || h.Service == "" {
				return nil, &platform.Error{Code: platform.Invalid, Op: "host list", Err: fmt.Errorf("target %q has no id or service", target)}
			}
			if h.State == "" {
				h.State = platform.Live
			}
			out = append(out, h)
		}
	}
	return out, nil
}
