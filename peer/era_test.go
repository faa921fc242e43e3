package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/rollout"
)

// replica is a copy of a store that was restored once. asked is the last revision after
// which changes were requested.
type replica struct{ asked int64 }

func (r *replica) Since(_ context.Context, after int64, _ time.Duration) ([]infra.Event, int64, bool) {
	r.asked = after
	return []infra.Event{{Pair: infra.Pair{Key: "new", Revision: infra.Revision(1, 5)}}, {Pair: infra.Pair{Key: "kept", Revision: infra.Revision(0, 9)}}},
		r.Revision(), true
}

func (*replica) Lost() bool      { return false }
func (*replica) Revision() int64 { return infra.Revision(1, 6) }

type silent struct{}

func (silent) LeavingEndpoints() []catalog.Incarnation { return nil }
func (silent) RateLimits() []catalog.RateLimit         { return nil }

// Guards against copies that take a restored store's revisions for those of before, and
// against gateways of an earlier release that can't use what this one sends them while a
// fleet is updated: to these, a revision is the store's own number.
func TestRevisionsKeepTheirEraBetweenGateways(t *testing.T) {
	is := is.New(t)
	r := &replica{}
	server := NewServer("r", r, &rollout.Targets{}, silent{}, zap.NewNop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }() // ends with ctx
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	client := pb.NewPeerClient(conn)

	reply, err := requestChanges(ctx, client, infra.Revision(1, 4), 0)
	is.NoErr(err)
	is.Equal(r.asked, infra.Revision(1, 4))
	events := changes(reply)
	is.Equal([]int64{events[0].Revision, events[1].Revision}, []int64{infra.Revision(1, 5), infra.Revision(0, 9)})
	is.Equal(infra.Revision(reply.Era, reply.Revision), r.Revision())

	earlier, err := client.Changes(ctx, &pb.ChangesRequest{After: 4})
	is.NoErr(err)
	is.Equal(r.asked, infra.Revision(1, 4))
	is.Equal(earlier.Revision, int64(6))
	is.Equal(earlier.Changes[0].Revision, int64(5))
	is.Equal(server.initialBatch().Revision, int64(6))
}
