// Package peer connects gateways with each other. Each gateway streams the events
// of its requests to the others, so that all can track the endpoints' caches and
// load. It also serves its copy of the store to gateways that follow it or get no
// response from the store. All of this is soft state: a gateway without peers
// serves requests with less information.
package peer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// Intervals between two batches. Gateways of a region share its endpoints and need
// each other's events within milliseconds. For gateways of other regions a longer
// interval is enough to track the prompt prefixes that the endpoints cache.
var (
	sameRegionInterval  = batchInterval{2 * time.Millisecond, 500 * time.Microsecond}
	crossRegionInterval = batchInterval{30 * time.Millisecond, 2 * time.Millisecond}
)

const (
	// pingInterval and pingTimeout bound the time to detect a silent connection.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// maxChangesWait bounds the wait of a call for changes of the store.
	maxChangesWait = 5 * time.Second
)

// Replica is a local copy of the store, such as a mirror.Mirror.
type Replica interface {
	// Since returns the changes after a revision, waiting up to wait for the first
	// one, and the copy's revision. complete is true when events holds every key of
	// the copy.
	Since(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool)
	// Lost reports whether the store currently doesn't respond.
	Lost() bool
	// Revision returns the revision of the copy.
	Revision() int64
}

// Server serves the other gateways. It implements pb.PeerServer.
type Server struct {
	pb.UnimplementedPeerServer
	replica Replica
	targets *rollout.Targets
	// announcements is sent to new followers.
	announcements Announcements
	region        string
	// sameRegion and crossRegion send to the followers of the own region and of
	// other regions, control to the followers that want no events.
	sameRegion, crossRegion, control *outbox
	log                              *zap.Logger
}

// NewServer returns the server of a gateway in a region. It serves the changes of a
// replica of the store, the times at which versions of weights were named, and what
// endpoints have announced.
func NewServer(region string, replica Replica, targets *rollout.Targets, announcements Announcements, log *zap.Logger) *Server {
	return &Server{replica: replica, targets: targets, announcements: announcements, region: region, sameRegion: newOutbox(sameRegionInterval), crossRegion: newOutbox(crossRegionInterval),
		control: newOutbox(crossRegionInterval), log: log}
}

// Publish queues an event for the followers. It never blocks.
func (s *Server) Publish(e route.Event) {
	s.sameRegion.add(e)
	s.crossRegion.add(e)
}

// PublishPlan sends a rollout plan of this process to all followers. It never blocks.
func (s *Server) PublishPlan(p rollout.Plan) {
	s.broadcast(s.planBatch(p))
}

// broadcast sends a batch to all followers.
func (s *Server) broadcast(b *pb.Batch) {
	s.sameRegion.send(b)
	s.crossRegion.send(b)
	s.control.send(b)
}

// relay passes on a batch of another process: one of the own region to the relays of
// other regions, one of another region to the own region.
func (s *Server) relay(b *pb.Batch, sameRegion bool) {
	if sameRegion {
		s.control.send(b)
		return
	}
	s.sameRegion.send(b)
}

// RelayPlan passes on a plan of another process to the regions that don't have it from
// that process. It never blocks.
func (s *Server) RelayPlan(p rollout.Plan, sameRegion bool) {
	s.relay(s.planBatch(p), sameRegion)
}

// planBatch returns a batch with a plan and the versions of its model, of which a follower that
// was cut off may have missed one.
func (s *Server) planBatch(p rollout.Plan) *pb.Batch {
	now := time.Now()
	return &pb.Batch{Plan: encodePlan(p, now), Targets: encodeNamings(s.targets, p.Model, now)}
}

// PublishDigest sends a digest of the own region's engines to the relays of other
// regions. It never blocks.
func (s *Server) PublishDigest(d Digest) { s.control.send(d.batch()) }

// RelayDigest passes a digest of another region's engines on to the own region. It
// never blocks.
func (s *Server) RelayDigest(d Digest) { s.sameRegion.send(d.batch()) }

func (d Digest) batch() *pb.Batch {
	return &pb.Batch{Summaries: encodeSummaries(d.Summaries), Holdings: encodeHoldings(d.Holdings)}
}

// Serve serves calls on l until ctx ends or l fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g := grpc.NewServer(grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	pb.RegisterPeerServer(g, s)
	go s.sameRegion.run(ctx, s.replica.Revision)
	go s.crossRegion.run(ctx, s.replica.Revision)
	go s.control.run(ctx, s.replica.Revision)
	go func() {
		<-ctx.Done()
		g.Stop()
	}()
	return g.Serve(l)
}

// Follow implements pb.PeerServer. It sends an initial batch, then the batches of
// events, until the follower leaves.
func (s *Server) Follow(r *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.Batch]) error {
	batches, unsubscribe := s.outboxFor(r).subscribe()
	defer unsubscribe()
	s.log.Info("follower joined", zap.String("peer", r.Follower))
	defer s.log.Info("follower left", zap.String("peer", r.Follower))
	if err := stream.Send(s.initialBatch()); err != nil {
		return err
	}
	for {
		select {
		case b := <-batches:
			if err := stream.Send(b); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

// outboxFor returns the outbox of a follower.
func (s *Server) outboxFor(r *pb.FollowRequest) *outbox {
	switch {
	case r.Control:
		return s.control
	case r.Region == s.region:
		return s.sameRegion
	}
	return s.crossRegion
}

// initialBatch returns the first batch for a follower: the copy's revision, the known
// versions and what endpoints have announced.
func (s *Server) initialBatch() *pb.Batch {
	revision, now := s.replica.Revision(), time.Now()
	b := &pb.Batch{Era: infra.Era(revision), Revision: infra.RevisionNumber(revision), Leaving: encodeIncarnations(s.announcements.LeavingEndpoints()),
		RateLimits: encodeRateLimits(s.announcements.RateLimits(), now)}
	for _, want := range s.targets.Latest() {
		b.Targets = append(b.Targets, encodeNamings(s.targets, want.Model, now)...)
	}
	return b
}

// Changes implements pb.PeerServer. It waits at most maxChangesWait for the first
// change.
func (s *Server) Changes(ctx context.Context, r *pb.ChangesRequest) (*pb.ChangesReply, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxChangesWait)
	events, revision, complete := s.replica.Since(ctx, s.requestedRevision(r), wait)
	reply := &pb.ChangesReply{Era: infra.Era(revision), Revision: infra.RevisionNumber(revision), Complete: complete, Lost: s.replica.Lost()}
	for _, ev := range events {
		reply.Changes = append(reply.Changes, &pb.Change{Key: ev.Key, Value: ev.Value, Era: infra.Era(ev.Revision), Revision: infra.RevisionNumber(ev.Revision), Deleted: ev.Deleted, RemoveInMs: ev.RemoveIn.Milliseconds()})
	}
	return reply, nil
}

// requestedRevision returns the revision after which a peer asks for changes. A peer of a
// release that doesn't know eras means the present one.
func (s *Server) requestedRevision(r *pb.ChangesRequest) int64 {
	era := r.Era
	if era == 0 {
		era = infra.Era(s.replica.Revision())
	}
	return infra.Revision(era, r.After)
}
