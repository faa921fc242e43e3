// Package member tracks which endpoints exist and whether they may receive new
// requests, from the host list and the state of the agents.
package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/citrontiller/citrontiller/infra"
)

// State is an endpoint's state. Only endpoints in state Ready receive new requests.
type State string

// States of an endpoint.
const (
	// Joining endpoints are listed, but their agent is not connected.
	Joining State = "joining"
	// Ready endpoints may receive new requests.
	Ready State = "ready"
	// Leaving endpoints are reported as leaving by the host list or their agent.
	Leaving State = "leaving"
	// Gone endpoints are no longer listed. A Tracker returns no such endpoints.
	Gone State = "gone"
	// Updating endpoints load weights and receive no new requests meanwhile.
	Updating State = "updating"
)

// Endpoint is a listed endpoint with its state.
type Endpoint struct {
	infra.Host
	State State
}

// Tracker merges the host list and the state of the agents. It is safe for
// concurrent use.
type Tracker struct {
	mu sync.RWMutex
	// hosts holds the host list by endpoint id.
	hosts map[string]infra.Host
	// agents holds the agents' states by address.
	agents map[string]agentState
	// services holds the endpoints of each service ordered by id, and byID holds all
	// endpoints. Both are rebuilt by the first read after a change.
	services map[string][]Endpoint
	byID     map[string]Endpoint
}

// agentState is the last known state of an agent.
type agentState struct {
	// up is true while the agent can be reached.
	up bool
	// leaving is true when the agent is draining.
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

// PutHost adds a host to the list or replaces its entry.
func (t *Tracker) PutHost(h infra.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.hosts[h.ID]; !ok || old != h {
		t.hosts[h.ID], t.services = h, nil
	}
}

// RemoveHost removes a host from the list.
func (t *Tracker) RemoveHost(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.hosts[id]; ok {
		delete(t.hosts, id)
		t.services = nil
	}
}

// SetAgent records the state of the agent at an address: whether it can be reached
// and whether it reports that it is leaving.
func (t *Tracker) SetAgent(address string, up, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := (agentState{up: up, leaving: leaving}); t.agents[address] != st {
		t.agents[address], t.services = st, nil
	}
}

// index returns the endpoints by service and by id, and rebuilds both first if they
// are out of date. The maps are not changed afterwards.
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

// rebuild rebuilds services and byID; the caller holds mu.
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

// Agents returns the addresses of all agents in the host list, without duplicates.
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

// Service returns the endpoints of a service with their states, ordered by id. The
// slice is shared and must not be changed.
func (t *Tracker) Service(name string) []Endpoint {
	services, _ := t.index()
	return services[name]
}

// Endpoint returns an endpoint with its state, and whether it is listed.
func (t *Tracker) Endpoint(id string) (Endpoint, bool) {
	_, byID := t.index()
	e, ok := byID[id]
	return e, ok
}

// state returns an endpoint's state from the host list and its agent; the caller
// holds mu.
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
