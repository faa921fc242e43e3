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
	link *Link
	open *pb.Open
	out  chan Message
	stop context.CancelFunc
	// stall is how long an accepted call may go without any message.
	stall time.Duration
	// attached calls leave the attempt to the call that opened it.
	attached bool
	// reattach asks the call's goroutine for a new connection.
	reattach chan struct{}
	// heard is when the agent's last message arrived, in nanoseconds since the
	// link was made; a monotonic time, unlike one since the epoch.
	heard atomic.Int64
	conn  atomic.Pointer[conn]

	// The fields below belong to the call's goroutine.
	sequencer *stream.Sequencer
	sent      bool
	opens     int
	accepted  bool
	settled   bool
	acked     uint64
	ackedAt   time.Time
	echoed    uint64
}

// CallOption changes a call's settings from those of its link.
type CallOption func(*Call)

// WithStallTimeout sets how long an accepted call may go without any message
// before it is attached on a new connection.
func WithStallTimeout(d time.Duration) CallOption { return func(c *Call) { c.stall = d } }

// Start begins an attempt. The open's incarnation and ticket must come from
// Ticket. Cancelling ctx cancels the attempt; the caller reads Messages until
// the channel closes.
func (l *Link) Start(ctx context.Context, open *pb.Open, opts ...CallOption) *Call {
	ctx, stop := context.WithCancel(ctx)
	c := &Call{link: l, open: open, out: make(chan Message, 4), stop: stop, reattach: make(chan struct{}, 1), sequencer: stream.NewSequencer()}
	return c.begin(ctx, opts)
}

// StartAttached joins an attempt that another call has opened. Cancelling ctx
// leaves the attempt alone.
func (l *Link) StartAttached(ctx context.Context, requestID, attemptID, incarnation string, opts ...CallOption) *Call {
	ctx, stop := context.WithCancel(ctx)
	c := &Call{link: l, out: make(chan Message, 4), stop: stop, reattach: make(chan struct{}, 1), sequencer: stream.NewSequencer(),
		sent: true, accepted: true, attached: true,
		open: &pb.Open{RequestId: requestID, AttemptId: attemptID, Incarnation: incarnation}}
	return c.begin(ctx, opts)
}

func (c *Call) begin(ctx context.Context, opts []CallOption) *Call {
	c.stall = c.link.opts.StallTimeout
	for _, o := range opts {
		o(c)
	}
	go c.loop(ctx)
	return c
}

// Messages returns the call's events. The channel closes after Refused, End or Err.
func (c *Call) Messages() <-chan Message { return c.out }

// Cancel stops the attempt if it may be stopped.
func (c *Call) Cancel() { c.stop() }

// Reattach makes the call continue on a new connection, as if the present one
// had gone silent for the stall timeout. It does nothing when any call on the
// connection has heard from the agent since the given time.
func (c *Call) Reattach(since time.Time) {
	if c.LastReceived().After(since) {
		return
	}
	select {
	case c.reattach <- struct{}{}:
	default:
	}
}

// Heard returns when the agent's last message arrived on the call's connection,
// for this call or another, the time of the link's creation if none has.
func (c *Call) LastReceived() time.Time {
	heard := c.heard.Load()
	if cn := c.conn.Load(); cn != nil {
		heard = max(heard, cn.heard.Load())
	}
	return c.link.made.Add(time.Duration(heard))
}

var (
	errSilent  = errors.New("the agent is silent")
	errStopped = errors.New("the call was cancelled")
)

// loop runs sessions until the call has ended.
func (c *Call) loop(ctx context.Context) {
	defer close(c.out)
	defer c.stop()
	timeout := c.link.ackTimeout()
	lastContact := time.Now()
	for {
		conn := c.link.acquire()
		ended, heard, err := c.session(ctx, conn, timeout)
		if ended {
			c.link.release(conn)
			return
		}
		if heard {
			lastContact = c.link.made.Add(time.Duration(c.heard.Load()))
			timeout = c.link.ackTimeout()
		}
		if errors.Is(err, errStopped) {
			c.link.release(conn)
			c.revoke()
			c.emit(ctx, Message{Err: &Error{Code: CodeCancelled, Run: c.lostRun(), Err: ctx.Err()}})
			return
		}
		if time.Since(lastContact) > c.link.opts.ReconnectTimeout || (isRefused(err) && !c.sent) {
			c.link.release(conn)
			code := CodeLost
			if !c.sent {
				code = CodeUnreachable
			}
			c.emit(ctx, Message{Err: &Error{Code: code, Run: c.lostRun(), Err: err}})
			return
		}
		c.link.log.Info("reattach", zap.String("request", c.open.RequestId), zap.String("attempt", c.open.AttemptId),
			zap.Uint64("next", c.sequencer.Next()), zap.Error(err))
		c.link.replace(conn)
		c.link.release(conn)
		if !errors.Is(err, errSilent) {
			c.link.pause(ctx, timeout)
		}
		timeout = min(2*timeout, c.stall)
	}
}

