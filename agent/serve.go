package agent

import (
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

func (s *Server) attach(srv pb.Agent_RunServer, at *pb.Attach) error {
	key := call.Key{Request: at.RequestId, Attempt: at.AttemptId}
	refuse := func(code pb.RefusalCode, msg string, run pb.Run) error {
		return s.send(srv, key, &pb.Down{Kind: &pb.Down_Refused{Refused: s.refusal(code, msg, run)}})
	}
	if at.Incarnation != s.incarnation {
		return refuse(pb.RefusalCode_REFUSAL_INCARNATION, "the agent has restarted", pb.Run_RUN_UNKNOWN)
	}
	a, state := s.table.Lookup(key)
	switch {
	case state == call.Absent:
		return refuse(pb.RefusalCode_REFUSAL_UNKNOWN_ATTEMPT, "the attempt is not known", pb.Run_RUN_UNKNOWN)
	case a == nil:
		return refuse(pb.RefusalCode_REFUSAL_REVOKED, "the attempt was revoked", pb.Run_RUN_NOT_RUN)
	}
	if at.NextSeq > 1 {
		// The entry has received the parts before NextSeq. Its acknowledgement may
		// have been lost with the previous connection and is not repeated.
		a.replay.Ack(at.NextSeq - 1)
	}
	s.metrics.resumes.Inc()
	return s.serve(srv, a, at.NextSeq)
}

// send sets the attempt's ids in a message and sends it. It counts refusals.
func (s *Server) send(srv pb.Agent_RunServer, key call.Key, d *pb.Down) error {
	d.RequestId, d.AttemptId = key.Request, key.Attempt
	if r := d.GetRefused(); r != nil {
		s.metrics.refusals.WithLabelValues(r.Code.String()).Inc()
	}
	return srv.Send(d)
}

// serve sends the attempt's parts from sequence number next on and handles
// acknowledgements and cancellation until the end is sent or the stream breaks.
func (s *Server) serve(srv pb.Agent_RunServer, a *attempt, next uint64) error {
	session, superseded := a.attach()
	defer func() {
		a.detach(session, s.endpoints[a.endpointID].settings.Load().detachGrace, func() { s.releaseResponse(a) })
		s.releaseResponse(a)
	}()
	closed := make(chan struct{})
	go s.receive(srv, a, closed)

	progress := time.NewTicker(s.opts.ProgressInterval)
	defer progress.Stop()
	accepted := false
	for {
		view, err := a.replay.Since(next, maxChunkBytes)
		refused, end, dispatched := a.status()
		if refused != nil {
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Refused{Refused: s.refreshRefusal(a, refused)}})
		}
		if !accepted {
			if err := s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Accepted{Accepted: s.newAccepted(a)}}); err != nil {
				return err
			}
			accepted = true
		}
		if err != nil {
			r := s.refusal(pb.RefusalCode_REFUSAL_RESULT_EXPIRED, "the response is no longer kept", pb.Run_RUN_RAN)
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Refused{Refused: r}})
		}
		if len(view.Parts) > 0 {
			if err := s.send(srv, a.key, newChunk(next, view.Parts)); err != nil {
				return err
			}
			next += uint64(len(view.Parts))
			continue
		}
		if end != nil && next > end.LastSeq {
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_End{End: end}})
		}
		select {
		case <-view.Changed:
		case <-progress.C:
			p := &pb.Progress{AckedSeq: a.replay.Acked(), TicketMs: s.ticket(), Dispatched: dispatched, Load: s.endpoints[a.endpointID].load()}
			if err := s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Progress{Progress: p}}); err != nil {
				return err
			}
		case <-superseded:
			return status.Error(codes.Aborted, "another stream attached to the attempt")
		case <-closed:
			return srv.Context().Err()
		}
	}
}

func (s *Server) newAccepted(a *attempt) *pb.Accepted {
	return &pb.Accepted{Incarnation: s.incarnation, Load: s.endpoints[a.endpointID].load(), CachedTokens: a.cachedTokens}
}

func newChunk(seq uint64, parts []stream.Part) *pb.Down {
	c := &pb.Chunk{Seq: seq, Parts: make([]*pb.Part, len(parts))}
	for i, p := range parts {
		if p.Head == nil {
			c.Parts[i] = &pb.Part{Kind: &pb.Part_Data{Data: p.Data}}
			continue
		}
		h := &pb.Head{Status: int32(p.Head.Status)}
		for _, kv := range p.Head.Headers {
			h.Headers = append(h.Headers, &pb.Header{Name: kv.Name, Value: kv.Value})
		}
		c.Parts[i] = &pb.Part{Kind: &pb.Part_Head{Head: h}}
	}
	return &pb.Down{Kind: &pb.Down_Chunk{Chunk: c}}
}

// receive handles the messages that an entry sends on an open stream. It closes
// the channel when the stream breaks, but not when the entry closes its sending
// side.
func (s *Server) receive(srv pb.Agent_RunServer, a *attempt, closed chan<- struct{}) {
	for {
		up, err := srv.Recv()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			close(closed)
			return
		}
		switch k := up.Kind.(type) {
		case *pb.Up_Ack:
			a.replay.Ack(k.Ack.Seq)
			s.releaseResponse(a)
		case *pb.Up_Cancel:
			s.cancelAttempt(a)
		default:
			s.metrics.discarded.Inc()
			s.log.Warn("message discarded", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
				zap.String("type", fmt.Sprintf("%T", k)))
		}
	}
}

// cancelAttempt handles the Cancel of a reader. A non-idempotent attempt continues
// if it has other readers or was dispatched, so that its result can be fetched
// later.
func (s *Server) cancelAttempt(a *attempt) {
	if !a.idempotent && !a.soleReader() {
		return
	}
	if _, state := s.table.Revoke(a.key, alwaysProvable); state == call.Revoked || a.idempotent {
		a.cancel()
	}
}
