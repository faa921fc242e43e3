package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/wire"
)

const (
	// syncInterval is the time between comparisons of what each agent holds
	// with what it should hold. It is also the pause after a failed exchange.
	syncInterval = time.Second
	// syncTimeout bounds one RPC of an exchange.
	syncTimeout = 2 * time.Second
	// syncWorkers bounds the exchanges at once; 400 agents that answer within
	// a cross-region round trip of 40 ms are done within 2.5 s.
	syncWorkers = 16
)

// configSync exchanges records with the agents: it offers what this entry has
// in force and takes what an agent holds of a higher generation, which is how
// a restarted entry finds its configuration while the store is down.
type configSync struct {
	server *Server
	wake   chan struct{}

	mu     sync.Mutex
	agents map[string]*agentSync
}

// agentSync is what was exchanged with one run of an agent.
type agentSync struct {
	incarnation string
	// settled holds the generation of each service that needs no exchange.
	settled map[string]int64
	// holds is the generation of each service that the agent said it has.
	holds map[string]int64
}

func newConfigSync(s *Server) *configSync {
	c := &configSync{server: s, wake: make(chan struct{}, 1), agents: map[string]*agentSync{}}
	s.Config.OnChange(func(string, config.ActiveRecord) { c.poke() })
	return c
}

func (c *configSync) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// observe forgets what was exchanged with an agent that restarted or went away.
func (c *configSync) observe(addr string, st wire.State) {
	c.mu.Lock()
	a := c.agents[addr]
	if !st.Up {
		delete(c.agents, addr)
	} else if a == nil || a.incarnation != st.Incarnation {
		c.agents[addr] = &agentSync{incarnation: st.Incarnation, settled: map[string]int64{}, holds: map[string]int64{}}
		c.poke()
	}
	c.mu.Unlock()
}

// run exchanges records until ctx ends.
func (c *configSync) run(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		c.round(ctx)
		select {
		case <-t.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

// round exchanges records with every agent that needs it.
func (c *configSync) round(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(syncWorkers)
	for addr, services := range c.server.servicesByAgent() {
		for _, service := range services {
			generation, digest := c.held(service)
			if !c.due(addr, service, generation) {
				continue
			}
			g.Go(func() error {
				if err := c.exchange(ctx, addr, service, generation, digest); err != nil {
					c.server.log.Warn("configuration not exchanged", zap.String("agent", addr), zap.String("service", service), zap.Error(err))
				}
				return nil
			})
		}
	}
	_ = g.Wait()
}

// held returns what this entry has in force, generation 0 for nothing.
func (c *configSync) held(service string) (int64, string) {
	if e, ok := c.server.Config.Get(service); ok {
		return e.Record.Generation, e.Record.Digest()
	}
	return 0, ""
}

func (c *configSync) due(addr, service string, generation int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.agents[addr]
	if a == nil {
		return false
	}
	settled, ok := a.settled[service]
	return !ok || settled != generation
}

func (c *configSync) settle(addr, service string, generation, holds int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[addr]; a != nil {
		a.settled[service], a.holds[service] = generation, holds
	}
}

// heldBy returns the generations an agent holds, by service.
func (c *configSync) heldBy(addr string) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int64{}
	if a := c.agents[addr]; a != nil {
		maps.Copy(out, a.holds)
	}
	return out
}

func (c *configSync) exchange(ctx context.Context, addr, service string, generation int64, digest string) error {
	c.server.mu.Lock()
	link := c.server.links[addr]
	c.server.mu.Unlock()
	if link == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	agent, need, err := link.Offer(ctx, service, generation, digest)
	if err != nil {
		return err
	}
	if need {
		agent, err = c.put(ctx, link, service, agent)
	} else if agent > generation {
		err = c.take(ctx, link, addr)
	}
	if err != nil {
		return err
	}
	// A higher generation that arrived meanwhile makes the agent due again. A
	// refused one is not exchanged again until either side changes.
	c.settle(addr, service, generation, agent)
	return nil
}

// put hands the agent the record in force and returns the generation that the
// agent then holds, which is the one before when it refuses the record.
func (c *configSync) put(ctx context.Context, link *wire.Link, service string, before int64) (int64, error) {
	e, ok := c.server.Config.Get(service)
	if !ok {
		return before, nil
	}
	data, err := e.Record.Encode()
	if err != nil {
		return before, err
	}
	refused, err := link.Put(ctx, service, data)
	if refused != "" {
		c.server.log.Error("configuration refused by an agent", zap.String("service", service),
			zap.Int64("generation", e.Record.Generation), zap.String("error", refused))
		return before, err
	}
	return e.Record.Generation, err
}

// take offers an agent's records to this entry's table.
func (c *configSync) take(ctx context.Context, link *wire.Link, addr string) error {
	records, err := link.Records(ctx)
	if err != nil {
		return err
	}
	for _, data := range records {
		r, err := config.Decode(data)
		if err != nil {
			c.server.log.Error("record of an agent refused", zap.String("agent", addr), zap.Error(err))
			continue
		}
		var name struct {
			Service string `json:"service"`
		}
		_ = json.Unmarshal(r.Document, &name) // Offer checks the document
		accepted, err := c.server.Config.SetIfNewer(name.Service, r)
		if err != nil {
			c.server.log.Error("record of an agent refused", zap.String("agent", addr), zap.String("service", name.Service), zap.Error(err))
		}
		if accepted {
			c.server.log.Info("configuration in force", zap.String("service", name.Service), zap.Int64("generation", r.Generation),
				zap.String("change_id", r.ChangeID), zap.String("agent", addr))
		}
	}
	return nil
}

// servicesByAgent returns the services of each agent in the host list.
func (s *Server) servicesByAgent() map[string][]string {
	out := map[string][]string{}
	for _, h := range s.Members.Hosts() {
		if h.Agent != "" && !slices.Contains(out[h.Agent], h.Service) {
			out[h.Agent] = append(out[h.Agent], h.Service)
		}
	}
	return out
}
