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
	// syncInterval is the time between checks that each agent has the current
	// configuration. It is also the delay after a failed exchange.
	syncInterval = time.Second
	// syncTimeout bounds one RPC of an exchange.
	syncTimeout = 2 * time.Second
	// syncWorkers bounds the concurrent exchanges. 400 agents with a
	// cross-region round trip of 40 ms are synchronized within 2.5 s.
	syncWorkers = 16
)

// configSync exchanges configuration records with the agents. It offers the
// records in force at this entry and pulls records of a higher generation, so
// that a restarted entry gets its configuration while the store is unavailable.
type configSync struct {
	server *Server
	wake   chan struct{}

	mu     sync.Mutex
	agents map[string]*agentSync
}

// agentSync is the state of the exchange with one incarnation of an agent.
type agentSync struct {
	incarnation string
	// synced is this entry's generation at the last exchange, by service. An equal
	// generation needs no exchange.
	synced map[string]int64
	// generations is the generation that the agent last reported, by service.
	generations map[string]int64
}

func newConfigSync(s *Server) *configSync {
	c := &configSync{server: s, wake: make(chan struct{}, 1), agents: map[string]*agentSync{}}
	s.Config.OnChange(func(string, config.ActiveRecord) { c.notify() })
	return c
}

// notify wakes run without blocking.
func (c *configSync) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// observe updates the state of an agent's link. The state of the exchange is
// discarded when the agent restarts or is disconnected.
func (c *configSync) observe(addr string, st wire.State) {
	c.mu.Lock()
	a := c.agents[addr]
	if !st.Up {
		delete(c.agents, addr)
	} else if a == nil || a.incarnation != st.Incarnation {
		c.agents[addr] = &agentSync{incarnation: st.Incarnation, synced: map[string]int64{}, generations: map[string]int64{}}
		c.notify()
	}
	c.mu.Unlock()
}

// run exchanges records until ctx ends.
func (c *configSync) run(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		c.syncAgents(ctx)
		select {
		case <-t.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

// syncAgents exchanges records with every agent that needs it and waits for the
// exchanges to end.
func (c *configSync) syncAgents(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(syncWorkers)
	for addr, services := range c.server.servicesByAgent() {
		for _, service := range services {
			generation, digest := c.inForce(service)
			if !c.needsExchange(addr, service, generation) {
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

// inForce returns the generation and digest of the record in force, generation 0
// if there is none.
func (c *configSync) inForce(service string) (int64, string) {
	if e, ok := c.server.Config.Get(service); ok {
		return e.Record.Generation, e.Record.Digest()
	}
	return 0, ""
}

// needsExchange reports whether a connected agent has not been synchronized with
// the given generation of a service.
func (c *configSync) needsExchange(addr, service string, generation int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.agents[addr]
	if a == nil {
		return false
	}
	synced, ok := a.synced[service]
	return !ok || synced != generation
}

func (c *configSync) markSynced(addr, service string, generation, agentGeneration int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[addr]; a != nil {
		a.synced[service], a.generations[service] = generation, agentGeneration
	}
}

// agentGenerations returns the generations that an agent last reported, by
// service.
func (c *configSync) agentGenerations(addr string) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int64{}
	if a := c.agents[addr]; a != nil {
		maps.Copy(out, a.generations)
	}
	return out
}

// exchange offers a record to an agent, then pushes this entry's record or pulls
// the agent's, whichever is newer.
func (c *configSync) exchange(ctx context.Context, addr, service string, generation int64, digest string) error {
	c.server.mu.Lock()
	link := c.server.links[addr]
	c.server.mu.Unlock()
	if link == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	agentGeneration, need, err := link.Offer(ctx, service, generation, digest)
	if err != nil {
		return err
	}
	if need {
		agentGeneration, err = c.push(ctx, link, service, agentGeneration)
	} else if agentGeneration > generation {
		err = c.pull(ctx, link, addr)
	}
	if err != nil {
		return err
	}
	// A higher generation that has arrived meanwhile causes another exchange. A
	// refused record is not exchanged again until either side changes.
	c.markSynced(addr, service, generation, agentGeneration)
	return nil
}

// push sends the record in force to the agent and returns the agent's resulting
// generation, which is the previous one if the agent refuses the record.
func (c *configSync) push(ctx context.Context, link *wire.Link, service string, previous int64) (int64, error) {
	e, ok := c.server.Config.Get(service)
	if !ok {
		return previous, nil
	}
	data, err := e.Record.Encode()
	if err != nil {
		return previous, err
	}
	refused, err := link.Put(ctx, service, data)
	if refused != "" {
		c.server.log.Error("configuration refused by an agent", zap.String("service", service),
			zap.Int64("generation", e.Record.Generation), zap.String("error", refused))
		return previous, err
	}
	return e.Record.Generation, err
}

// pull fetches all records of an agent and offers them to this entry's table.
func (c *configSync) pull(ctx context.Context, link *wire.Link, addr string) error {
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
		_ = json.Unmarshal(r.Document, &name) // SetIfNewer validates the document
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

// servicesByAgent returns the services of each agent according to the host list.
func (s *Server) servicesByAgent() map[string][]string {
	out := map[string][]string{}
	for _, h := range s.Members.Hosts() {
		if h.Agent != "" && !slices.Contains(out[h.Agent], h.Service) {
			out[h.Agent] = append(out[h.Agent], h.Service)
		}
	}
	return out
}
