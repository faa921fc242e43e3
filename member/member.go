// Package member tracks which endpoints exist and whether they may get new
// work, from the host list, the agents and the traffic itself.
package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/citrontiller/citrontiller/infra"
)

// State is an endpoint's state. "Leaving" from any source stops new work.
type State string

// States of an endpoint.
const (
	Joining State = "joining"
	Ready   State = "ready"
	Leaving State = "leaving"
	Gone    State = "gone"
	// Updating endpoints load weights and take no requests meanwhile.
	Updating State = "updating"
)

// Endpoint is an endpoint as the tracker sees it.
type Endpoint struct {
	infra.Host
	State State
}

// Tracker merges the sources. It is safe for concurrent use.
type Tracker struct {
	mu     sync.RWMutex
	hosts  map[string]infra.Host
	agents map[string]agentState
	// services holds the endpoints of each service in the order of their ids,
	// byID all of them; both are rebuilt by the first reader after a change.
	services map[string][]Endpoint
	byID     map[string]Endpoint
}

type agentState struct {
	up      bool
	leaving bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{hosts: map[string]infra.Host{}, agents: map[string]agentState{}}
}

// SetHosts replaces the host list.
func (t *Tracker) SetHosts(hosts []infra.Host) {
	m := make(map[string]infra.Host, len(hosts))
	for _, h := range hosts {
		m[h.ID] = h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(m, t.hosts) {
		t.hosts, t.services = m, nil
	}
}

// SetAgent records what an agent says of itself, or that it can't be reached.
func (t *Tracker) SetAgent(address string, up, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := (agentState{up: up, leaving: leaving}); t.agents[address] != st {
		t.agents[address], t.services = st, nil
	}
}

// index returns the endpoints by service and by id. Neither is changed later.
func (t *Tracker) index() (map[string][]Endpoint, map[string]Endpoint) {
	t.mu.RLock()
	services, byID := t.services, t.byID
	t.mu.RUnlock()
	if services != nil {
		return services, byID
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.rebuild()
	}
	return t.services, t.byID
}

// rebuild renews the index; the caller holds mu.
func (t *Tracker) rebuild() {
	t.services, t.byID = map[string][]Endpoint{}, make(map[string]Endpoint, len(t.hosts))
	for id, h := range t.hosts {
		e := Endpoint{Host: h, State: t.state(h)}
		t.byID[id] = e
		t.services[h.Service] = append(t.services[h.Service], e)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Hosts returns the host list.
func (t *Tracker) Hosts() []infra.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]infra.Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		out = append(out, h)
	}
	return out
}

// Agents returns the addresses of all agents in the host list.
func (t *Tracker) Agents() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	seen := map[string]bool{}
	var out []string
	for _, h := range t.hosts {
		if h.Agent != "" && !seen[h.Agent] {
			seen[h.Agent] = true
			out = append(out, h.Agent)
		}
	}
	return out
}

// Service returns the endpoints of a service with their states. The slice is
// shared and must not be changed.
func (t *Tracker) Service(name string) []Endpoint {
	services, _ := t.index()
	return services[name]
}

// Endpoint returns an endpoint with its state.
func (t *Tracker) Endpoint(id string) (Endpoint, bool) {
	_, byID := t.index()
	e, ok := byID[id]
	return e, ok
}

// state merges the sources; the caller holds mu.
func (t *Tracker) state(h infra.Host) State {
	a, known := t.agents[h.Agent]
	switch {
	case h.State == infra.Leaving || a.leaving:
		return Leaving
	case h.State == infra.Updating:
		return Updating
	case h.Agent == "" || (known && a.up):
		return Ready
	default:
		return Joining
	}
}
