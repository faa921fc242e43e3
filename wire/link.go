// Package wire implements the entry's side of the protocol between entries and
// agents. A Link manages the connection to one agent and replaces it when the agent
// stops responding. A Call is one attempt of a request. It continues after such a
// replacement and delivers the response complete and in order.
package wire

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Codes of wire errors.
const (
	// CodeUnreachable means that the agent could not be reached.
	CodeUnreachable = "agent_unreachable"
	// CodeLost means that contact with the agent was lost after it may have accepted
	// the request.
	CodeLost = "agent_lost"
	// CodeCancelled means that the caller's context ended.
	CodeCancelled = "cancelled"
	// CodeProtocol means that the agent violated the protocol.
	CodeProtocol = "agent_protocol_error"
)

// Error is an error of the communication with an agent.
type Error struct {
	Code string
	// Run is whether the endpoint ran the request.
	Run call.Run
	Err error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Code, e.Run)
	}
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options are the settings of a link.
type Options struct {
	// EntryID identifies this entry to the agent.
	EntryID string
	// MinAckTimeout is the shortest wait for an agent's first reply before a new
	// connection is dialled.
	MinAckTimeout time.Duration
	// StallTimeout is how long an accepted call may go without any message.
	StallTimeout time.Duration
	// ReconnectTimeout is how long a call tries to reach a silent agent.
	ReconnectTimeout time.Duration
	// TicketLifetime is the agents' limit on the age of a ticket.
	TicketLifetime time.Duration
	// OnLoad is called with each load report of an agent and the link's smoothed
	// round-trip time; it may be nil.
	OnLoad func(load *pb.EndpointLoad, rtt time.Duration)
	// Credentials secure the connection; nil means plain text.
	Credentials credentials.TransportCredentials
	// Dial opens connections; nil means the operating system's network.
	Dial kernel.Dialer
	// Log receives the link's log messages; nil discards them.
	Log *zap.Logger
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		MinAckTimeout:    20 * time.Millisecond,
		StallTimeout:     3 * time.Second,
		ReconnectTimeout: 8 * time.Second,
		TicketLifetime:   60 * time.Second,
	}
}

// Link manages the connection to one agent.
type Link struct {
	address string
	opts    Options
	log     *zap.Logger
	cancel  context.CancelFunc
	done    chan struct{}
	created time.Time

	mu       sync.Mutex
	conn     *conn
	ticket   Ticket
	state    State
	onChange func(State)
	closed   bool
}

// NewLink returns a link and starts to watch its agent. onChange is called
// after each change of the agent's state; it may be nil. The error is an *Error.
func NewLink(address string, opts Options, onChange func(State)) (*Link, error) {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{address: address, opts: opts, log: opts.Log.With(zap.String("agent", address)), cancel: cancel,
		done: make(chan struct{}), created: time.Now(), onChange: onChange, state: State{Loads: map[string]*pb.EndpointLoad{}}}
	c, err := l.dial()
	if err != nil {
		cancel()
		return nil, err
	}
	l.conn = c
	go l.watch(ctx)
	return l, nil
}

// Close ends the watch. The connection closes when the last call has ended.
func (l *Link) Close() {
	l.cancel()
	<-l.done
	l.mu.Lock()
	l.closed = true
	c := l.conn
	closing := l.retire(c)
	l.mu.Unlock()
	if closing {
		_ = c.cc.Close()
	}
}

// AckTimeout returns the time within which a healthy agent responds on a new
// connection.
func (l *Link) AckTimeout() time.Duration { return l.ackTimeout() }

// ackTimeout returns how long a call waits for the agent's first reply: four
// round trips, at least MinAckTimeout.
func (l *Link) ackTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.opts.MinAckTimeout, 4*l.state.RTT)
}

// Revoke prevents the dispatch of an attempt and, with Cancel set, stops a running
// one if it is idempotent. It retries on a new connection until the agent responds
// or ctx ends.
// The error is an *Error.
func (l *Link) Revoke(ctx context.Context, r *pb.RevokeRequest) (*pb.RevokeReply, error) {
	timeout := l.ackTimeout()
	for {
		c := l.acquire()
		attempt, cancel := context.WithTimeout(ctx, timeout)
		reply, err := pb.NewAgentClient(c.cc).Revoke(attempt, r)
		cancel()
		if err == nil {
			l.release(c)
			l.observe(reply.Incarnation, reply.TicketMs)
			return reply, nil
		}
		if ctx.Err() != nil {
			l.release(c)
			return nil, &Error{Code: CodeUnreachable, Run: call.Unknown, Err: err}
		}
		l.replace(c)
		l.release(c)
		if isUnavailable(err) {
			l.sleep(ctx, timeout)
		}
		timeout = min(2*timeout, l.opts.StallTimeout)
	}
}

// sleep waits for d or until ctx ends.
func (l *Link) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
