// Package member tracks which endpoints exist and whether they may get new
// work, from the host list, the agents and the traffic itself.
package member

import (
	"sync"

	"github.com/citrontiller/citrontiller/platform"
)

// State is an endpoint's state. "Leaving" from any source stops new work.
type State string

// States of an endpoint.
const (
	Joining State = "joining"
	Ready   State = "ready"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Endpoint is an endpoint as the tracker sees it.
type Endpoint struct {
	platform.Host
	State State
}

// Tracker merges the sources. It is safe for concurrent use.
type Tracker struct {
	mu     sync.RWMutex
	hosts  map[string]platform.Host
	agents map[string]agentState
}

type agentState struct {
	up      bool
	leaving bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{hosts: map[string]platform.Host{}, agents: map[string]agentState{}}
}

// SetHosts replaces the host list.
func (t *Tracker) SetHosts(hosts []platform.Host) {
	m := make(map[string]platform.Host, len(hosts))
	for _, h := range hosts {
		m[h.ID] = h
	}
	t.mu.Lock()
	t.hosts = m
	t.mu.Unlock()
}

// SetAgent records what an agent says of itself, or that it can't be reached.
func (t *Tracker) SetAgent(address string, up, leaving bool) {
	t.mu.Lock()
	t.agents[address] = agentState{up: up, leaving: leaving}
	t.mu.Unlock()
}

// Hosts returns the host list.
func (t *Tracker) Hosts() []platform.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]platform.Host, 0, len(t.hosts))
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

// Service returns the endpoints of a service with their states.
func (t *Tracker) Service(name string) []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Endpoint
	for _, h := range t.hosts {
		if h.Service == name {
			out = append(out, Endpoint{Host: h, State: t.state(h)})
		}
	}
	return out
}

// state merges the sources; the caller holds mu.
func (t *Tracker) state(h platform.Host) State {
	a, known := t.agents[h.Agent]
	switch {
	case h.State == platform.Leaving || a.leaving:
		return Leaving
	case h.Agent == "" || (known && a.up):
		return Ready
	default:
		return Joining
	}
}
