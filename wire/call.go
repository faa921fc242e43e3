package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Call is one attempt of a request at one agent.
type Call struct {
	link   *Link
	open   *pb.Open
	out    chan Message
	cancel context.CancelFunc
	// stallTimeout is how long an accepted call may go without any message.
	stallTimeout time.Duration
	// attached is set for a call that joined an attempt opened by another call. It
	// does not cancel the attempt.
	attached bool
	// reattach requests a new connection from the call's goroutine.
	reattach chan struct{}
	// lastReceived is when the agent's last message arrived, in nanoseconds since
	// the link was created. Unlike a time since the epoch, it is monotonic.
	lastReceived atomic.Int64
	conn         atomic.Pointer[conn]

	// The fields below are used by the call's goroutine only.
	sequencer *stream.Sequencer
	// openSent is set once the agent may have received the Open.
	openSent    bool
	openCount   int
	accepted    bool
	endReceived bool
	acked       uint64
	// unconfirmedSince is when the first acknowledgement was sent that the agent has
	// not confirmed in a Progress message.
	unconfirmedSince time.Time
	confirmedAck     uint64
}

// CallOption changes a call's settings from those of its link.
type CallOption func(*Call)

// WithStallTimeout sets how long an accepted call may go without any message
// before it is attached on a new connection.
func WithStallTimeout(d time.Duration) CallOption { return func(c *Call) { c.stallTimeout = d } }

// Start starts an attempt. The incarnation and the ticket in open must come from
// Ticket. Cancelling ctx cancels the attempt. The caller must read Messages until
// the channel closes.
func (l *Link) Start(ctx context.Context, open *pb.Open, opts ...CallOption) *Call {
	ctx, cancel := context.WithCancel(ctx)
	c := &Call{link: l, open: open, out: make(chan Message, 4), cancel: cancel, reattach: make(chan struct{}, 1), sequencer: stream.NewSequencer()}
	return c.begin(ctx, opts)
}

// StartAttached joins an attempt that another call has opened. Cancelling ctx does
// not cancel the attempt.
func (l *Link) StartAttached(ctx context.Context, requestID, attemptID, incarnation string, opts ...CallOption) *Call {
	ctx, cancel := context.WithCancel(ctx)
	c := &Call{link: l, out: make(chan Message, 4), cancel: cancel, reattach: make(chan struct{}, 1), sequencer: stream.NewSequencer(),
		openSent: true, accepted: true, attached: true,
		open: &pb.Open{RequestId: requestID, AttemptId: attemptID, Incarnation: incarnation}}
	return c.begin(ctx, opts)
}

func (c *Call) begin(ctx context.Context, opts []CallOption) *Call {
	c.stallTimeout = c.link.opts.StallTimeout
	for _, o := range opts {
		o(c)
	}
	go c.loop(ctx)
	return c
}

// Messages returns the channel of the call's events. It closes after Refused, End or
// Err.
func (c *Call) Messages() <-chan Message { return c.out }

// Cancel cancels the attempt, unless the call joined it with StartAttached or it is
// a dispatched non-idempotent one.
func (c *Call) Cancel() { c.cancel() }

// Reattach makes the call continue on a new connection, as if the current one had
// been silent for the stall timeout. It does nothing if any call on the connection
// has received a message since the given time.
func (c *Call) Reattach(since time.Time) {
	if c.LastReceived().After(since) {
		return
	}
	select {
	case c.reattach <- struct{}{}:
	default:
	}
}

// LastReceived returns when the agent's last message arrived on the call's
// connection, for this call or another, or when the link was created if none has.
func (c *Call) LastReceived() time.Time {
	last := c.lastReceived.Load()
	if cn := c.conn.Load(); cn != nil {
		last = max(last, cn.lastReceived.Load())
	}
	return c.link.created.Add(time.Duration(last))
}

var (
	errSilent  = errors.New("the agent is silent")
	errStopped = errors.New("the call was cancelled")
)

// loop runs streams until the call has ended. When a stream breaks or is silent, the
// next one uses a new connection.
func (c *Call) loop(ctx context.Context) {
	defer close(c.out)
	defer c.cancel()
	timeout := c.link.ackTimeout()
	lastContact := time.Now()
	for {
		conn := c.link.acquire()
		ended, responded, err := c.runStream(ctx, conn, timeout)
		if ended {
			c.link.release(conn)
			return
		}
		if responded {
			lastContact = c.link.created.Add(time.Duration(c.lastReceived.Load()))
			timeout = c.link.ackTimeout()
		}
		if errors.Is(err, errStopped) {
			c.link.release(conn)
			c.revoke()
			c.emit(ctx, Message{Err: &Error{Code: CodeCancelled, Run: c.runAfterLoss(), Err: ctx.Err()}})
			return
		}
		if time.Since(lastContact) > c.link.opts.ReconnectTimeout || (isUnavailable(err) && !c.openSent) {
			c.link.release(conn)
			code := CodeLost
			if !c.openSent {
				code = CodeUnreachable
			}
			c.emit(ctx, Message{Err: &Error{Code: code, Run: c.runAfterLoss(), Err: err}})
			return
		}
		c.link.log.Info("reattach", zap.String("request", c.open.RequestId), zap.String("attempt", c.open.AttemptId),
			zap.Uint64("next", c.sequencer.Next()), zap.Error(err))
		c.link.replace(conn)
		c.link.release(conn)
		if !errors.Is(err, errSilent) {
			c.link.sleep(ctx, timeout)
		}
		timeout = min(2*timeout, c.stallTimeout)
	}
}

// runAfterLoss returns whether the request ran, as far as this is known without the
// agent. An Open that was never handed to a connection did not run.
func (c *Call) runAfterLoss() call.Run {
	if !c.openSent {
		return call.NotRun
	}
	return call.Unknown
}

// revoke revokes or cancels the attempt at the agent, on any connection that works.
func (c *Call) revoke() {
	if !c.openSent || c.endReceived || c.attached {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.link.opts.StallTimeout)
	defer cancel()
	_, err := c.link.Revoke(ctx, &pb.RevokeRequest{RequestId: c.open.RequestId, AttemptId: c.open.AttemptId,
		Incarnation: c.open.Incarnation, TicketMs: c.open.TicketMs, Cancel: true})
	if err != nil {
		c.link.log.Warn("revoke", zap.String("request", c.open.RequestId), zap.Error(err))
	}
}

// emit delivers a message to the caller. After ctx has ended, it drops the message
// instead of blocking on a full channel.
func (c *Call) emit(ctx context.Context, m Message) {
	select {
	case c.out <- m:
	case <-ctx.Done():
		select {
		case c.out <- m:
		default:
		}
	}
}
