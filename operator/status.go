package operator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/member"
)

// Status shows the state of the system as the entries see it.
type Status struct {
	OutputFlags
	EntryFlags
}

func (s *Status) run(ctx context.Context, io Streams) error {
	answers, err := askAll[entry.Status](ctx, s.EntryFlags, "/status")
	if err != nil {
		return err
	}
	if s.JSON {
		err = printJSON(io.Out, answers)
	} else {
		err = printStatus(io.Out, answers)
	}
	if err != nil {
		return err
	}
	return unanswered(answers)
}

func printStatus(w io.Writer, answers []answer[entry.Status]) error {
	t := newTable(w, "ENTRY", "REGION", "FAILURE DOMAIN", "READY", "AGENTS UP", "ADDRESS")
	for _, a := range answers {
		if a.Error != "" {
			t.row("", "", "", "no answer", "", a.Address)
			continue
		}
		v := a.Value
		up := 0
		for _, g := range v.Agents {
			if g.Up {
				up++
			}
		}
		t.row(v.Entry, v.Region, v.FailureDomain, readiness(v), fmt.Sprintf("%d of %d", up, len(v.Agents)), a.Address)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printGenerations(w, answers); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return printEndpoints(w, answers)
}

func readiness(s entry.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// holders are the processes that hold a generation of a service.
type holders struct {
	entries []string
	agents  map[string]bool
}

// printGenerations lists which processes hold which generation. A service with
// one row is in force everywhere.
func printGenerations(w io.Writer, answers []answer[entry.Status]) error {
	t := newTable(w, "SERVICE", "GENERATION", "ENTRIES", "AGENTS", "BEHIND")
	for _, service := range servicesOf(answers) {
		by := generations(answers, service)
		order := slices.Sorted(maps.Keys(by))
		for _, g := range slices.Backward(order) {
			h, behind := by[g], ""
			if g != order[len(order)-1] {
				behind = strings.Join(append(h.entries, slices.Sorted(maps.Keys(h.agents))...), ",")
			}
			t.row(service, g, len(h.entries), len(h.agents), behind)
		}
	}
	return t.flush()
}

func servicesOf(answers []answer[entry.Status]) []string {
	names := map[string]bool{}
	for _, a := range answers {
		for _, s := range a.Value.Services {
			names[s.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// generations returns the holders of each generation of a service. An entry or
// an agent of the service that holds none counts for generation 0.
func generations(answers []answer[entry.Status], service string) map[int64]*holders {
	out := map[int64]*holders{}
	at := func(g int64) *holders {
		if out[g] == nil {
			out[g] = &holders{agents: map[string]bool{}}
		}
		return out[g]
	}
	highest := map[string]int64{}
	for _, a := range answers {
		if a.Error != "" {
			continue
		}
		held := int64(0)
		for _, s := range a.Value.Services {
			if s.Service == service {
				held = s.Generation
			}
		}
		h := at(held)
		h.entries = append(h.entries, a.Value.Entry)
		for _, e := range a.Value.Endpoints {
			if e.Service == service && e.Agent != "" {
				// Entries learn an agent's generation one after the other.
				highest[e.Agent] = max(highest[e.Agent], generationAt(a.Value, e.Agent, service))
			}
		}
	}
	for agent, g := range highest {
		at(g).agents[agent] = true
	}
	return out
}

func generationAt(s entry.Status, agent, service string) int64 {
	for _, a := range s.Agents {
		if a.Agent == agent {
			return a.Generations[service]
		}
	}
	return 0
}

// printEndpoints counts endpoints by state for each entry, because entries may
// see an endpoint differently.
func printEndpoints(w io.Writer, answers []answer[entry.Status]) error {
	t := newTable(w, "ENTRY", "SERVICE", "READY", "EJECTED", "JOINING", "LEAVING", "RUNNING", "QUEUED")
	for _, a := range answers {
		rows := map[string]*[6]int64{}
		for _, e := range a.Value.Endpoints {
			if rows[e.Service] == nil {
				rows[e.Service] = &[6]int64{}
			}
			r := rows[e.Service]
			r[column(e)]++
			r[4] += e.Running
			r[5] += e.Queued
		}
		for _, service := range slices.Sorted(maps.Keys(rows)) {
			r := rows[service]
			t.row(a.Value.Entry, service, r[0], r[1], r[2], r[3], r[4], r[5])
		}
	}
	return t.flush()
}

func column(e entry.EndpointStatus) int {
	switch {
	case e.State == member.Joining:
		return 2
	case e.State != member.Ready:
		return 3
	case e.Ejected:
		return 1
	default:
		return 0
	}
}
