package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer/pb"
)

// callTimeout is the time allowed for a call for changes in addition to its wait.
const callTimeout = time.Second

// ErrNoPeer means that there is no other gateway to call, or that none responds.
var ErrNoPeer = errors.New("no peer responds")

// rankedClients returns the peers in order of rank, and in random order within a
// rank.
func (s *Set) rankedClients(after int64) []pb.PeerClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := slices.Collect(maps.Values(s.peers))
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	slices.SortStableFunc(links, func(a, b *link) int { return cmp.Compare(s.rank(a, after), s.rank(b, after)) })
	out := make([]pb.PeerClient, 0, len(links))
	for _, l := range links {
		out = append(out, pb.NewPeerClient(l.conn))
	}
	return out
}

// rank ranks a peer as a source of changes after a revision; 0 is the best. Peers
// whose copy is newer than the revision come first. Among equals, peers of the own
// region come first, because traffic between regions is billed.
func (s *Set) rank(l *link, after int64) int {
	d := 0
	if l.revision.Load() <= after {
		d += 2
	}
	if l.record.Region != s.self.Region {
		d++
	}
	return d
}

// Changes requests the changes of the store after a revision from one peer after
// the other, until one responds. Each waits up to wait for the first change. complete
// is true when events holds every key. Changes returns an error that wraps ErrNoPeer
// when none responds.
func (s *Set) Changes(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error) {
	err = ErrNoPeer
	for _, c := range s.rankedClients(after) {
		reply, cerr := requestChanges(ctx, c, after, wait)
		if cerr != nil {
			err = fmt.Errorf("%w: %w", ErrNoPeer, cerr)
			continue
		}
		return changes(reply), infra.Revision(reply.Era, reply.Revision), reply.Complete, nil
	}
	return nil, 0, false, err
}

// requestChanges requests changes from a peer. It times out callTimeout after wait.
func requestChanges(ctx context.Context, c pb.PeerClient, after int64, wait time.Duration) (*pb.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return c.Changes(ctx, &pb.ChangesRequest{After: infra.RevisionNumber(after), Era: infra.Era(after), WaitMs: wait.Milliseconds()})
}

// changes converts the changes of a reply to events.
func changes(reply *pb.ChangesReply) []infra.Event {
	events := make([]infra.Event, 0, len(reply.Changes))
	for _, ch := range reply.Changes {
		events = append(events, infra.Event{Pair: infra.Pair{Key: ch.Key, Value: ch.Value, Revision: infra.Revision(ch.Era, ch.Revision)}, Deleted: ch.Deleted,
			RemoveIn: time.Duration(ch.RemoveInMs) * time.Millisecond})
	}
	return events
}

// hashName returns a hash that spreads followers over readers.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }
