package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
)

// Service holds the commands on service documents.
type Service struct {
	Apply    *apply    `arg:"subcommand:apply" help:"check a document and put it in force"`
	Get      *get      `arg:"subcommand:get" help:"print a document with the generation it is edited from"`
	Validate *validate `arg:"subcommand:validate" help:"check a document without any network"`
	Diff     *diff     `arg:"subcommand:diff" help:"compare a document with the one in force"`
	History  *history  `arg:"subcommand:history" help:"list the accepted edits of a service"`
	List     *list     `arg:"subcommand:list" help:"list the services"`
}

// apply validates a document and puts it in force.
type apply struct {
	OutputFlags
	StoreFlags
	documentFile
	Base   *int64 `arg:"--base,env:CITRONTILLER_BASE" help:"generation the document was edited from, 0 for a new service [default: the file's edited_from, else the generation read just before]"`
	Author string `arg:"--author,env:CITRONTILLER_AUTHOR" help:"who makes the edit [default: the environment's USER]"`
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Service    string          `json:"service"`
	Base       int64           `json:"base"`
	Generation int64           `json:"generation"`
	ChangeID   string          `json:"change_id"`
	Author     string          `json:"author"`
	Time       time.Time       `json:"time"`
	Changes    []config.Change `json:"changes"`
}

func (a *apply) run(ctx context.Context, streams Streams) error {
	if a.Author == "" {
		a.Author = os.Getenv("USER")
	}
	if a.Author == "" {
		return settingError("--author", "", "a name; the environment's USER is empty too")
	}
	if a.Base != nil && *a.Base < 0 {
		return settingError("--base", strconv.FormatInt(*a.Base, 10), "a generation of 0 or more")
	}
	input, err := a.read(streams.In)
	if err != nil {
		return err
	}
	err = a.apply(ctx, streams, input)
	if err == nil || a.File != "-" {
		return err
	}
	e := toError(err)
	e.Input = string(input)
	return e
}

func (a *apply) apply(ctx context.Context, streams Streams, input []byte) error {
	document, base, err := removeAnnotation(input)
	if err != nil {
		return err
	}
	doc, err := config.Parse(document)
	if err != nil {
		return err
	}
	store, err := a.store(ctx)
	if err != nil {
		return err
	}
	changes, current, err := store.Diff(ctx, document)
	if err != nil {
		return err
	}
	switch {
	case a.Base != nil:
		base = a.Base
	case base == nil:
		base = &current.Generation
		fmt.Fprintf(streams.Err, "citrontiller: service %q: edited from generation %d, which was read just now\n", doc.Service, *base)
	}
	r, err := store.Apply(ctx, document, *base, a.Author)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(streams.Out, applyResult{doc.Service, *base, r.Generation, r.ChangeID, r.Author, r.Time, changes})
	}
	fmt.Fprintf(streams.Out, "service %q: generation %d accepted, change %s by %s; in force everywhere within 19 s\n", doc.Service, r.Generation, r.ChangeID, r.Author)
	printChanges(streams.Out, changes)
	return nil
}

// get prints a document with its annotation.
type get struct {
	OutputFlags
	StoreFlags
	Name string `arg:"positional,required" help:"name of the service"`
}

func (g *get) run(ctx context.Context, streams Streams) error {
	store, err := g.store(ctx)
	if err != nil {
		return err
	}
	r, _, err := store.Get(ctx, g.Name)
	if err != nil {
		return serviceError(err, g.Name)
	}
	if g.JSON {
		return printJSON(streams.Out, r)
	}
	text, err := addAnnotation(r.Document, r.Generation)
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(text)
	return err
}

// serviceError replaces an infra.ErrNotFound by a message that names the service.
func serviceError(err error, name string) error {
	if errors.Is(err, infra.ErrNotFound) {
		return &Error{Exit: ExitFailed, Message: fmt.Sprintf("service %q does not exist; \"citrontiller service list\" shows the names", name)}
	}
	return err
}

