package operator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/citrontiller/citrontiller/catalog/check"
	"github.com/citrontiller/citrontiller/platform"
)

// Exit statuses of Check.
const (
	// ExitWarnings means that there are warnings, with --strict.
	ExitWarnings = 1
	// ExitErrors means that there are errors.
	ExitErrors = 2
)

// Check is the command that checks a platform configuration without any network.
type Check struct {
	OutputFlags
	documentFile
	InForce string `arg:"--in-force,env:CITRONTILLER_IN_FORCE" placeholder:"FILE" help:"the configuration in force; what differs from it is listed"`
	Strict  bool   `arg:"--strict,env:CITRONTILLER_STRICT" help:"fail on warnings too"`
}

// checkResult is the JSON output of Check.
type checkResult struct {
	Findings []checkFinding `json:"findings"`
	// Changes is absent without --in-force.
	Changes []checkChange `json:"changes,omitempty"`
}

type checkFinding struct {
	Severity check.Severity `json:"severity"`
	Field    string         `json:"field"`
	Message  string         `json:"message"`
}

type checkChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

func (c *Check) run(_ context.Context, streams Streams) error {
	input, err := c.read(streams.In)
	if err != nil {
		return err
	}
	findings, document := platform.CheckConfig(input)
	var changes []check.Change
	if c.InForce != "" {
		inForce, err := c.readInForce()
		if err != nil {
			return err
		}
		if document != nil {
			findings = append(findings, check.NotNewer(*document, *inForce)...)
			changes = check.Diff(*inForce, *document)
		}
	}
	if c.JSON {
		err = printJSON(streams.Out, newCheckResult(findings, changes))
	} else {
		err = c.print(streams.Out, findings, changes, document != nil)
	}
	if err != nil {
		return err
	}
	return c.status(findings)
}

// readInForce reads the configuration in force. Its findings are left out: only the new
// configuration is checked.
func (c *Check) readInForce() (*check.Document, error) {
	data, err := os.ReadFile(c.InForce)
	if err != nil {
		return nil, settingError("--in-force", c.InForce, "a file that can be read: "+err.Error())
	}
	findings, document := platform.CheckConfig(data)
	if document == nil {
		return nil, settingError("--in-force", c.InForce, "a configuration: "+findings[0].Message)
	}
	return document, nil
}

func newCheckResult(findings []check.Finding, changes []check.Change) checkResult {
	out := checkResult{Findings: []checkFinding{}}
	for _, f := range findings {
		out.Findings = append(out.Findings, checkFinding{f.Severity, platform.FieldName(f.Field), f.Message})
	}
	for _, d := range changes {
		out.Changes = append(out.Changes, checkChange{platform.FieldName(d.Field), d.Old, d.New})
	}
	return out
}

// print prints the findings and, with --in-force, the changes as text.
func (c *Check) print(w io.Writer, findings []check.Finding, changes []check.Change, decoded bool) error {
	result := newCheckResult(findings, changes)
	if len(findings) > 0 {
		t := newTable(w, "SEVERITY", "FIELD", "PROBLEM")
		for _, f := range result.Findings {
			t.row(f.Severity, f.Field, f.Message)
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	if c.InForce != "" && decoded {
		fmt.Fprintf(w, "changes from the configuration in force: %d\n", len(changes))
		for _, d := range result.Changes {
			fmt.Fprintf(w, "  %s: %s -> %s\n", d.Field, orNone(d.Old), orNone(d.New))
		}
	}
	errors := len(check.Errors(findings))
	_, err := fmt.Fprintf(w, "errors: %d, warnings: %d\n", errors, len(findings)-errors)
	return err
}

// status returns the error with the exit status for the findings, nil if they are allowed.
func (c *Check) status(findings []check.Finding) error {
	switch {
	case len(check.Errors(findings)) > 0:
		return &Error{Exit: ExitErrors, Message: fmt.Sprintf("%s: the configuration has errors and would not be put in force", c.File)}
	case c.Strict && len(findings) > 0:
		return &Error{Exit: ExitWarnings, Message: fmt.Sprintf("%s: the configuration has warnings", c.File)}
	}
	return nil
}