// lostRun is what is known when contact is lost: an Open that was never
// handed to a connection did not run.
func (c *Call) lostRun() call.Run {
	if !c.sent {
		return call.NotRun
	}
	return call.Unknown
}

// revoke tells the agent, on whatever connection works, that the attempt is
// no longer wanted.
func (c *Call) revoke() {
	if !c.sent || c.settled || c.attached {
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

// session runs one Run stream. ended is true when the call is over; heard is
// true when the agent answered on this stream.
func (c *Call) session(ctx context.Context, cn *conn, ackTimeout time.Duration) (ended, heard bool, err error) {
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
	c.sent = true
	if !c.accepted {
		c.opens++
	}
	if err := run.Send(c.first()); err != nil {
		_, err = run.Recv()
		return false, false, err
	}
	select {
	case <-c.reattach: // the request for this connection
	default:
	}
	in := make(chan received)
	go receiveAll(sctx, run, in)
	return c.converse(ctx, cn, run, in, start, timer)
}

func (c *Call) first() *pb.Up {
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

// ackInterval is how often received parts are acknowledged.
const ackInterval = 100 * time.Millisecond

// converse handles messages until the stream ends or goes silent.
func (c *Call) converse(ctx context.Context, cn *conn, run pb.Agent_RunClient, in <-chan received, start time.Time, silence *time.Timer) (ended, heard bool, err error) {
	ack := time.NewTicker(ackInterval)
	defer ack.Stop()
	for {
		select {
		case r := <-in:
			if r.err != nil {
				return false, heard, r.err
			}
			if !c.mine(r.down) {
				continue
			}
			now := time.Now()
			c.heard.Store(int64(now.Sub(c.link.made)))
			cn.heard.Store(int64(now.Sub(c.link.made)))
			if !heard {
				c.link.observeRTT(now.Sub(start))
				heard = true
			}
			done, err := c.handle(ctx, r.down)
			if done || err != nil {
				return done, heard, err
			}
			silence.Reset(c.stall)
		case <-silence.C:
			return false, heard, errSilent
		case <-c.reattach:
			return false, heard, errSilent
		case <-ack.C:
			// Send returns io.EOF once the stream has ended; why it ended, or the
			// End that this call has yet to read, comes from Recv.
			if err := c.acknowledge(run); err != nil && !errors.Is(err, io.EOF) {
				return false, heard, err
			}
		case <-ctx.Done():
			return false, heard, c.cancelStream(run, in)
		}
	}
}

// cancelStream sends Cancel and waits briefly for the agent's end, so that the
// endpoint's capacity is free within a round trip.
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
				c.settled = true
				return errStopped
			}
		case <-wait.C:
			return errStopped
		}
	}
}

// mine discards messages of other requests.
func (c *Call) mine(d *pb.Down) bool {
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
		c.emit(ctx, Message{Refused: c.qualify(k.Refused)})
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
		c.echoed = k.Progress.AckedSeq
		if c.echoed < c.acked && time.Since(c.ackedAt) > c.stall {
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

// qualify corrects a refusal of a repeated Open: the agent's new incarnation,
// or one that has evicted the attempt, can't tell whether the first Open ran.
func (c *Call) qualify(r *pb.Refused) *pb.Refused {
	stale := r.Code == pb.RefusalCode_REFUSAL_INCARNATION || r.Code == pb.RefusalCode_REFUSAL_STALE_TICKET
	if c.opens > 1 && stale {
		r.Run = pb.Run_RUN_UNKNOWN
	}
	return r
}

func (c *Call) acknowledge(run pb.Agent_RunClient) error {
	seq := c.sequencer.Next() - 1
	if seq <= c.acked {
		return nil
	}
	if c.echoed >= c.acked {
		c.ackedAt = time.Now()
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

// isRefused reports whether the agent's host answered that nothing listens,
// as opposed to not answering at all.
func isRefused(err error) bool { return status.Code(err) == codes.Unavailable }
