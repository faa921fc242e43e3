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

// Status is the command that shows the state of the system as reported by the
// entries.
type Status struct {
	OutputFlags
	EntryFlags
}

func (s *Status) run(ctx context.Context, streams Streams) error {
	responses, err := queryEntries[entry.Status](ctx, s.EntryFlags, "/status")
	if err != nil {
		return err
	}
	if s.JSON {
		err = printJSON(streams.Out, responses)
	} else {
		err = printStatus(streams.Out, responses)
	}
	if err != nil {
		return err
	}
	return responseErrors(responses)
}

func printStatus(w io.Writer, responses []entryResponse[entry.Status]) error {
	t := newTable(w, "ENTRY", "REGION", "FAILURE DOMAIN", "READY", "AGENTS UP", "ADDRESS")
	for _, resp := range responses {
		if resp.Error != "" {
			t.row("", "", "", "no answer", "", resp.Address)
			continue
		}
		v := resp.Value
		up := 0
		for _, g := range v.Agents {
			if g.Up {
				up++
			}
		}
		t.row(v.Entry, v.Region, v.FailureDomain, readyState(v), fmt.Sprintf("%d of %d", up, len(v.Agents)), resp.Address)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printGenerations(w, responses); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return printEndpoints(w, responses)
}

func readyState(s entry.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// holders are the processes in which a generation of a service is in force.
type holders struct {
	entries []string
	agents  map[string]bool
}

// printGenerations prints a row for each generation of a service that a process
// holds. If a service has one row only, its generation is in force everywhere.
func printGenerations(w io.Writer, responses []entryResponse[entry.Status]) error {
	t := newTable(w, "SERVICE", "GENERATION", "ENTRIES", "AGENTS", "BEHIND")
	for _, service := range serviceNames(responses) {
		by := generations(responses, service)
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

func serviceNames(responses []entryResponse[entry.Status]) []string {
	names := map[string]bool{}
	for _, resp := range responses {
		for _, s := range resp.Value.Services {
			names[s.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// generations returns the holders of each generation of a service. An entry or an
// agent of the service that holds no generation is listed under 0.
func generations(responses []entryResponse[entry.Status], service string) map[int64]*holders {
	out := map[int64]*holders{}
	holdersOf := func(g int64) *holders {
		if out[g] == nil {
			out[g] = &holders{agents: map[string]bool{}}
		}
		return out[g]
	}
	highest := map[string]int64{}
	for _, resp := range responses {
		if resp.Error != "" {
			continue
		}
		held := int64(0)
		for _, s := range resp.Value.Services {
			if s.Service == service {
				held = s.Generation
			}
		}
		h := holdersOf(held)
		h.entries = append(h.entries, resp.Value.Entry)
		for _, e := range resp.Value.Endpoints {
			if e.Service == service && e.Agent != "" {
				// Entries receive an agent's generation at different times, so the
				// highest one reported is current.
				highest[e.Agent] = max(highest[e.Agent], agentGeneration(resp.Value, e.Agent, service))
			}
		}
	}
	for agent, g := range highest {
		holdersOf(g).agents[agent] = true
	}
	return out
}

// agentGeneration returns an agent's generation of a service as reported by one
// entry, or 0.
func agentGeneration(s entry.Status, agent, service string) int64 {
	for _, a := range s.Agents {
		if a.Agent == agent {
			return a.Generations[service]
		}
	}
	return 0
}

// printEndpoints prints the number of endpoints by state for each entry, because
// entries may have different views of an endpoint.
func printEndpoints(w io.Writer, responses []entryResponse[entry.Status]) error {
	t := newTable(w, "ENTRY", "SERVICE", "READY", "EJECTED", "JOINING", "LEAVING", "RUNNING", "QUEUED")
	for _, resp := range responses {
		rows := map[string]*[6]int64{}
		for _, e := range resp.Value.Endpoints {
			if rows[e.Service] == nil {
				rows[e.Service] = &[6]int64{}
			}
			r := rows[e.Service]
			r[stateColumn(e)]++
			r[4] += e.Running
			r[5] += e.Queued
		}
		for _, service := range slices.Sorted(maps.Keys(rows)) {
			r := rows[service]
			t.row(resp.Value.Entry, service, r[0], r[1], r[2], r[3], r[4], r[5])
		}
	}
	return t.flush()
}

// stateColumn returns the column of printEndpoints in which an endpoint is counted.
func stateColumn(e entry.EndpointStatus) int {
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
