package wire

import (
	"context"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Ticket proves to an agent that an Open is recent.
type Ticket struct {
	// Incarnation identifies the run of the agent that issued the ticket.
	Incarnation string
	// Ms is the agent's monotonic time in milliseconds.
	Ms int64

	// at is when the ticket was received or requested.
	at time.Time
}

// Ticket returns a valid ticket. It requests a new one from the agent if the last one
// is older than half the ticket lifetime. The error is an *Error.
func (l *Link) Ticket(ctx context.Context) (Ticket, error) {
	l.mu.Lock()
	t := l.ticket
	l.mu.Unlock()
	if t.Ms > 0 && time.Since(t.at) < l.opts.TicketLifetime/2 {
		return t, nil
	}
	return l.FreshTicket(ctx)
}

// FreshTicket requests a new ticket from the agent. It retries on new connections
// for up to Options.ReconnectTimeout, but not after a failed connection. The error is
// an *Error.
func (l *Link) FreshTicket(ctx context.Context) (Ticket, error) {
	timeout := l.ackTimeout()
	deadline := time.Now().Add(l.opts.ReconnectTimeout)
	for {
		c := l.acquire()
		t, err := l.requestTicket(ctx, c, timeout)
		if err == nil {
			l.release(c)
			return t, nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) || isUnavailable(err) {
			l.release(c)
			return Ticket{}, &Error{Code: CodeUnreachable, Run: call.NotRun, Err: err}
		}
		l.replace(c)
		l.release(c)
		timeout = min(2*timeout, l.opts.StallTimeout)
	}
}

func (l *Link) requestTicket(ctx context.Context, c *conn, timeout time.Duration) (Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	w, err := pb.NewAgentClient(c.cc).Watch(ctx, &pb.WatchRequest{EntryId: l.opts.EntryID})
	if err != nil {
		return Ticket{}, err
	}
	st, err := w.Recv()
	if err != nil {
		return Ticket{}, err
	}
	l.observeRTT(time.Since(start))
	l.applyState(st)
	return Ticket{Incarnation: st.Incarnation, Ms: st.TicketMs, at: start}, nil
}
