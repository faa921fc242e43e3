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
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/rollout"
)

const (
	// minInterval is the time between two batches, and perFollower what each
	// follower adds to it, so that a large fleet sends fewer messages.
	minInterval = 30 * time.Millisecond
	perFollower = 2 * time.Millisecond
	// pingInterval and pingTimeout find connections that have gone silent.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// maxChangesWait bounds the wait for a change of the store.
	maxChangesWait = 5 * time.Second
)

// Copy is a local copy of the store.
type Copy interface {
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
	copy    Copy
	targets *rollout.Targets
	out     *outbox
	log     *zap.Logger
}

// NewServer returns a server that hands on a copy of the store and the times at
// which versions of weights were named.
func NewServer(c Copy, targets *rollout.Targets, log *zap.Logger) *Server {
	return &Server{copy: c, targets: targets, out: newOutbox(), log: log}
}

// Dispatched tells the followers that a request goes to an endpoint. It never blocks.
func (s *Server) Dispatched(endpoint string, levels []prefix.Level, costMs float64) {
	d := &pb.Dispatch{Endpoint: endpoint, CostUs: uint32(max(0, costMs) * 1000)}
	for _, l := range levels {
		d.Levels = append(d.Levels, l.Hash)
		d.Tokens = append(d.Tokens, uint32(l.Tokens))
	}
	s.out.add(d)
}

// Announce tells the followers which engines load weights. It never blocks.
func (s *Server) Announce(p rollout.Plan) {
	s.out.send(&pb.Batch{Plan: &pb.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs}})
}

// Serve answers on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g := grpc.NewServer(grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	pb.RegisterPeerServer(g, s)
	go s.flush(ctx)
	go func() {
		<-ctx.Done()
		g.Stop()
	}()
	return g.Serve(l)
}

// flush sends batches until ctx ends.
func (s *Server) flush(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, minInterval+time.Duration(s.out.size())*perFollower)
		s.out.flush(s.copy.Revision())
	}
}

// Follow implements pb.PeerServer.
func (s *Server) Follow(r *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.Batch]) error {
	batches, leave := s.out.join()
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
func (s *Set) tell(b *pb.Batch, now time.Time) {
	for _, t := range b.Targets {
		s.targets.Backdate(catalog.Target{Model: t.Model, Version: t.Version}, time.UnixMilli(t.NamedMs))
	}
	if p := b.Plan; p != nil {
		s.planned(rollout.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs})
	}
	if b.Revision > 0 {
		s.copied(b.Revision)
	}
	for _, d := range b.Dispatches {
		levels := make([]prefix.Level, 0, len(d.Levels))
		for i, hash := range d.Levels[:min(len(d.Levels), len(d.Tokens))] {
			levels = append(levels, prefix.Level{Hash: hash, Tokens: int64(d.Tokens[i])})
		}
		s.tracker.DispatchedElsewhere(d.Endpoint, levels, float64(d.CostUs)/1000, now)
	}
}
