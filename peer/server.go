// Package peer connects gateways with each other. Each tells the others where it
// sends requests, so that all know what the endpoints hold and how busy they
// are; and each hands on its copy of the store to a process that the store turns
// away. All of it is soft state: without peers a gateway knows less, but serves.
package peer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// Times between two batches. Gateways of a region share its endpoints and have to
// know of each other's requests within milliseconds; others know of them in time
// for the parts of prompts that the endpoints hold.
var (
	nearPace = pace{2 * time.Millisecond, 500 * time.Microsecond}
	farPace  = pace{30 * time.Millisecond, 2 * time.Millisecond}
)

const (
	// pingInterval and pingTimeout find connections that have gone silent.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// maxChangesWait bounds the wait for a change of the store.
	maxChangesWait = 5 * time.Second
)

// Copy is a local copy of the store.
type Replica interface {
	// Since returns the changes after a revision, waiting for the first one up to
	// wait. complete is true when events holds every key.
	Since(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool)
	// Lost reports whether the store doesn't answer now.
	Lost() bool
	// Revision returns the revision of the copy.
	Revision() int64
}

// Server answers the other gateways.
type Server struct {
	pb.UnimplementedPeerServer
	copy    Replica
	targets *rollout.Targets
	region  string
	// near and far serve the followers of the own region and of others.
	near, far *outbox
	log       *zap.Logger
}

// NewServer returns a server of a region's gateway that hands on a copy of the
// store and the times at which versions of weights were named.
func NewServer(region string, c Replica, targets *rollout.Targets, log *zap.Logger) *Server {
	return &Server{copy: c, targets: targets, region: region, near: newOutbox(nearPace), far: newOutbox(farPace), log: log}
}

// Tell tells the followers of an event. It never blocks.
func (s *Server) Publish(e route.Event) {
	s.near.add(e)
	s.far.add(e)
}

// Announce tells the followers which engines load weights. It never blocks.
func (s *Server) PublishPlan(p rollout.Plan) {
	b := &pb.Batch{Plan: &pb.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs}}
	s.near.send(b)
	s.far.send(b)
}

// Serve answers on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g := grpc.NewServer(grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	pb.RegisterPeerServer(g, s)
	go s.near.run(ctx, s.copy.Revision)
	go s.far.run(ctx, s.copy.Revision)
	go func() {
		<-ctx.Done()
		g.Stop()
	}()
	return g.Serve(l)
}

// Follow implements pb.PeerServer.
func (s *Server) Follow(r *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.Batch]) error {
	out := s.far
	if r.Region == s.region {
		out = s.near
	}
	batches, leave := out.join()
	defer leave()
	s.log.Info("follower joined", zap.String("peer", r.Follower))
	defer s.log.Info("follower left", zap.String("peer", r.Follower))
	if err := stream.Send(s.greeting()); err != nil {
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

// greeting returns the first batch for a follower.
func (s *Server) greeting() *pb.Batch {
	b := &pb.Batch{Revision: s.copy.Revision()}
	s.targets.Each(func(want catalog.Target, named time.Time) {
		b.Targets = append(b.Targets, &pb.Target{Model: want.Model, Version: want.Version, NamedMs: named.UnixMilli()})
	})
	return b
}

// Changes implements pb.PeerServer.
func (s *Server) Changes(ctx context.Context, r *pb.ChangesRequest) (*pb.ChangesReply, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxChangesWait)
	events, revision, complete := s.copy.Since(ctx, r.After, wait)
	reply := &pb.ChangesReply{Revision: revision, Complete: complete, Lost: s.copy.Lost()}
	for _, ev := range events {
		reply.Changes = append(reply.Changes, &pb.Change{Key: ev.Key, Value: ev.Value, Revision: ev.Revision, Deleted: ev.Deleted})
	}
	return reply, nil
}

// tell passes a batch on.
func (s *Set) tell(l *link, b *pb.Batch, now time.Time) {
	for _, t := range b.Targets {
		s.targets.Backdate(catalog.Target{Model: t.Model, Version: t.Version}, time.UnixMilli(t.NamedMs))
	}
	if p := b.Plan; p != nil {
		s.planned(rollout.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs})
	}
	if b.Revision > 0 {
		s.copied(b.Revision)
	}
	near := l.record.Region == s.self.Region
	decode(b, func(e route.Event) {
		if !near {
			e.TransitTime = 0 // word of the request took as long
		}
		s.tracker.ApplyRemoteEvent(l.record.Name, e, now)
	})
}
