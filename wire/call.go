package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

type netConn = net.Conn

// Message is one event of a call. Exactly one field is set.
type Message struct {
	Accepted *pb.Accepted
	// Refused ends the call.
	Refused *pb.Refused
	// Parts are the next parts of the response, in order and without gaps.
	Parts []stream.Part
	// End ends the call after the last part.
	End *pb.End
	// Err ends the call.
	Err *Error
}

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

// runStream runs one Run stream. ended is true when the call has ended; responded is
// true when the agent responded on this stream.
func (c *Call) runStream(ctx context.Context, cn *conn, ackTimeout time.Duration) (ended, responded bool, err error) {
	sctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	start := time.Now()
	opened := make(chan struct{})
	var run pb.Agent_RunClient
	var openErr error
	go func() {
		defer close(opened)
		run, openErr = pb.NewAgentClient(cn.cc).Run(sctx)
	}()
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-opened:
	case <-timer.C:
		cancel()
		<-opened
		return false, false, errSilent
	case <-ctx.Done():
		cancel()
		<-opened
		return false, false, errStopped
	}
	if openErr != nil {
		return false, false, openErr
	}
	c.conn.Store(cn)
	c.openSent = true
	if !c.accepted {
		c.openCount++
	}
	if err := run.Send(c.firstMessage()); err != nil {
		_, err = run.Recv()
		return false, false, err
	}
	select {
	case <-c.reattach: // this connection satisfies a pending request
	default:
	}
	in := make(chan received)
	go receiveAll(sctx, run, in)
	return c.handleStream(ctx, cn, run, in, start, timer)
}

// firstMessage returns the first message of a stream: Open, or Attach once the agent
// has accepted the attempt.
func (c *Call) firstMessage() *pb.Up {
	if !c.accepted {
		return &pb.Up{Kind: &pb.Up_Open{Open: c.open}}
	}
	return &pb.Up{Kind: &pb.Up_Attach{Attach: &pb.Attach{RequestId: c.open.RequestId, AttemptId: c.open.AttemptId,
		Incarnation: c.open.Incarnation, NextSeq: c.sequencer.Next()}}}
}

type received struct {
	down *pb.Down
	err  error
}

