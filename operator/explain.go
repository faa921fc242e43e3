package operator

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/route"
)

// Explain is the command that shows the routing decisions for a request.
type Explain struct {
	OutputFlags
	EntryFlags
	Request string `arg:"positional,required" placeholder:"REQUEST-ID" help:"the response's X-Request-Id"`
}

func (e *Explain) run(ctx context.Context, streams Streams) error {
	responses, err := queryEntries[[]entry.Explanation](ctx, e.EntryFlags, "/decisions/"+url.PathEscape(e.Request))
	if err != nil {
		return err
	}
	found := 0
	for _, resp := range responses {
		found += len(resp.Value)
	}
	if e.JSON {
		err = printJSON(streams.Out, responses)
	} else {
		err = printDecisions(streams.Out, responses)
	}
	if err != nil || found > 0 {
		return err
	}
	if err := responseErrors(responses); err != nil {
		return err
	}
	return &Error{Exit: ExitFailed, Message: fmt.Sprintf("no entry has a decision for request %q; each entry keeps only the latest ones (--decision-records)", e.Request)}
}

func printDecisions(w io.Writer, responses []entryResponse[[]entry.Explanation]) error {
	for _, resp := range responses {
		for _, x := range resp.Value {
			d := x.Decision
			fmt.Fprintf(w, "%s  entry %s  service %s  chosen %s  reason: %s  expected first token %.1f ms\n",
				x.Time.Format(time.RFC3339Nano), resp.Address, d.Service, orNone(d.Chosen), d.Reason, d.Score)
			if err := printCandidates(w, d); err != nil {
				return err
			}
		}
	}
	return nil
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func printCandidates(w io.Writer, d route.Decision) error {
	t := newTable(w, "  ENDPOINT", "SCORE MS", "DROPPED BECAUSE")
	for _, c := range d.Candidates {
		score := ""
		if c.Excluded == "" {
			score = fmt.Sprintf("%.1f", c.Score)
		}
		t.row("  "+c.ID, score, c.Excluded)
	}
	if more := d.Total - len(d.Candidates); more > 0 {
		t.row(fmt.Sprintf("  and %d more", more), "", "")
	}
	return t.flush()
}
