// Package operator holds the commands that an operator runs from a shell: edits
// of service documents, the state of the system and the reasons of decisions.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/kernel"
)

// Exit statuses of the commands.
const (
	// ExitDone means the command did what it was asked to.
	ExitDone = 0
	// ExitFailed means a system did not answer, or something was not found.
	ExitFailed = 1
	// ExitUsage means a flag, an argument or an environment variable is wrong.
	ExitUsage = 2
	// ExitConflict means another edit was accepted first; nothing was written.
	ExitConflict = 3
	// ExitInvalid means the document has errors; nothing was written.
	ExitInvalid = 4
)

// ExitHelp describes the exit statuses for the commands' help.
const ExitHelp = `Exit status:
  0  done
  1  failed: a system did not answer, or something was not found
  2  wrong flag, argument or environment variable
  3  refused because another edit was accepted first; the difference is shown
  4  the service document is not valid; every problem is shown`

const (
	// kvTimeout bounds one call to the key-value service.
	kvTimeout = 2 * time.Second
	// commandTimeout bounds a command, with all tries of a write.
	commandTimeout = 30 * time.Second
	// entryTimeout bounds one call to an entry's operator API.
	entryTimeout = 5 * time.Second
)

// Streams are the command's standard streams.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Error is a failed command with its exit status.
type Error struct {
	Exit    int
	Message string
	// Hint says what to do next; empty when the message says it.
	Hint string
	// Input is a refused document from standard input, which may exist nowhere else.
	Input string
	Err   error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Message
	}
	if e.Message == "" {
		return e.Err.Error()
	}
	return e.Message + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usage(format string, args ...any) *Error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// asError gives an error of the packages below its exit status.
func asError(err error) *Error {
	var e *Error
	var conflict *config.ConflictError
	var invalid *config.Error
	var store *config.StoreError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &conflict):
		return &Error{Exit: ExitConflict, Err: err, Hint: fmt.Sprintf("nothing was written; the lines lead from generation %d to the refused document; "+
			"make the edit in the output of \"citrontiller service get %s\"", conflict.Current.Generation, conflict.Service)}
	case errors.As(err, &store):
		// The cause of a store error may be a stored record that isn't valid.
		e = &Error{Exit: ExitFailed, Err: err}
		if store.ChangeID != "" {
			e.Hint = fmt.Sprintf("\"citrontiller service history %s\" shows whether the change was accepted", store.Service)
		}
		return e
	case errors.As(err, &invalid):
		return &Error{Exit: ExitInvalid, Err: err}
	default:
		return &Error{Exit: ExitFailed, Err: err}
	}
}

// command is one operator command.
type command interface {
	run(ctx context.Context, io Streams) error
	json() bool
}

// Commands are the operator commands, as subcommands of the binary.
type Commands struct {
	Service *Service `arg:"subcommand:service" help:"edit and read service documents"`
	Status  *Status  `arg:"subcommand:status" help:"show generations, readiness and endpoints by state"`
	Explain *Explain `arg:"subcommand:explain" help:"show why a request went where it did"`
}

// Output is the format of the result.
type OutputFlags struct {
	JSON bool `arg:"--json,env:CITRONTILLER_JSON" help:"print JSON instead of tables"`
}

func (o OutputFlags) json() bool { return o.JSON }

// Access is the way to the key-value service.
type StoreFlags struct {
	KV string `arg:"--kv,env:CITRONTILLER_KV" help:"URL of the key-value service"`
}

func (a StoreFlags) store(ctx context.Context) (*config.Store, error) {
	if err := process.CheckURL("--kv", a.KV); err != nil {
		return nil, &Error{Exit: ExitUsage, Err: err}
	}
	kv, err := kernel.Load[infra.KV](ctx, "kv.etcd", kernel.Settings{Address: a.KV, Timeout: kvTimeout, Log: zap.NewNop()})
	if err != nil {
		return nil, &Error{Exit: ExitFailed, Err: err}
	}
	return &config.Store{KV: kv}, nil
}

// selected returns the command given on the command line, nil for none.
func (c *Commands) selected() command {
	switch {
	case c.Status != nil:
		return c.Status
	case c.Explain != nil:
		return c.Explain
	case c.Service == nil:
		return nil
	}
	s := c.Service
	switch {
	case s.Apply != nil:
		return s.Apply
	case s.Get != nil:
		return s.Get
	case s.Validate != nil:
		return s.Validate
	case s.Diff != nil:
		return s.Diff
	case s.History != nil:
		return s.History
	case s.List != nil:
		return s.List
	}
	return nil
}

// Run runs the command that was given and returns its exit status. Results go
// to Out, and errors to Err, as JSON objects when the command has --json.
func (c *Commands) Run(ctx context.Context, io Streams) int {
	cmd := c.selected()
	if cmd == nil {
		fmt.Fprintln(io.Err, "citrontiller: a command is missing: entry, service (apply, get, validate, diff, history or list), status, explain")
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := cmd.run(ctx, io)
	if err == nil {
		return ExitDone
	}
	e := asError(err)
	if cmd.json() {
		_ = printJSON(io.Err, failureOf(e))
	} else {
		e.print(io)
	}
	return e.Exit
}

func (e *Error) print(io Streams) {
	fmt.Fprintln(io.Err, "citrontiller:", e)
	if e.Hint != "" {
		fmt.Fprintln(io.Err, "citrontiller:", e.Hint)
	}
	if e.Input != "" {
		fmt.Fprintln(io.Err, "citrontiller: the document from standard input was not accepted and follows on standard output")
		fmt.Fprint(io.Out, e.Input)
	}
}