func receiveAll(ctx context.Context, run pb.Agent_RunClient, in chan<- received) {
	for {
		d, err := run.Recv()
		select {
		case in <- received{d, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// ackInterval is the time between acknowledgements of received parts.
const ackInterval = 100 * time.Millisecond

// handleStream handles messages until the call or the stream ends or the agent is
// silent, and acknowledges received parts.
func (c *Call) handleStream(ctx context.Context, cn *conn, run pb.Agent_RunClient, in <-chan received, start time.Time, silence *time.Timer) (ended, responded bool, err error) {
	ack := time.NewTicker(ackInterval)
	defer ack.Stop()
	for {
		select {
		case r := <-in:
			if r.err != nil {
				return false, responded, r.err
			}
			if !c.matches(r.down) {
				continue
			}
			now := time.Now()
			c.lastReceived.Store(int64(now.Sub(c.link.created)))
			cn.lastReceived.Store(int64(now.Sub(c.link.created)))
			if !responded {
				c.link.observeRTT(now.Sub(start))
				responded = true
			}
			done, err := c.handle(ctx, r.down)
			if done || err != nil {
				return done, responded, err
			}
			silence.Reset(c.stallTimeout)
		case <-silence.C:
			return false, responded, errSilent
		case <-c.reattach:
			return false, responded, errSilent
		case <-ack.C:
			// Send returns io.EOF once the stream has ended. Recv returns the cause,
			// or the End that this call has not read yet.
			if err := c.acknowledge(run); err != nil && !errors.Is(err, io.EOF) {
				return false, responded, err
			}
		case <-ctx.Done():
			return false, responded, c.cancelStream(run, in)
		}
	}
}

// cancelStream sends Cancel, so that the endpoint's capacity is free within a round
// trip, and waits up to the acknowledgement timeout for the attempt's end.
func (c *Call) cancelStream(run pb.Agent_RunClient, in <-chan received) error {
	if c.attached {
		return errStopped
	}
	if err := run.Send(&pb.Up{Kind: &pb.Up_Cancel{Cancel: &pb.Cancel{}}}); err != nil {
		return errStopped
	}
	wait := time.NewTimer(c.link.ackTimeout())
	defer wait.Stop()
	for {
		select {
		case r := <-in:
			if r.err != nil {
				return errStopped
			}
			if r.down.GetEnd() != nil || r.down.GetRefused() != nil {
				c.endReceived = true
				return errStopped
			}
		case <-wait.C:
			return errStopped
		}
	}
}

// matches reports whether a message belongs to the call's attempt. It logs others,
// which must be discarded.
func (c *Call) matches(d *pb.Down) bool {
	if d.RequestId == c.open.RequestId && d.AttemptId == c.open.AttemptId {
		return true
	}
	c.link.log.Error("message for another request discarded", zap.String("request", c.open.RequestId),
		zap.String("attempt", c.open.AttemptId), zap.String("got_request", d.RequestId), zap.String("got_attempt", d.AttemptId))
	return false
}

// handle processes one message; done is true when the call has ended.
func (c *Call) handle(ctx context.Context, d *pb.Down) (done bool, err error) {
	switch k := d.Kind.(type) {
	case *pb.Down_Accepted:
		c.link.observe(k.Accepted.Incarnation, 0, k.Accepted.Load)
		if !c.accepted {
			c.accepted = true
			c.emit(ctx, Message{Accepted: k.Accepted})
		}
	case *pb.Down_Refused:
		c.link.observe(k.Refused.Incarnation, k.Refused.TicketMs, k.Refused.Load)
		c.emit(ctx, Message{Refused: c.correctRefusal(k.Refused)})
		return true, nil
	case *pb.Down_Chunk:
		fresh, ok := c.sequencer.Accept(k.Chunk.Seq, parts(k.Chunk.Parts))
		if !ok {
			return false, errors.New("gap in the sequence numbers")
		}
		if len(fresh) > 0 {
			c.emit(ctx, Message{Parts: fresh})
		}
	case *pb.Down_Progress:
		c.link.observe(c.open.Incarnation, k.Progress.TicketMs, k.Progress.Load)
		c.confirmedAck = k.Progress.AckedSeq
		if c.confirmedAck < c.acked && time.Since(c.unconfirmedSince) > c.stallTimeout {
			return false, errSilent
		}
	case *pb.Down_End:
		c.link.observe(c.open.Incarnation, k.End.TicketMs, k.End.Load)
		if !c.sequencer.Complete(k.End.LastSeq) {
			return false, errors.New("response ended before its last part")
		}
		c.emit(ctx, Message{End: k.End})
		return true, nil
	}
	return false, nil
}

// correctRefusal changes Run to unknown in a refusal of a repeated Open for a wrong
// incarnation or a stale ticket. The agent's new incarnation, or one that has evicted
// the attempt, has no information on whether the first Open ran.
func (c *Call) correctRefusal(r *pb.Refused) *pb.Refused {
	stale := r.Code == pb.RefusalCode_REFUSAL_INCARNATION || r.Code == pb.RefusalCode_REFUSAL_STALE_TICKET
	if c.openCount > 1 && stale {
		r.Run = pb.Run_RUN_UNKNOWN
	}
	return r
}

// acknowledge sends an Ack for the parts received since the last one, if any.
func (c *Call) acknowledge(run pb.Agent_RunClient) error {
	seq := c.sequencer.Next() - 1
	if seq <= c.acked {
		return nil
	}
	if c.confirmedAck >= c.acked {
		c.unconfirmedSince = time.Now()
	}
	c.acked = seq
	return run.Send(&pb.Up{Kind: &pb.Up_Ack{Ack: &pb.Ack{Seq: seq}}})
}

func parts(in []*pb.Part) []stream.Part {
	out := make([]stream.Part, len(in))
	for i, p := range in {
		switch k := p.Kind.(type) {
		case *pb.Part_Data:
			out[i].Data = k.Data
		case *pb.Part_Head:
			h := &stream.Head{Status: int(k.Head.Status)}
			for _, kv := range k.Head.Headers {
				h.Headers = append(h.Headers, stream.Header{Name: kv.Name, Value: kv.Value})
			}
			out[i].Head = h
		}
	}
	return out
}

// isUnavailable reports whether the connection failed, as when no process listens on
// the agent's address, as opposed to an agent that does not respond in time.
func isUnavailable(err error) bool { return status.Code(err) == codes.Unavailable }
