// Command citrontiller runs an entry or a gateway, which serve callers, and has
// the operator's commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/citrontiller/citrontiller/internal/entryd"
	"github.com/citrontiller/citrontiller/internal/gatewayd"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/operator"
	_ "github.com/citrontiller/citrontiller/plugins/etcd"    // registers kv.etcd
	_ "github.com/citrontiller/citrontiller/plugins/httpsd"  // registers hosts.httpsd
	_ "github.com/citrontiller/citrontiller/plugins/openai"  // registers endpoint.openai
	_ "github.com/citrontiller/citrontiller/plugins/plain"   // registers endpoint.plain
	_ "github.com/citrontiller/citrontiller/plugins/weights" // registers weights.http
)

type settings struct {
	Entry   *entryd.Settings   `arg:"subcommand:entry" help:"run an entry"`
	Gateway *gatewayd.Settings `arg:"subcommand:gateway" help:"run a gateway on the platform"`
	operator.Commands
}

// Version returns the text that go-arg prints for --version.
func (settings) Version() string { return process.Version("citrontiller") }

// Epilogue returns the text that go-arg prints after the help.
func (settings) Epilogue() string { return operator.ExitHelp }

func main() {
	var s settings
	arg.MustParse(&s)
	// A command that is interrupted while it writes still reports its change id.
	ctx, stop := process.SignalContext()
	defer stop()
	if s.Gateway != nil {
		os.Exit(exitStatus(gatewayd.Run(ctx, *s.Gateway)))
	}
	if s.Entry != nil {
		os.Exit(exitStatus(entryd.Run(ctx, *s.Entry)))
	}
	os.Exit(s.Run(ctx, operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

// exitStatus prints a server's error and returns the exit status for it.
func exitStatus(err error) int {
	if err == nil {
		return operator.ExitDone
	}
	fmt.Fprintln(os.Stderr, "citrontiller:", err)
	if bad := (*process.SettingError)(nil); errors.As(err, &bad) {
		return operator.ExitUsage
	}
	return operator.ExitFailed
}