// validate checks a document without network access.
type validate struct {
	OutputFlags
	documentFile
}

func (v *validate) run(_ context.Context, streams Streams) error {
	input, err := v.read(streams.In)
	if err != nil {
		return err
	}
	document, _, err := removeAnnotation(input)
	if err != nil {
		return err
	}
	doc, err := config.Parse(document)
	if err != nil {
		return err
	}
	if v.JSON {
		return printJSON(streams.Out, doc)
	}
	fmt.Fprintf(streams.Out, "service %q: the document is valid\n", doc.Service)
	return nil
}

// diff compares a document with the one in force.
type diff struct {
	OutputFlags
	StoreFlags
	documentFile
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Generation int64           `json:"generation"`
	Changes    []config.Change `json:"changes"`
}

func (d *diff) run(ctx context.Context, streams Streams) error {
	input, err := d.read(streams.In)
	if err != nil {
		return err
	}
	document, _, err := removeAnnotation(input)
	if err != nil {
		return err
	}
	if _, err := config.Parse(document); err != nil {
		return err
	}
	store, err := d.store(ctx)
	if err != nil {
		return err
	}
	changes, current, err := store.Diff(ctx, document)
	if err != nil {
		return err
	}
	if d.JSON {
		return printJSON(streams.Out, diffResult{current.Generation, changes})
	}
	fmt.Fprintf(streams.Out, "generation %d -> %s: %d changes\n", current.Generation, d.File, len(changes))
	printChanges(streams.Out, changes)
	return nil
}

// history lists the accepted edits of a service.
type history struct {
	OutputFlags
	StoreFlags
	Name string `arg:"positional,required" help:"name of the service"`
}

// historyRow is one edit in the JSON output of history.
type historyRow struct {
	Generation int64           `json:"generation"`
	Time       time.Time       `json:"time"`
	Author     string          `json:"author"`
	ChangeID   string          `json:"change_id"`
	Changes    []config.Change `json:"changes"`
	Document   json.RawMessage `json:"document"`
}

func (h *history) run(ctx context.Context, streams Streams) error {
	store, err := h.store(ctx)
	if err != nil {
		return err
	}
	records, err := store.History(ctx, h.Name)
	if err != nil {
		return serviceError(err, h.Name)
	}
	edits := historyRows(records)
	if h.JSON {
		return printJSON(streams.Out, edits)
	}
	t := newTable(streams.Out, "GENERATION", "TIME", "AUTHOR", "CHANGE", "CHANGES")
	for _, e := range edits {
		t.row(e.Generation, e.Time.Format(time.RFC3339), e.Author, e.ChangeID, len(e.Changes))
	}
	return t.flush()
}

// historyRows returns one row per record, with the changes from the preceding record.
func historyRows(records []*config.Record) []historyRow {
	var before *config.Document
	out := []historyRow{}
	for _, r := range records {
		// A document that no longer parses, such as one of an earlier format, counts
		// as one without fields.
		doc, err := config.Parse(r.Document)
		if err != nil {
			doc = nil
		}
		out = append(out, historyRow{r.Generation, r.Time, r.Author, r.ChangeID, config.Diff(before, doc), r.Document})
		before = doc
	}
	return out
}

// list lists the services with their generations.
type list struct {
	OutputFlags
	StoreFlags
}

func (l *list) run(ctx context.Context, streams Streams) error {
	store, err := l.store(ctx)
	if err != nil {
		return err
	}
	records, err := store.List(ctx)
	if err != nil {
		return err
	}
	if l.JSON {
		return printJSON(streams.Out, records)
	}
	t := newTable(streams.Out, "SERVICE", "GENERATION", "TIME", "AUTHOR", "CHANGE")
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name]
		t.row(name, r.Generation, r.Time.Format(time.RFC3339), r.Author, r.ChangeID)
	}
	return t.flush()
}
