package peer

import (
	"sync"

	"github.com/citrontiller/citrontiller/peer/pb"
)

// maxWaiting bounds the dispatches that wait for the next batch. More are
// dropped: peers then only know less.
const maxWaiting = 4096

// outbox collects dispatches and hands each batch to all followers.
type outbox struct {
	mu      sync.Mutex
	waiting []*pb.Dispatch
	// revision is the one that the followers have been told.
	revision  int64
	followers map[chan *pb.Batch]bool
	dropped   int64
}

func newOutbox() *outbox { return &outbox{followers: map[chan *pb.Batch]bool{}} }

// add queues a dispatch; without followers it is dropped.
func (o *outbox) add(d *pb.Dispatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(o.followers) == 0:
	case len(o.waiting) >= maxWaiting:
		o.dropped++
	default:
		o.waiting = append(o.waiting, d)
	}
}

// flush sends the queued dispatches and the revision of the copy of the store.
// A follower that is behind misses them.
func (o *outbox) flush(revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) == 0 && revision <= o.revision {
		return
	}
	b := &pb.Batch{Dispatches: o.waiting, Revision: revision}
	o.waiting, o.revision = nil, revision
	o.deliver(b)
}

// send sends a batch at once.
func (o *outbox) send(b *pb.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deliver(b)
}

// deliver hands a batch to all followers; the caller holds mu.
func (o *outbox) deliver(b *pb.Batch) {
	for f := range o.followers {
		select {
		case f <- b:
		default:
			o.dropped += int64(len(b.Dispatches))
		}
	}
}

// followerBatches bounds the batches that wait for a slow follower.
const followerBatches = 8

// join adds a follower; leave removes it.
func (o *outbox) join() (batches chan *pb.Batch, leave func()) {
	f := make(chan *pb.Batch, followerBatches)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followers[f] = true
	return f, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.followers, f)
	}
}

// size returns the number of followers.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.followers)
}
