package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// retryInterval is the time between two tries to follow a peer.
	retryInterval = time.Second
	// callTimeout is added to the wait of a call for changes.
	callTimeout = time.Second
	// maxMessageBytes bounds a message: a configuration may have up to 1 MB.
	maxMessageBytes = 16 << 20
)

// ErrNoPeer means that no other gateway is known or answers.
var ErrNoPeer = errors.New("no peer answers")

// Record is how a gateway announces itself in the store.
type Record struct {
	Name string `json:"name"`
	// Address takes the calls of other gateways.
	Address string `json:"address"`
	Region  string `json:"region"`
}

// ParseRecord reads a gateway's announcement.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("peer record: %w", err)
	}
	if r.Name == "" || r.Address == "" {
		return Record{}, errors.New("peer record: name or address is missing")
	}
	return r, nil
}

// Set follows all known gateways. It is safe for concurrent use.
type Set struct {
	self    Record
	tracker *route.Tracker
	targets *rollout.Targets
	// planned is told of the rollout plans of others.
	planned func(p rollout.Plan)
	// copied is told of the revisions of others' copies of the store.
	copied func(revision int64)
	log    *zap.Logger

	mu    sync.Mutex
	peers map[string]*link
}

// link is a connection to a peer.
type link struct {
	record Record
	conn   *grpc.ClientConn
	cancel context.CancelFunc
	// revision is that of the peer's copy of the store, as last told.
	revision atomic.Int64
}

// NewSet returns a set without peers. Dispatches of others go to tracker, the
// times at which versions were named to targets, rollout plans to planned, and
// the revisions of their copies of the store to copied.
func NewSet(self Record, tracker *route.Tracker, targets *rollout.Targets, planned func(p rollout.Plan), copied func(revision int64), log *zap.Logger) *Set {
	return &Set{self: self, tracker: tracker, targets: targets, planned: planned, copied: copied, log: log, peers: map[string]*link{}}
}

// Put adds a peer, or replaces it when its address has changed.
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
		s.log.Warn("peer not usable", zap.String("peer", r.Name), zap.String("address", r.Address), zap.Error(err))
		delete(s.peers, r.Name)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{record: r, conn: conn, cancel: cancel}
	s.peers[r.Name] = l
	s.log.Info("peer", zap.String("peer", r.Name), zap.String("address", r.Address), zap.String("region", r.Region))
	go s.follow(ctx, l)
}

// Remove forgets a peer.
func (s *Set) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.peers[name]; l != nil {
		l.close()
		delete(s.peers, name)
		s.log.Info("peer gone", zap.String("peer", name))
	}
}

func (l *link) close() {
	l.cancel()
	_ = l.conn.Close() // fails only when it is closed already
}

// follow takes a peer's batches until ctx ends.
func (s *Set) follow(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		err := s.receive(ctx, l)
		s.tracker.ForgetSender(l.record.Name, time.Now())
		if ctx.Err() == nil {
			s.log.Info("peer lost", zap.String("peer", l.record.Name), zap.Error(err))
		}
		wait.Sleep(ctx, retryInterval)
	}
}

func (s *Set) receive(ctx context.Context, l *link) error {
	stream, err := pb.NewPeerClient(l.conn).Follow(ctx, &pb.FollowRequest{Follower: s.self.Name, Region: s.self.Region}, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		l.revision.Store(max(b.Revision, l.revision.Load()))
		s.tell(l, b, time.Now())
	}
}

// clients returns the peers in random order: first those whose copy of the store
// is newer than a revision, and of these and of the others first those of the own
// region, since traffic between regions is paid.
func (s *Set) clients(after int64) []pb.PeerClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := slices.Collect(maps.Values(s.peers))
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	slices.SortStableFunc(links, func(a, b *link) int { return cmp.Compare(s.distance(a, after), s.distance(b, after)) })
	out := make([]pb.PeerClient, 0, len(links))
	for _, l := range links {
		out = append(out, pb.NewPeerClient(l.conn))
	}
	return out
}

// distance ranks a peer as a source of changes after a revision; 0 is the best.
func (s *Set) distance(l *link, after int64) int {
	d := 0
	if l.revision.Load() <= after {
		d += 2
	}
	if l.record.Region != s.self.Region {
		d++
	}
	return d
}

// Changes asks peers for the changes of the store after a revision. It returns
// ErrNoPeer when none answers.
func (s *Set) Changes(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error) {
	err = ErrNoPeer
	for _, c := range s.clients(after) {
		reply, cerr := ask(ctx, c, after, wait)
		if cerr != nil {
			err = fmt.Errorf("%w: %w", ErrNoPeer, cerr)
			continue
		}
		return changes(reply), reply.Revision, reply.Complete, nil
	}
	return nil, 0, false, err
}

// ask asks a peer for changes, bounded in time.
func ask(ctx context.Context, c pb.PeerClient, after int64, wait time.Duration) (*pb.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return c.Changes(ctx, &pb.ChangesRequest{After: after, WaitMs: wait.Milliseconds()})
}

// changes returns the changes in a reply.
func changes(reply *pb.ChangesReply) []infra.Event {
	events := make([]infra.Event, 0, len(reply.Changes))
	for _, ch := range reply.Changes {
		events = append(events, infra.Event{Pair: infra.Pair{Key: ch.Key, Value: ch.Value, Revision: ch.Revision}, Deleted: ch.Deleted})
	}
	return events
}

// hash spreads names.
func hash(name string) uint64 { return xxhash.Sum64String(name) }
