package entry

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Status is the state of an entry, its agents and its endpoints.
type Status struct {
	Entry         string           `json:"entry"`
	Region        string           `json:"region"`
	FailureDomain string           `json:"failure_domain"`
	Ready         bool             `json:"ready"`
	Draining      bool             `json:"draining"`
	Services      []ServiceStatus  `json:"services"`
	Agents        []AgentStatus    `json:"agents"`
	Endpoints     []EndpointStatus `json:"endpoints"`
}

// ServiceStatus identifies the record in force of a service.
type ServiceStatus struct {
	Service    string `json:"service"`
	Generation int64  `json:"generation"`
	ChangeID   string `json:"change_id"`
}

// AgentStatus is the state of the entry's link to an agent.
type AgentStatus struct {
	// Agent is the agent's address.
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Up          bool   `json:"up"`
	Leaving     bool   `json:"leaving"`
	// RTTMs is the round-trip time in milliseconds, 0 before the first measurement.
	RTTMs float64 `json:"rtt_ms"`
	// Generations are those that the agent reported at the last exchange, by
	// service.
	Generations map[string]int64 `json:"generations"`
}

// EndpointStatus is the state of an endpoint with its last load report.
type EndpointStatus struct {
	ID            string       `json:"id"`
	Service       string       `json:"service"`
	Kind          infra.Kind   `json:"kind"`
	Agent         string       `json:"agent"`
	Region        string       `json:"region"`
	FailureDomain string       `json:"failure_domain"`
	State         member.State `json:"state"`
	// Ejected endpoints receive only probes because of failures observed by this
	// entry.
	Ejected bool   `json:"ejected"`
	Version string `json:"version"`
	BootID  string `json:"boot_id"`
	// Running, Queued and Limit are numbers of requests: running, waiting in the
	// agent's queue, and the most that may run at once.
	Running int64 `json:"running"`
	Queued  int64 `json:"queued"`
	Limit   int64 `json:"limit"`
	// InFlight counts this entry's requests in flight at the endpoint.
	InFlight int64 `json:"in_flight"`
	// Residual is the ratio of observed to predicted time to first token.
	Residual float64 `json:"residual"`
	// WaitMs is the expected wait before prefill starts, in milliseconds.
	WaitMs float64 `json:"wait_ms"`
}

// Status returns a snapshot with each list sorted by name.
func (s *Server) Status() Status {
	st := Status{Entry: s.opts.ID, Region: s.opts.Region, FailureDomain: s.opts.FailureDomain, Ready: s.Ready(), Draining: s.draining.Load(),
		Services: []ServiceStatus{}, Agents: s.agentStatuses(), Endpoints: s.endpointStatuses()}
	for _, name := range s.Config.Services() {
		if e, ok := s.Config.Get(name); ok {
			st.Services = append(st.Services, ServiceStatus{name, e.Record.Generation, e.Record.ChangeID})
		}
	}
	return st
}

func (s *Server) agentStatuses() []AgentStatus {
	s.mu.Lock()
	links := maps.Clone(s.links)
	s.mu.Unlock()
	out := make([]AgentStatus, 0, len(links))
	for _, addr := range slices.Sorted(maps.Keys(links)) {
		l := links[addr].State()
		out = append(out, AgentStatus{Agent: addr, Incarnation: l.Incarnation, Up: l.Up, Leaving: l.Leaving,
			RTTMs: float64(l.RTT) / float64(time.Millisecond), Generations: s.configSync.agentGenerations(addr)})
	}
	return out
}

func (s *Server) endpointStatuses() []EndpointStatus {
	services := map[string]bool{}
	for _, h := range s.Members.Hosts() {
		services[h.Service] = true
	}
	out := []EndpointStatus{}
	for name := range services {
		for _, e := range s.candidates(nil, &route.Request{Service: name}, time.Now()) {
			out = append(out, EndpointStatus{ID: e.ID, Service: name, Kind: e.Kind, Agent: e.Agent, Region: e.Region,
				FailureDomain: e.FailureDomain, State: e.State, Ejected: e.Ejected, Version: e.Load.Version, BootID: e.Load.BootID,
				Running: e.Load.Running, Queued: e.Load.Queued, Limit: e.Load.Limit, InFlight: e.InFlight, Residual: e.Residual, WaitMs: e.WaitMs})
		}
	}
	slices.SortFunc(out, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// OperatorHandler returns the HTTP handler of the operator API: health, readiness,
// status and decision records.
func (s *Server) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	mux.HandleFunc("GET /decisions/{request}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.decisions.forRequest(r.PathValue("request")))
	})
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
