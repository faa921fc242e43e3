package agent

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// run waits for the attempt's slot, dispatches the attempt and records its end.
func (s *Server) run(a *attempt, ep *localEndpoint, o *pb.Open, q *queuedRequest) {
	defer s.running.Done()
	defer ep.queue.Done(q.ticket)
	queued := time.Now()
	ready := q.waitForSlot(a.ctx)
	if ready {
		ep.beginPrefill(q)
	}
	if q.prefill != nil {
		defer q.prefill.Done()
	}
	if !ready && a.ctx.Err() == nil {
		s.refuse(a, s.overloadRefusal(ep, "the deadline passed in the queue", 0))
		return
	}
	if ep.hasOtherVersion(o.Version) {
		s.table.Revoke(a.key, alwaysProvable)
		r := s.refusal(pb.RefusalCode_REFUSAL_UNKNOWN_ENDPOINT, "the engine has other weights", pb.Run_RUN_NOT_RUN)
		r.Load = ep.load()
		a.refuse(r)
		return
	}
	if a.ctx.Err() != nil || !s.table.Dispatch(a.key) {
		s.refuse(a, s.refusal(pb.RefusalCode_REFUSAL_REVOKED, "the attempt was revoked before dispatch", pb.Run_RUN_NOT_RUN))
		return
	}
	a.markDispatched()
	wait := time.Since(queued)
	s.metrics.queueWait.WithLabelValues(ep.ID).Observe(wait.Seconds())
	s.log.Info("dispatch", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
		zap.String("endpoint", ep.ID), zap.Int64("queue_ms", wait.Milliseconds()))
	req := newRequest(o)
	req.Priority = q.priority()
	m := newMeter(a, ep, q.prefill, o.Stream)
	err := ep.driver.Do(a.ctx, ep.Endpoint, req, m)
	q.prefill.Done()
	ep.queue.Done(q.ticket)
	if err == nil {
		cached := m.observe(o.Service, o.Account, q.promptTokens)
		q.observeCached(ep, cached)
		s.metrics.observeCached(ep.ID, q.cachedTokens, cached)
	}
	end := s.newEnd(a, err)
	end.Load = ep.load()
	end.QueueMs = wait.Milliseconds()
	s.table.Finish(a.key)
	a.finish(end)
	s.metrics.countEnd(ep.ID, end)
	s.releaseResponse(a)
	s.log.Info("finish", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
		zap.String("endpoint", ep.ID), zap.String("run", end.Run.String()), zap.String("error", end.ErrorCode),
		zap.Uint64("parts", end.LastSeq))
}

// newRequest converts an Open into a driver request.
func newRequest(o *pb.Open) *Request {
	r := &Request{
		ID: o.RequestId, Method: o.Http.Method, Path: o.Http.Path, Body: o.Http.Body,
		Stream: o.Stream, Idempotent: o.Idempotent, CacheSalt: o.CacheSalt,
	}
	for _, h := range o.Http.Headers {
		r.Headers = append(r.Headers, stream.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

// newEnd converts the driver's result into an End.
func (s *Server) newEnd(a *attempt, err error) *pb.End {
	v, _ := a.replay.Since(^uint64(0)>>1, 0) // past the last part, so that only v.Last is read
	end := &pb.End{LastSeq: v.Last, Run: pb.Run_RUN_RAN, TicketMs: s.ticket()}
	if err == nil {
		return end
	}
	end.ErrorMessage = err.Error()
	end.ErrorCode = CodeBroken
	end.Run = pb.Run_RUN_UNKNOWN
	var de *DriverError
	if errors.As(err, &de) {
		end.ErrorCode = de.Code
		end.Run = runToWire(de.Run)
	}
	return end
}

func runToWire(r call.Run) pb.Run {
	switch r {
	case call.NotRun:
		return pb.Run_RUN_NOT_RUN
	case call.Ran:
		return pb.Run_RUN_RAN
	default:
		return pb.Run_RUN_UNKNOWN
	}
}
