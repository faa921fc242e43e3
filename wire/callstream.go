package wire

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citrontiller/citrontiller/wire/pb"
)

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

// isUnavailable reports whether the connection failed, as when no process listens on
// the agent's address, as opposed to an agent that does not respond in time.
func isUnavailable(err error) bool { return status.Code(err) == codes.Unavailable }
