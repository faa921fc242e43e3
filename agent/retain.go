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
	// maxAttempts bounds the attempt table. At the design rate of 37 requests/s,
	// 22,200 attempts end within the retention of 10 min; the rest is headroom for
	// bursts.
	maxAttempts = 32_768
	// endedAttemptBytes is the memory of an ended attempt without its response.
	endedAttemptBytes = 1 << 10
)

// endCodes are the error codes of an End. An endRecord stores an index into it.
var endCodes = []string{"", CodeConnect, CodeBroken, CodeTruncated, CodeCancelled, CodeProtocol, CodeUnsupported}

// endRecord is the compact form in which the table keeps an ended attempt. It has
// no pointers, so that the garbage collector does not scan the table's map.
type endRecord struct {
	lastSeq    uint64
	endpoint   uint16
	code       uint8
	run        uint8
	refusal    uint8
	idempotent bool
}

// endRecord returns the compact form of an ended attempt.
func (s *Server) endRecord(a *attempt) endRecord {
	refused, end, _ := a.status()
	r := endRecord{idempotent: a.idempotent, endpoint: uint16(slices.Index(s.ids, a.endpointID))}
	if refused != nil {
		r.refusal, r.run = uint8(refused.Code), uint8(refused.Run)
	}
	if end != nil {
		r.lastSeq, r.run = end.LastSeq, uint8(end.Run)
		r.code = uint8(max(slices.Index(endCodes, end.ErrorCode), 0))
	}
	return r
}

// restore returns an ended attempt, without its response, from its record. It
// returns nil for the tombstone of an attempt that was never opened.
func (s *Server) restore(key call.Key, state call.State, r endRecord) *attempt {
	if state == call.Revoked && r.refusal == 0 {
		return nil
	}
	a := newAttempt(key, &pb.Open{EndpointId: s.ids[r.endpoint], Idempotent: r.idempotent}, stream.NewClosedReplay(r.lastSeq))
	a.cancel()
	a.done, a.released, a.dispatched = true, true, state == call.Finished
	if state == call.Revoked {
		a.refused = &pb.Refused{Code: pb.RefusalCode(r.refusal), Run: pb.Run(r.run), Message: "the attempt was refused before"}
		return a
	}
	a.end = &pb.End{LastSeq: r.lastSeq, Run: pb.Run(r.run), ErrorCode: endCodes[r.code]}
	if r.code != 0 {
		a.end.ErrorMessage = "the attempt failed before"
	}
	return a
}

// refuse ends an attempt before its dispatch with a refusal.
func (s *Server) refuse(a *attempt, r *pb.Refused) {
	s.table.Revoke(a.key, alwaysProvable)
	a.refuse(r)
	s.table.Compact(a.key, s.endRecord(a))
	s.metrics.attempts.WithLabelValues(a.endpointID, outcomeRefused).Inc()
}

// releaseResponse takes a finished attempt's response out of the replay pool once
// its reader has received it or is gone. The response of an idempotent attempt is
// dropped, the one of a non-idempotent attempt moves to the kept results.
func (s *Server) releaseResponse(a *attempt) {
	if !a.markReleased() {
		return
	}
	if a.idempotent {
		s.dropResponse(a)
		return
	}
	for _, old := range s.results.add(a, a.replay.DetachPool()+endedAttemptBytes) {
		s.dropResponse(old)
	}
}

// dropResponse discards a finished attempt's response and keeps only its record.
func (s *Server) dropResponse(a *attempt) {
	a.replay.Discard()
	s.table.Compact(a.key, s.endRecord(a))
}

// results are the kept responses of non-idempotent attempts, oldest first.
type results struct {
	limit int

	mu   sync.Mutex
	used int
	kept []keptResult
}

type keptResult struct {
	attempt *attempt
	bytes   int
	at      time.Time
}

// add keeps a result of the given size in bytes. It removes and returns the
// oldest results that exceed the limit.
func (r *results) add(a *attempt, bytes int) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, keptResult{a, bytes, time.Now()})
	r.used += bytes
	return r.removeOldest(func(keptResult) bool { return r.used > r.limit })
}

// bytes returns the total size of the kept results.
func (r *results) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// expire removes and returns the results older than the given age.
func (r *results) expire(age time.Duration) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removeOldest(func(k keptResult) bool { return time.Since(k.at) > age })
}

// removeOldest removes and returns results, oldest first, while remove returns
// true. The caller holds mu.
func (r *results) removeOldest(remove func(keptResult) bool) (removed []*attempt) {
	for len(r.kept) > 0 && remove(r.kept[0]) {
		removed = append(removed, r.kept[0].attempt)
		r.used -= r.kept[0].bytes
		r.kept[0] = keptResult{}
		r.kept = r.kept[1:]
	}
	return removed
}
