package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// emptyDriver completes every request with an empty response.
type emptyDriver struct{ Driver }

func (emptyDriver) Do(context.Context, Endpoint, *Request, Sink) error { return nil }

func newTestServer(t *testing.T) *Server {
	s, err := New(DefaultOptions(), []Endpoint{{ID: "e"}}, func(Endpoint) (Driver, error) { return emptyDriver{}, nil })
	is.New(t).NoErr(err)
	return s
}

func testOpen(s *Server) *pb.Open {
	return &pb.Open{RequestId: "r", AttemptId: "a", EndpointId: "e", Incarnation: s.incarnation, TicketMs: s.ticket(), Http: &pb.HttpRequest{}}
}

// Guards against a Revoke that reports "not run" for a request whose record was
// evicted after it ran. The entry would then run a request with the same
// idempotency key a second time.
func TestRevokeAfterEvictionReturnsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer(t)
		o := testOpen(s)
		a, _ := s.begin(call.Key{Request: "r", Attempt: "a"}, o)
		is.True(a != nil)
		synctest.Wait()
		revoke := func() pb.AttemptState {
			r, err := s.Revoke(context.Background(), &pb.RevokeRequest{RequestId: "r", AttemptId: "a", Incarnation: s.incarnation, TicketMs: o.TicketMs})
			is.NoErr(err)
			return r.State
		}
		is.Equal(revoke(), pb.AttemptState_ATTEMPT_FINISHED)
		time.Sleep(s.opts.ResultRetention + time.Second)
		is.Equal(s.table.Sweep(), 0)
		is.Equal(revoke(), pb.AttemptState_ATTEMPT_UNKNOWN)
	})
}

// Guards against running an Open with a stale ticket, or with a ticket ahead of
// the agent's time, which another incarnation issued.
func TestOpenNeedsCurrentTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestServer(t)
		old := testOpen(s)
		time.Sleep(s.opts.TicketLifetime + time.Millisecond)
		future := testOpen(s)
		future.TicketMs += time.Hour.Milliseconds()
		for _, o := range []*pb.Open{old, future} {
			a, refused := s.begin(call.Key{Request: "r", Attempt: "a"}, o)
			is.True(a == nil)
			is.Equal(refused.Code, pb.RefusalCode_REFUSAL_STALE_TICKET)
			is.Equal(refused.Run, pb.Run_RUN_NOT_RUN)
		}
	})
}
