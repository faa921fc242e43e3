package peer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer/pb"
)

// readersPerRegion is the number of gateways of a region that poll the store. The
// others follow one of them, so that the load on the store doesn't grow with the
// fleet.
const readersPerRegion = 2

// errReaderLost means that the reader itself gets no responses from the store.
var errReaderLost = errors.New("peer gets no responses from the store")

// IsReader reports whether this process is one of its region's readers, which poll
// the store.
func (s *Set) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.readers(), s.self.Name)
}

// IsFirst reports whether this process is the first of its region by name.
func (s *Set) IsFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstNames(s.self.Region, 1)[0] == s.self.Name
}

// readers returns the names of the region's readers. The caller holds mu.
func (s *Set) readers() []string { return s.firstNames(s.self.Region, readersPerRegion) }

// Follow returns the changes of a reader's copy as Changes does. It returns ErrNoPeer
// when this process is a reader itself or has no connection to its reader, and another
// error when the reader doesn't respond or gets no responses from the store.
func (s *Set) Follow(ctx context.Context, after int64, wait time.Duration) (events []infra.Event, revision int64, complete bool, err error) {
	client := s.reader()
	if client == nil {
		return nil, 0, false, ErrNoPeer
	}
	reply, err := requestChanges(ctx, client, after, wait)
	if err != nil {
		return nil, 0, false, err
	}
	if reply.Lost {
		return nil, 0, false, errReaderLost
	}
	return changes(reply), infra.Revision(reply.Era, reply.Revision), reply.Complete, nil
}

// reader returns the reader that this process follows, or nil when it is a reader
// itself or has no connection to that reader. The followers are spread over the
// readers by a hash of their names.
func (s *Set) reader() pb.PeerClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	readers := s.readers()
	if slices.Contains(readers, s.self.Name) {
		return nil
	}
	l := s.peers[readers[int(hashName(s.self.Name)%uint64(len(readers)))]]
	if l == nil {
		return nil
	}
	return pb.NewPeerClient(l.conn)
}
