// Command citrontiller-agent runs beside the endpoints of one host and is the
// only path to them.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/platform"
	_ "github.com/citrontiller/citrontiller/plugins/openai" // registers endpoint.openai
	_ "github.com/citrontiller/citrontiller/plugins/plain"  // registers endpoint.plain
	"github.com/citrontiller/citrontiller/wire/pb"
)

type settings struct {
	Listen    string   `arg:"--listen,env:CITRONTILLER_AGENT_LISTEN,required" help:"ip:port for entries"`
	Endpoints []string `arg:"--endpoint,separate,env:CITRONTILLER_AGENT_ENDPOINTS,required" help:"id,service,kind,ip:port of an endpoint; kind is engine or plain; repeatable"`
	LogLevel  string   `arg:"--log-level,env:CITRONTILLER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Version implements go-arg's version flag.
func (settings) Version() string { return process.Version("citrontiller-agent") }

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "citrontiller-agent:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	log, err := process.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	endpoints, err := parseEndpoints(s.Endpoints)
	if err != nil {
		return err
	}
	ctx, stop := process.UntilSignal()
	defer stop()
	opts := agent.DefaultOptions()
	opts.Log = log
	srv, err := agent.New(opts, endpoints, func(ep agent.Endpoint) (agent.Driver, error) {
		id := "endpoint.openai"
		if ep.Kind == platform.Plain {
			id = "endpoint.plain"
		}
		return kernel.Load[agent.Driver](ctx, id, kernel.Settings{Address: ep.Address, Timeout: 2 * time.Second, Log: log})
	})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen %s: %w", s.Listen, err)
	}
	g := grpc.NewServer()
	pb.RegisterAgentServer(g, srv)
	go srv.Sweep(ctx, 10*time.Second)
	go srv.Follow(ctx)
	go func() {
		<-ctx.Done()
		srv.Leave()
		_ = srv.Drain(context.Background())
		g.GracefulStop()
	}()
	log.Info("listening", zap.String("address", l.Addr().String()), zap.String("incarnation", srv.Incarnation()))
	return g.Serve(l)
}

func parseEndpoints(in []string) ([]agent.Endpoint, error) {
	var out []agent.Endpoint
	for _, v := range in {
		f := strings.Split(v, ",")
		if len(f) != 4 || f[0] == "" || f[1] == "" {
			return nil, fmt.Errorf("--endpoint: got %q, allowed: id,service,kind,ip:port", v)
		}
		kind := platform.Kind(f[2])
		if kind != platform.Engine && kind != platform.Plain {
			return nil, fmt.Errorf("--endpoint: kind is %q, allowed: engine, plain", f[2])
		}
		if _, _, err := net.SplitHostPort(f[3]); err != nil {
			return nil, fmt.Errorf("--endpoint: address is %q, allowed: ip:port", f[3])
		}
		out = append(out, agent.Endpoint{ID: f[0], Service: f[1], Kind: kind, Address: f[3]})
	}
	return out, nil
}
