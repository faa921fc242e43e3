package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/quota"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// retryInterval is the delay before a lost stream from a peer is opened again.
	retryInterval = time.Second
	// maxMessageBytes bounds a received message. One change of the store may have up
	// to 1 MB, as a configuration does.
	maxMessageBytes = 16 << 20
)

// Record is a gateway's registration in the store.
type Record struct {
	Name string `json:"name"`
	// Address is the ip:port that serves other gateways.
	Address string `json:"address"`
	Region  string `json:"region"`
}

// ParseRecord decodes and checks a gateway's registration.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode peer record: %w", err)
	}
	if r.Name == "" || r.Address == "" {
		return Record{}, errors.New("peer record: name or address is missing")
	}
	return r, nil
}

// Digest describes the engines of a region to other regions, in place of the events of
// their requests.
type Digest struct {
	// Summaries is the load of the engines.
	Summaries []route.Summary
	// Holdings tells where prefixes are cached.
	Holdings []route.Holding
}

// Empty reports whether there is nothing to tell.
func (d Digest) Empty() bool { return len(d.Summaries)+len(d.Holdings) == 0 }

// Receiver receives what peers send besides the events of their requests. Its methods
// must not block. sameRegion tells whether the peer is in this process's region.
type Receiver interface {
	// PlanReceived is called with a rollout plan.
	PlanReceived(p rollout.Plan, sameRegion bool)
	// RevisionReceived is called with the revision of a peer's copy of the store.
	RevisionReceived(revision int64)
	// DigestReceived is called with what a relay tells of another region's engines.
	DigestReceived(d Digest, sameRegion bool)
	// SuspicionReceived is called with what a peer tells of parts of prompts that crash
	// endpoints.
	SuspicionReceived(s Suspicion, sameRegion bool)
	// LeavingReceived is called with endpoints that have announced to a peer that they
	// leave.
	LeavingReceived(from string, leaving []catalog.Incarnation, sameRegion bool)
	// RateLimitsReceived is called with what endpoints have announced to a peer on their
	// rate limits.
	RateLimitsReceived(from string, limits []catalog.RateLimit, sameRegion bool)
	// QuotaReportReceived is called with a peer's use of the accounts' limits.
	QuotaReportReceived(from string, r quota.Report)
}

// Set holds connections to all known peers and follows their streams. It is safe
// for concurrent use.
type Set struct {
	self     Record
	tracker  *route.Tracker
	targets  *rollout.Targets
	receiver Receiver
	log      *zap.Logger

	mu sync.Mutex
	// peers holds the connections by the peer's name.
	peers map[string]*link
	// gateways are the sorted names of this gateway and its peers, nil after a change. The
	// slice is not changed.
	gateways []string
	// scopePending is true while a call of adjustScope is scheduled.
	scopePending bool
}

// link is a connection to a peer.
type link struct {
	record Record
	conn   *grpc.ClientConn
	// kind is what is followed of the peer, and stop ends the stream; nil for none.
	kind streamKind
	stop context.CancelFunc
	// heard is true while the peer's events arrive.
	heard bool
	// revision is the last reported revision of the peer's copy of the store.
	revision atomic.Int64
}

// NewSet returns a set without peers. It passes the peers' request events to
// tracker, the times at which versions were named to targets, and the rest to receiver.
func NewSet(self Record, tracker *route.Tracker, targets *rollout.Targets, receiver Receiver, log *zap.Logger) *Set {
	return &Set{self: self, tracker: tracker, targets: targets, receiver: receiver, log: log, peers: map[string]*link{}}
}

// Put adds a peer, or replaces its connection when its record has changed. It
// ignores the process's own record.
func (s *Set) Put(r Record) {
	if r.Name == s.self.Name {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.peers[r.Name]; old != nil {
		if old.record == r {
			return
		}
		old.close()
	}
	conn, err := grpc.NewClient("passthrough:///"+r.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}, MinConnectTimeout: time.Second}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig())
	if err != nil {
		s.log.Warn("peer connection not created", zap.String("peer", r.Name), zap.String("address", r.Address), zap.Error(err))
		delete(s.peers, r.Name)
		s.gateways = nil
		return
	}
	s.peers[r.Name] = &link{record: r, conn: conn}
	s.gateways = nil
	s.scheduleScope()
	s.log.Info("peer", zap.String("peer", r.Name), zap.String("address", r.Address), zap.String("region", r.Region))
}

