// Command citrontiller-agent runs the agent of a host. Entries reach the host's
// endpoints only through it.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/citrontiller/citrontiller/internal/daemon"
	"github.com/citrontiller/citrontiller/internal/process"
)

func main() {
	var s daemon.Settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "citrontiller-agent:", err)
		os.Exit(1)
	}
}

func run(s daemon.Settings) error {
	log, err := process.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	return daemon.Run(ctx, s, log)
}
