package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/citrontiller/citrontiller/config"
)

// failure is the JSON form of an Error.
type failure struct {
	Error    string    `json:"error"`
	Exit     int       `json:"exit"`
	Problems []problem `json:"problems,omitempty"`
	Conflict *conflict `json:"conflict,omitempty"`
	// ChangeID is the id of a change whose outcome is unknown.
	ChangeID string `json:"change_id,omitempty"`
	Hint     string `json:"hint,omitempty"`
	// Input is the refused document from standard input.
	Input string `json:"input,omitempty"`
}

// problem is the JSON form of a config.Error.
type problem struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// conflict is the JSON form of a config.ConflictError. It describes the edit that
// was accepted first.
type conflict struct {
	Service    string          `json:"service"`
	Base       int64           `json:"base"`
	Generation int64           `json:"generation"`
	Author     string          `json:"author"`
	ChangeID   string          `json:"change_id"`
	Changes    []config.Change `json:"changes"`
}

func newFailure(e *Error) failure {
	f := failure{Error: e.Error(), Exit: e.Exit, Problems: flattenProblems(e.Err), Hint: e.Hint, Input: e.Input}
	var c *config.ConflictError
	if errors.As(e, &c) {
		f.Conflict = &conflict{c.Service, c.Base, c.Current.Generation, c.Current.Author, c.Current.ChangeID, c.Changes}
	}
	var s *config.StoreError
	if errors.As(e, &s) {
		f.ChangeID = s.ChangeID
	}
	return f
}

// flattenProblems returns the config.Errors of an error that may be joined from
// several.
func flattenProblems(err error) []problem {
	var out []problem
	switch x := err.(type) {
	case *config.Error:
		if x.Err != nil {
			return []problem{{Value: x.Err.Error()}}
		}
		return []problem{{x.Path, fmt.Sprint(x.Value), x.Allowed}}
	case interface{ Unwrap() []error }:
		for _, e := range x.Unwrap() {
			out = append(out, flattenProblems(e)...)
		}
	}
	return out
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// table writes rows in aligned columns. An empty cell is printed as "-".
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, header ...any) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		if text[i] = fmt.Sprint(c); text[i] == "" {
			text[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

func printChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		fmt.Fprintln(w, " ", c)
	}
}
