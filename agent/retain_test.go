package agent

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// newEndedAttempts returns a server and a function that adds a finished attempt
// with a response of the given size. If acked is set, the entry has acknowledged
// the whole response.
func newEndedAttempts(t *testing.T) (*Server, func(id string, idempotent, acked bool, bytes int)) {
	s, err := New(DefaultOptions(), []Endpoint{{ID: "e", Service: "s", Kind: infra.Plain}},
		func(Endpoint) (Driver, error) { return nil, nil })
	is.New(t).NoErr(err)
	return s, func(id string, idempotent, acked bool, bytes int) {
		key := call.Key{Request: id, Attempt: "1"}
		replay := stream.NewReplay(s.opts.StreamBuffer, !idempotent, s.replays)
		a, _, _ := s.table.Begin(key, func() (*attempt, bool) {
			return newAttempt(key, &pb.Open{EndpointId: "e", Idempotent: idempotent}, replay), true
		})
		s.table.Dispatch(key)
		_ = a.Data(context.Background(), make([]byte, bytes))
		s.table.Finish(key)
		a.finish(&pb.End{LastSeq: 1, Run: pb.Run_RUN_RAN})
		if acked {
			a.replay.Ack(1)
		}
		s.releaseResponse(a)
	}
}

// Guards against kept results that exceed their limit. The oldest are dropped
// first, and their remaining records still report that the request ran.
func TestResultsAreBounded(t *testing.T) {
	is := is.New(t)
	s, end := newEndedAttempts(t)
	const size = 32 << 10
	for i := range 200 {
		end(fmt.Sprint(i), false, true, size)
	}
	is.True(s.results.used <= s.opts.ResultBytes)
	is.Equal(s.replays.Used(), 0) // kept results take no replay memory from running streams
	for i, kept := range map[int]bool{0: false, 199: true} {
		a, state := s.table.Lookup(call.Key{Request: fmt.Sprint(i), Attempt: "1"})
		is.Equal(state, call.Finished)
		_, err := a.replay.Since(1, size)
		is.Equal(err == nil, kept) // on ErrTrimmed, serve refuses with RESULT_EXPIRED
		is.Equal(a.end.Run, pb.Run_RUN_RAN)
	}
}

// Guards against responses of finished idempotent attempts that are kept after
// their reader has acknowledged them, and against large records of ended attempts.
func TestEndedAttemptsAreSmall(t *testing.T) {
	is := is.New(t)
	s, end := newEndedAttempts(t)
	const attempts, limit = 22_200, 256
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range attempts {
		end(fmt.Sprintf("%036d", i), true, true, 1000)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / attempts
	t.Logf("%d bytes per ended attempt with %d attempts", each, attempts)
	is.True(each < limit)
	is.Equal(s.replays.Used(), 0)
	a, state := s.table.Lookup(call.Key{Request: fmt.Sprintf("%036d", 7), Attempt: "1"})
	is.Equal(state, call.Finished)
	is.Equal(a.end.LastSeq, uint64(1))
}
