package wire

import (
	"context"
	"maps"
	"time"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// State is the last known state of an agent.
type State struct {
	// Incarnation identifies the agent's run; empty before its first state.
	Incarnation string
	// Leaving is true once the agent refuses new attempts.
	Leaving bool
	// Loads are the last reports by endpoint id. The map is shared and must not
	// be changed; a new report replaces it.
	Loads map[string]*pb.EndpointLoad
	// RTT is the smoothed round-trip time; zero before the first measurement.
	RTT time.Duration
	// Up is false while the agent can't be reached.
	Up bool
}

// State returns the agent's state.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// observe records the ticket and the loads of an agent's reply. A ticket is valid
// only for the incarnation that issued it: if the time of an earlier incarnation were
// taken for that of the next, every Open would look recent. A reply may be late, so
// only an AgentState message changes the known incarnation. A reply of another
// incarnation only discards the ticket, so that the next request obtains a new one
// from the agent.
func (l *Link) observe(incarnation string, ticketMs int64, loads ...*pb.EndpointLoad) {
	if !l.recordReply(incarnation, ticketMs, loads) || l.opts.OnLoad == nil {
		return
	}
	rtt := l.State().RTT
	for _, ld := range loads {
		if ld != nil {
			l.opts.OnLoad(ld, rtt)
		}
	}
}

// recordReply stores the ticket and the loads of a reply. It returns false and
// discards the ticket if the reply is from another incarnation.
func (l *Link) recordReply(incarnation string, ticketMs int64, loads []*pb.EndpointLoad) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.state.Incarnation {
		l.ticket = Ticket{}
		return false
	}
	if ticketMs > l.ticket.Ms {
		l.ticket = Ticket{Incarnation: incarnation, Ms: ticketMs, at: time.Now()}
	}
	l.mergeLoads(loads)
	return true
}

// mergeLoads stores load reports in a copy of the map, which State shares with
// callers. The caller holds mu.
func (l *Link) mergeLoads(loads []*pb.EndpointLoad) {
	next := maps.Clone(l.state.Loads)
	for _, ld := range loads {
		if ld != nil {
			next[ld.EndpointId] = ld
		}
	}
	l.state.Loads = next
}

func (l *Link) observeRTT(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.RTT == 0 {
		l.state.RTT = d
		return
	}
	l.state.RTT += (d - l.state.RTT) / 8
}

func (l *Link) applyState(st *pb.AgentState) {
	l.mu.Lock()
	if st.Incarnation != l.state.Incarnation {
		l.ticket = Ticket{}
		l.state.Incarnation = st.Incarnation
		l.state.Loads = map[string]*pb.EndpointLoad{}
	}
	l.mu.Unlock()
	l.observe(st.Incarnation, st.TicketMs, st.Endpoints...)
	l.mu.Lock()
	l.state.Leaving = st.Leaving
	l.state.Up = true
	s := l.state
	l.mu.Unlock()
	if l.onChange != nil {
		l.onChange(s)
	}
}

// watch receives the agent's state until ctx ends, and retries when the stream ends.
func (l *Link) watch(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		c := l.acquire()
		wctx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(c.ctx, cancel)
		w, err := pb.NewAgentClient(c.cc).Watch(wctx, &pb.WatchRequest{EntryId: l.opts.EntryID})
		for err == nil {
			var st *pb.AgentState
			if st, err = w.Recv(); err == nil {
				l.applyState(st)
			}
		}
		stop()
		cancel()
		l.release(c)
		if c.ctx.Err() == nil {
			l.markDown(ctx)
		}
	}
}

// markDown marks the agent as unreachable and waits before the next attempt.
func (l *Link) markDown(ctx context.Context) {
	l.mu.Lock()
	l.state.Up = false
	s := l.state
	l.mu.Unlock()
	if l.onChange != nil {
		l.onChange(s)
	}
	select {
	case <-time.After(200 * time.Millisecond):
	case <-ctx.Done():
	}
}
