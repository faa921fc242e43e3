// Package openai is the driver for model engines, id "endpoint.openai". It uses the
// OpenAI-compatible HTTP API with the additional fields priority and cache_salt. It
// reads load reports in the Prometheus text format and cache events from a stream of
// server-sent events, and sends orders as JSON.
package openai

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/internal/exchange"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "endpoint.openai", New: func() any { return new(Driver) }})
}

// Paths of the engine API that are not part of the OpenAI API.
const (
	pathMetrics = "/metrics"
	pathEvents  = "/v1/cache/events"
	pathOrders  = "/v1/orders"
)

// Driver implements agent.Driver for model engines.
type Driver struct {
	client *exchange.Client
}

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	d.client = exchange.New(s)
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.Close()
	return nil
}

// Do implements agent.Driver. It adds the priority and the cache salt to the body of a
// request that has a salt.
func (d *Driver) Do(ctx context.Context, ep agent.Endpoint, r *agent.Request, sink agent.Sink) error {
	body, err := addEngineFields(r)
	if err != nil {
		return &agent.DriverError{Code: agent.CodeProtocol, Run: call.NotRun, Err: err}
	}
	return d.client.Do(ctx, ep, r, body, sink)
}

// addEngineFields returns the request body with the engine's additional fields.
func addEngineFields(r *agent.Request) ([]byte, error) {
	if len(r.Body) == 0 || r.CacheSalt == "" {
		return r.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	salt, err := json.Marshal(r.CacheSalt)
	if err != nil {
		return nil, err
	}
	fields["cache_salt"] = salt
	fields["priority"] = json.RawMessage(strconv.Itoa(r.Priority))
	return json.Marshal(fields)
}

// Load implements agent.Driver.
func (d *Driver) Load(ctx context.Context, ep agent.Endpoint) (agent.Load, error) {
	resp, err := d.client.Get(ctx, "http://"+ep.Address+pathMetrics)
	if err != nil {
		return agent.Load{}, &agent.DriverError{Code: agent.CodeConnect, Run: call.NotRun, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return agent.Load{}, protocolError(fmt.Errorf("load report: status %d", resp.StatusCode))
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return agent.Load{}, protocolError(fmt.Errorf("load report: %w", err))
	}
	return parseLoad(families), nil
}

// Names of the metrics in an engine's load report.
const (
	metricRunning    = "engine_requests_running"
	metricWaiting    = "engine_requests_waiting"
	metricCacheUsage = "engine_cache_usage_ratio"
	metricInfo       = "engine_info"
	metricLoading    = "engine_loading"
)

func parseLoad(families map[string]*dto.MetricFamily) agent.Load {
	l := agent.Load{
		Running:    int64(gauge(families[metricRunning])),
		Waiting:    int64(gauge(families[metricWaiting])),
		CacheUsage: gauge(families[metricCacheUsage]),
		Loading:    gauge(families[metricLoading]) > 0,
		At:         time.Now(),
	}
	if f := families[metricInfo]; f != nil && len(f.Metric) > 0 {
		for _, pair := range f.Metric[0].Label {
			switch pair.GetName() {
			case "model":
				l.Model = pair.GetValue()
			case "version":
				l.Version = pair.GetValue()
			case "boot_id":
				l.BootID = pair.GetValue()
			}
		}
	}
	return l
}

// gauge returns the value of the first metric of a family, 0 if it is absent.
func gauge(f *dto.MetricFamily) float64 {
	if f == nil || len(f.Metric) == 0 {
		return 0
	}
	m := f.Metric[0]
	if m.Gauge != nil {
		return m.Gauge.GetValue()
	}
	return m.GetUntyped().GetValue()
}

// Events implements agent.Driver.
func (d *Driver) Events(ctx context.Context, ep agent.Endpoint, from uint64, f func(agent.CacheEvent)) error {
	resp, err := d.client.Get(ctx, fmt.Sprintf("http://%s%s?after=%d", ep.Address, pathEvents, from))
	if err != nil {
		return &agent.DriverError{Code: agent.CodeConnect, Run: call.NotRun, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return protocolError(fmt.Errorf("cache events: status %d", resp.StatusCode))
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		e, err := decodeEvent(data)
		if err != nil {
			return err
		}
		f(e)
	}
	if err := lines.Err(); err != nil && !errors.Is(err, context.Canceled) {
		return &agent.DriverError{Code: agent.CodeBroken, Run: call.Unknown, Err: err}
	}
	return ctx.Err()
}

// orderJSON is the JSON form of an order.
type orderJSON struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// Order implements agent.Driver.
func (d *Driver) Order(ctx context.Context, ep agent.Endpoint, o agent.Order) error {
	body, err := json.Marshal(orderJSON(o))
	if err != nil {
		return protocolError(err)
	}
	resp, err := d.client.Post(ctx, "http://"+ep.Address+pathOrders, "application/json", body)
	if err != nil {
		return &agent.DriverError{Code: agent.CodeBroken, Run: call.Unknown, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return protocolError(fmt.Errorf("order refused with status %s", strings.TrimSpace(resp.Status)))
	}
	return nil
}

func protocolError(err error) error {
	return &agent.DriverError{Code: agent.CodeProtocol, Run: call.Unknown, Err: err}
}
