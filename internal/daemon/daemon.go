package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/kernel"
	_ "github.com/citrontiller/citrontiller/plugins/openai" // registers endpoint.openai
	_ "github.com/citrontiller/citrontiller/plugins/plain"  // registers endpoint.plain
	"github.com/citrontiller/citrontiller/wire/pb"
)

const (
	// sweepInterval is the time between two evictions of expired results and
	// attempts.
	sweepInterval = 10 * time.Second
	// dialTimeout bounds the setup of a driver's connection to its endpoint.
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the time in which an operator's client must send its
	// headers.
	headerTimeout = 5 * time.Second
)

// Run runs an agent until ctx ends and its attempts have ended. For an invalid
// setting it returns a *process.SettingError.
func Run(ctx context.Context, s Settings, log *zap.Logger) error {
	opts, endpoints, err := s.Options(log)
	if err != nil {
		return err
	}
	creds, err := s.TLS.Server()
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	opts.Registry = reg
	// The background loops outlive ctx because attempts still need them during the
	// drain.
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	srv, err := agent.New(opts, endpoints, func(ep agent.Endpoint) (agent.Driver, error) { return loadDriver(backgroundCtx, ep, log) })
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen %s: %w", s.Listen, err)
	}
	if s.OperatorListen != "" {
		closeOperator, err := serveOperator(s.OperatorListen, srv, reg, log)
		if err != nil {
			return err
		}
		defer closeOperator()
	}
	go srv.Sweep(backgroundCtx, sweepInterval)
	go srv.Follow(backgroundCtx)
	log.Info("listening", zap.String("address", l.Addr().String()), zap.String("incarnation", srv.Incarnation()),
		zap.String("region", s.Region), zap.String("failure_domain", s.FailureDomain))
	return serve(ctx, grpc.NewServer(grpc.Creds(creds)), srv, l, s.StopTimeout)
}

func loadDriver(ctx context.Context, ep agent.Endpoint, log *zap.Logger) (agent.Driver, error) {
	return agent.LoadDriver(ctx, ep, kernel.Settings{Timeout: dialTimeout, Log: log})
}

// serve serves entries until ctx ends, then drains the agent and stops the server.
func serve(ctx context.Context, g *grpc.Server, srv *agent.Server, l net.Listener, timeout time.Duration) error {
	pb.RegisterAgentServer(g, srv)
	serveErr := make(chan error, 1)
	go func() { serveErr <- g.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	srv.Leave()
	if err := srv.Drain(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	gracefulStop(g, timeout)
	return <-serveErr
}

// gracefulStop waits until entries have read what was sent to them, and closes the
// remaining connections after timeout. Without the bound, an entry that stops
// responding would block the stop forever.
func gracefulStop(g *grpc.Server, timeout time.Duration) {
	t := time.AfterFunc(timeout, g.Stop)
	defer t.Stop()
	g.GracefulStop()
}

// serveOperator starts the HTTP server for operators and returns the function
// that closes it.
func serveOperator(address string, srv *agent.Server, reg prometheus.Gatherer, log *zap.Logger) (func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &process.SettingError{Flag: "--operator-listen", Value: address, Allowed: "a free ip:port", Err: err}
	}
	h := &http.Server{Handler: operatorHandler(srv, reg), ReadHeaderTimeout: headerTimeout}
	go func() { _ = h.Serve(l) }()
	log.Info("operator listening", zap.String("address", l.Addr().String()))
	return func() { _ = h.Close() }, nil
}

func operatorHandler(srv *agent.Server, reg prometheus.Gatherer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !srv.Ready() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}
