package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

const (
	// maxAttempts bounds the attempt table. The design rate of 37 requests/s
	// over the retention of 10 min is 22,200; the rest is room for bursts.
	maxAttempts = 32_768
	// attemptBytes is the memory of an ended attempt beside its response.
	attemptBytes = 1 << 10
)

// endCodes are the error codes of an End; a trace holds the index.
var endCodes = []string{"", CodeConnect, CodeBroken, CodeTruncated, CodeCancelled, CodeProtocol, CodeUnsupported}

// trace is what the table keeps of an ended attempt. It has no pointers, so
// that the garbage collector skips the table's map.
type trace struct {
	last       uint64
	endpoint   uint16
	code       uint8
	run        uint8
	refusal    uint8
	idempotent bool
}

// trace returns the attempt's end for the table.
func (s *Server) trace(a *attempt) trace {
	refused, end, _ := a.status()
	t := trace{idempotent: a.idempotent, endpoint: uint16(slices.Index(s.ids, a.endpointID))}
	if refused != nil {
		t.refusal, t.run = uint8(refused.Code), uint8(refused.Run)
	}
	if end != nil {
		t.last, t.run = end.LastSeq, uint8(end.Run)
		t.code = uint8(max(slices.Index(endCodes, end.ErrorCode), 0))
	}
	return t
}

// revive returns an ended attempt without its response, or nil for the
// tombstone of an attempt that was never opened.
func (s *Server) revive(key call.Key, state call.State, t trace) *attempt {
	if state == call.Revoked && t.refusal == 0 {
		return nil
	}
	a := newAttempt(key, &pb.Open{EndpointId: s.ids[t.endpoint], Idempotent: t.idempotent}, stream.NewClosedReplay(t.last))
	a.cancel()
	a.done, a.settled, a.dispatched = true, true, state == call.Finished
	if state == call.Revoked {
		a.refused = &pb.Refused{Code: pb.RefusalCode(t.refusal), Run: pb.Run(t.run), Message: "the attempt was refused before"}
		return a
	}
	a.end = &pb.End{LastSeq: t.last, Run: pb.Run(t.run), ErrorCode: endCodes[t.code]}
	if t.code != 0 {
		a.end.ErrorMessage = "the attempt failed before"
	}
	return a
}

// refuse ends an attempt that will not be dispatched.
func (s *Server) refuse(a *attempt, r *pb.Refused) {
	s.table.Revoke(a.key, always)
	a.refuse(r)
	s.table.Compact(a.key, s.trace(a))
	s.metrics.attempts.WithLabelValues(a.endpointID, outcomeRefused).Inc()
}

// settle drops the response of a finished idempotent attempt that its reader
// has, or that no reader asked for within the grace period, and moves the one
// of a non-idempotent attempt to the kept results.
func (s *Server) settle(a *attempt) {
	if !a.settle() {
		return
	}
	if a.idempotent {
		s.drop(a)
		return
	}
	for _, old := range s.results.add(a, a.replay.DetachPool()+attemptBytes) {
		s.drop(old)
	}
}

// drop leaves only the trace of a finished attempt.
func (s *Server) drop(a *attempt) {
	a.replay.Discard()
	s.table.Compact(a.key, s.trace(a))
}

// results are the kept responses of non-idempotent attempts, oldest first.
type results struct {
	limit int

	mu   sync.Mutex
	used int
	kept []kept
}

type kept struct {
	attempt *attempt
	bytes   int
	at      time.Time
}

// add keeps a result of so many bytes and returns the oldest ones that no
// longer fit.
func (r *results) add(a *attempt, bytes int) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, kept{a, bytes, time.Now()})
	r.used += bytes
	return r.pop(func(kept) bool { return r.used > r.limit })
}

// bytes returns the bytes of the kept results.
func (r *results) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// expire returns the results older than the given age.
func (r *results) expire(age time.Duration) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pop(func(k kept) bool { return time.Since(k.at) > age })
}

// pop removes results from the oldest on while f says so. The caller holds mu.
func (r *results) pop(f func(kept) bool) (out []*attempt) {
	for len(r.kept) > 0 && f(r.kept[0]) {
		out = append(out, r.kept[0].attempt)
		r.used -= r.kept[0].bytes
		r.kept[0] = kept{}
		r.kept = r.kept[1:]
	}
	return out
}
