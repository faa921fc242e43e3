// Command citrontiller is the entry that callers talk to, and the operator's
// commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/operator"
	"github.com/citrontiller/citrontiller/platform"
	_ "github.com/citrontiller/citrontiller/plugins/etcd"   // registers kv.etcd
	_ "github.com/citrontiller/citrontiller/plugins/httpsd" // registers hosts.httpsd
)

type entryCommand struct {
	Listen        string        `arg:"--listen,env:CITRONTILLER_LISTEN,required" help:"ip:port for callers"`
	KV            string        `arg:"--kv,env:CITRONTILLER_KV,required" help:"URL of the key-value service"`
	Hosts         string        `arg:"--hosts,env:CITRONTILLER_HOSTS,required" help:"URL of the host list"`
	Region        string        `arg:"--region,env:CITRONTILLER_REGION,required" help:"region of this host"`
	FailureDomain string        `arg:"--failure-domain,env:CITRONTILLER_FAILURE_DOMAIN,required" help:"failure domain of this host"`
	DrainDelay    time.Duration `arg:"--drain-delay,env:CITRONTILLER_DRAIN_DELAY" default:"3s" help:"time between failing readiness and closing the listener"`
	LogLevel      string        `arg:"--log-level,env:CITRONTILLER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

type settings struct {
	Entry *entryCommand `arg:"subcommand:entry" help:"run an entry"`
	operator.Commands
}

// Epilogue implements go-arg's text after the help.
func (settings) Epilogue() string { return operator.ExitHelp }

// Version implements go-arg's version flag.
func (settings) Version() string { return process.Version("citrontiller") }

func main() {
	var s settings
	arg.MustParse(&s)
	if s.Entry == nil {
		// An interrupted write still reports its change id.
		ctx, stop := process.UntilSignal()
		defer stop()
		os.Exit(s.Run(ctx, operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
	}
	if err := run(*s.Entry); err != nil {
		fmt.Fprintln(os.Stderr, "citrontiller:", err)
		os.Exit(1)
	}
}

func run(s entryCommand) error {
	log, err := process.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := process.UntilSignal()
	defer stop()
	kv, err := kernel.Load[platform.KV](ctx, "kv.etcd", kernel.Settings{Address: s.KV, Timeout: 2 * time.Second, Log: log})
	if err != nil {
		return err
	}
	hosts, err := kernel.Load[platform.HostList](ctx, "hosts.httpsd", kernel.Settings{Address: s.Hosts, Timeout: time.Second, Log: log})
	if err != nil {
		return err
	}
	opts := entry.DefaultOptions()
	opts.Region, opts.FailureDomain, opts.Log = s.Region, s.FailureDomain, log
	srv := entry.New(opts, kv, hosts)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen %s: %w", s.Listen, err)
	}
	h := &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	running, finish := context.WithCancel(context.Background())
	defer finish()
	go srv.Run(running)
	go func() {
		<-ctx.Done()
		time.Sleep(s.DrainDelay)
		_ = h.Shutdown(context.Background())
	}()
	log.Info("listening", zap.String("address", l.Addr().String()))
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return h.Shutdown(context.Background())
}
