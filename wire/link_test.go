package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Guards against a late reply of an agent's earlier incarnation whose ticket is
// taken for the current one's and then never becomes stale.
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
