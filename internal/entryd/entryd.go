package entryd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/kernel"
)

// operatorTimeout bounds the time in which an operator's client must send its
// headers, and the shutdown of the operator API when the entry exits.
const operatorTimeout = 5 * time.Second

// dialTimeout bounds the setup of a connection to an endpoint without an agent.
const dialTimeout = 2 * time.Second

// Run runs an entry until ctx ends and its running requests have finished. For
// invalid settings it returns one *process.SettingError or several, joined.
func Run(ctx context.Context, s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	log, err := process.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	reg := newRegistry()
	srv, err := newServer(ctx, s, log, reg)
	if err != nil {
		return err
	}
	l, err := listen("--listen", s.Listen)
	if err != nil {
		return err
	}
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	stopOperator, err := serveOperator(srv, s.OperatorListen, reg, log)
	if err != nil {
		stopBackground()
		_ = l.Close()
		return err
	}
	backgroundDone := make(chan struct{})
	go func() {
		defer close(backgroundDone)
		srv.Run(backgroundCtx)
	}()
	err = srv.Serve(ctx, srv.HTTPServer(), l, s.DrainDelay)
	stopOperator()
	stopBackground()
	// After this, the results of requests with an idempotency key whose callers have
	// disconnected are stored.
	<-backgroundDone
	return err
}

func newServer(ctx context.Context, s Settings, log *zap.Logger, reg prometheus.Registerer) (*entry.Server, error) {
	kv, err := kernel.Load[infra.KV](ctx, "kv.etcd", kernel.Settings{Address: s.KV, Timeout: s.KVTimeout, Log: log})
	if err != nil {
		return nil, err
	}
	hosts, err := kernel.Load[infra.HostList](ctx, "hosts.httpsd", kernel.Settings{Address: s.Hosts, Timeout: s.HostsTimeout, Log: log})
	if err != nil {
		return nil, err
	}
	opts := s.options()
	opts.Log, opts.Registry = log, reg
	opts.Driver = func(ep agent.Endpoint) (agent.Driver, error) {
		return agent.LoadDriver(ctx, ep, kernel.Settings{Timeout: dialTimeout, Log: log})
	}
	if opts.Wire.Credentials, err = s.TLS.Client(); err != nil {
		return nil, err
	}
	if s.Weights != "" {
		opts.Weights, err = kernel.Load[infra.WeightStore](ctx, "weights.http", kernel.Settings{Address: s.Weights, Timeout: s.WeightsTimeout, Log: log})
		if err != nil {
			return nil, err
		}
	}
	return entry.New(opts, kv, hosts), nil
}

func listen(flag, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", flag, address, err)
	}
	return l, nil
}

// newRegistry returns a registry with the metrics of the process itself.
func newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// serveOperator starts the operator API and returns the function that stops it.
// The API stays available while the entry drains. An empty address disables it.
func serveOperator(srv *entry.Server, address string, reg *prometheus.Registry, log *zap.Logger) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	l, err := listen("--operator-listen", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{Registry: reg}))
	mux.Handle("/", srv.OperatorHandler())
	h := &http.Server{Handler: mux, ReadHeaderTimeout: operatorTimeout}
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operator API", zap.Error(err))
		}
	}()
	log.Info("operator API", zap.String("address", l.Addr().String()))
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		_ = h.Shutdown(ctx)
	}, nil
}
