package wire

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// endedRun is a stream that the agent has ended, so that Send fails.
type endedRun struct{ pb.Agent_RunClient }

func (endedRun) Send(*pb.Up) error { return io.EOF }

// Guards against a reattach when an acknowledgement fails because the agent has sent
// its End, which the call has not read yet. The reattach would request a response that
// the agent no longer keeps.
func TestAcknowledgementAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Link{opts: DefaultOptions(), created: time.Now(), state: State{Loads: map[string]*pb.EndpointLoad{}}}
		c := &Call{link: l, open: &pb.Open{}, out: make(chan Message, 4), sequencer: stream.NewSequencer(), stallTimeout: time.Minute}
		in := make(chan received)
		go func() {
			in <- received{down: &pb.Down{Kind: &pb.Down_Chunk{Chunk: &pb.Chunk{Seq: 1, Parts: []*pb.Part{{Kind: &pb.Part_Data{Data: []byte("x")}}}}}}}
			time.Sleep(2 * ackInterval)
			in <- received{down: &pb.Down{Kind: &pb.Down_End{End: &pb.End{LastSeq: 1}}}}
		}()
		ended, _, err := c.handleStream(t.Context(), &conn{}, endedRun{}, in, time.Now(), time.NewTimer(time.Minute))
		is.NoErr(err)
		is.True(ended)
	})
}

// Guards against taking a late reply of an agent's earlier incarnation for one of the
// current incarnation. The ticket in it would not become stale in time.
func TestTicketOfAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	l := &Link{state: State{Loads: map[string]*pb.EndpointLoad{}}}
	l.applyState(&pb.AgentState{Incarnation: "old", TicketMs: 1_000_000})
	l.applyState(&pb.AgentState{Incarnation: "new", TicketMs: 5})
	is.Equal(l.ticket.Ms, int64(5))
	c := &Call{link: l, open: &pb.Open{Incarnation: "old"}}
	_, err := c.handle(t.Context(), &pb.Down{Kind: &pb.Down_Progress{Progress: &pb.Progress{TicketMs: 1_000_001}}})
	is.NoErr(err)
	is.True(l.ticket.Incarnation != "new" || l.ticket.Ms <= 5)
	is.Equal(l.state.Incarnation, "new")
}
