package wire

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

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
