// Package operator implements the commands that an operator runs from a shell. They
// edit service documents, show the state of the system and explain routing
// decisions.
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that a system did not respond, or something was not found.
	ExitFailed = 1
	// ExitUsage means that a flag, an argument or an environment variable is
	// invalid.
	ExitUsage = 2
	// ExitConflict means that another edit was accepted first and nothing was
	// written.
	ExitConflict = 3
	// ExitInvalid means that the document is invalid and nothing was written.
	ExitInvalid = 4
)

// ExitHelp is the description of the exit statuses in the help text.
const ExitHelp = `Exit status:
  0  done
  1  failed: a system did not answer, or something was not found; check --strict: warnings
  2  wrong flag, argument or environment variable; check: the configuration has errors
  3  refused because another edit was accepted first; the difference is shown
  4  the service document is not valid; every problem is shown`

const (
	// kvTimeout is the time limit of one call to the key-value service.
	kvTimeout = 2 * time.Second
	// commandTimeout is the time limit of a command, including the retries of a
	// write.
	commandTimeout = 30 * time.Second
	// entryTimeout is the time limit of one call to an entry's operator API.
	entryTimeout = 5 * time.Second
)

// Streams holds the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Error reports a failed command. At least one of Message and Err is set.
type Error struct {
	Exit    int
	Message string
	// Hint suggests the next step; empty if the message is sufficient.
	Hint string
	// Input is the document from standard input if the command did not accept it.
	// It is returned to the operator because no other copy may exist.
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

// usageErrorf returns an *Error with ExitUsage.
func usageErrorf(format string, args ...any) *Error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

// settingError returns an *Error with ExitUsage that wraps a *process.SettingError.
func settingError(flag, value, allowed string) *Error {
	return &Error{Exit: ExitUsage, Err: &process.SettingError{Flag: flag, Value: value, Allowed: allowed}}
}

// toError converts an error to an *Error with the exit status for its type.
func toError(err error) *Error {
	var e *Error
	var conflict *config.ConflictError
	var invalid *config.Error
	var store *config.StoreError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &conflict):
		return &Error{Exit: ExitConflict, Err: err, Hint: fmt.Sprintf("nothing was written; the listed changes lead from generation %d to the refused document; "+
			"repeat the edit in the output of \"citrontiller service get %s\"", conflict.Current.Generation, conflict.Service)}
	case errors.As(err, &store):
		// This case precedes *config.Error, because a store error may wrap the
		// decoding error of a stored record, which is not the operator's input.
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

// command is implemented by each operator command.
type command interface {
	run(ctx context.Context, streams Streams) error
	// json reports whether results and errors are printed as JSON.
	json() bool
}

// Commands holds the operator commands, which are subcommands of the binary.
type Commands struct {
	Service *Service `arg:"subcommand:service" help:"edit and read service documents"`
	Status  *Status  `arg:"subcommand:status" help:"show generations, readiness and endpoints by state"`
	Explain *Explain `arg:"subcommand:explain" help:"show why a request went where it did"`
	Check   *Check   `arg:"subcommand:check" help:"check a platform configuration without any network"`
}

// OutputFlags are the flags that select the output format.
type OutputFlags struct {
	JSON bool `arg:"--json,env:CITRONTILLER_JSON" help:"print JSON instead of tables"`
}

func (o OutputFlags) json() bool { return o.JSON }

// StoreFlags are the flags of the commands that access the key-value service.
type StoreFlags struct {
	KV string `arg:"--kv,env:CITRONTILLER_KV" help:"URL of the key-value service"`
}

// store returns a store that uses the key-value service at the given URL.
func (f StoreFlags) store(ctx context.Context) (*config.Store, error) {
	if err := process.CheckURL("--kv", f.KV); err != nil {
		return nil, &Error{Exit: ExitUsage, Err: err}
	}
	kv, err := kernel.Load[infra.KV](ctx, "kv.etcd", kernel.Settings{Address: f.KV, Timeout: kvTimeout, Log: zap.NewNop()})
	if err != nil {
		return nil, &Error{Exit: ExitFailed, Err: err}
	}
	return &config.Store{KV: kv}, nil
}

// selected returns the command that was given on the command line, or nil if there
// is none.
func (c *Commands) selected() command {
	switch {
	case c.Status != nil:
		return c.Status
	case c.Explain != nil:
		return c.Explain
	case c.Check != nil:
		return c.Check
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

// Run runs the selected command and returns its exit status. It writes results to
// streams.Out and errors to streams.Err, both as JSON if --json is set.
func (c *Commands) Run(ctx context.Context, streams Streams) int {
	cmd := c.selected()
	if cmd == nil {
		fmt.Fprintln(streams.Err, "citrontiller: a command is missing: entry, service (apply, get, validate, diff, history or list), status, explain, check")
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := cmd.run(ctx, streams)
	if err == nil {
		return ExitDone
	}
	e := toError(err)
	if cmd.json() {
		_ = printJSON(streams.Err, newFailure(e))
	} else {
		e.print(streams)
	}
	return e.Exit
}

func (e *Error) print(streams Streams) {
	fmt.Fprintln(streams.Err, "citrontiller:", e)
	if e.Hint != "" {
		fmt.Fprintln(streams.Err, "citrontiller:", e.Hint)
	}
	if e.Input != "" {
		fmt.Fprintln(streams.Err, "citrontiller: the document from standard input was not accepted and follows on standard output")
		fmt.Fprint(streams.Out, e.Input)
	}
}