// Remove closes the connection to a peer and removes it.
func (s *Set) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.peers[name]; l != nil {
		l.close()
		delete(s.peers, name)
		s.gateways = nil
		s.scheduleScope()
		s.log.Info("peer gone", zap.String("peer", name))
	}
}

func (l *link) close() {
	if l.stop != nil {
		l.stop()
	}
	_ = l.conn.Close() // fails only when it is already closed
}

// setStream changes what is followed of a peer. The caller holds mu.
func (s *Set) setStream(l *link, kind streamKind) {
	if l.stop != nil {
		l.stop()
		l.stop = nil
	}
	l.kind = kind
	if kind == streamNone {
		return
	}
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	go s.follow(ctx, l, kind)
}

// follow receives a peer's batches until ctx ends. When the stream breaks, the
// peer's requests are dropped from the tracker and the stream is opened again.
func (s *Set) follow(ctx context.Context, l *link, kind streamKind) {
	for ctx.Err() == nil {
		err := s.receive(ctx, l, kind)
		s.setHeard(l, false)
		s.tracker.ForgetSender(l.record.Name, time.Now())
		if ctx.Err() == nil {
			s.log.Info("peer lost", zap.String("peer", l.record.Name), zap.Error(err))
		}
		wait.Sleep(ctx, retryInterval)
	}
}

// receive opens a stream from a peer and handles its batches until the stream ends.
func (s *Set) receive(ctx context.Context, l *link, kind streamKind) error {
	request := &pb.FollowRequest{Follower: s.self.Name, Region: s.self.Region, Control: kind == streamControl}
	stream, err := pb.NewPeerClient(l.conn).Follow(ctx, request, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		s.setHeard(l, kind == streamEvents)
		l.revision.Store(max(infra.Revision(b.Era, b.Revision), l.revision.Load()))
		s.handleBatch(l, b, time.Now())
	}
}

// setHeard records whether a peer's events arrive.
func (s *Set) setHeard(l *link, heard bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.heard != heard {
		l.heard = heard
		s.scheduleScope()
	}
}

// handleBatch passes the contents of a batch to the tracker, the targets and the
// receiver.
func (s *Set) handleBatch(l *link, b *pb.Batch, now time.Time) {
	sameRegion := l.record.Region == s.self.Region
	for _, t := range b.Targets {
		applyTarget(s.targets, t, now)
	}
	if b.Plan != nil {
		s.receiver.PlanReceived(decodePlan(b.Plan, now), sameRegion)
	}
	if b.Revision > 0 {
		s.receiver.RevisionReceived(infra.Revision(b.Era, b.Revision))
	}
	if d := (Digest{decodeSummaries(b.Summaries), decodeHoldings(b.Holdings)}); !d.Empty() {
		s.receiver.DigestReceived(d, sameRegion)
	}
	if u := decodeSuspicion(b, now); !u.Empty() {
		s.receiver.SuspicionReceived(u, sameRegion)
	}
	if len(b.Leaving) > 0 {
		s.receiver.LeavingReceived(l.record.Name, decodeIncarnations(b.Leaving), sameRegion)
	}
	if len(b.RateLimits) > 0 {
		s.receiver.RateLimitsReceived(l.record.Name, decodeRateLimits(b.RateLimits, now), sameRegion)
	}
	if b.QuotaReport != nil {
		s.receiver.QuotaReportReceived(l.record.Name, decodeQuotaReport(b.QuotaReport))
	}
	decode(b, func(e route.Event) {
		if !sameRegion {
			e.TransitTime = 0 // this event took as long to arrive as the request
		}
		s.tracker.ApplyRemoteEvent(l.record.Name, e, now)
	})
}
