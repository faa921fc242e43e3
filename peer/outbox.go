package peer

import (
	"context"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// maxWaiting bounds the events that wait for the next batch. More are dropped:
	// peers then only know less.
	maxPending = 4096
	// followerBatches bounds the batches that wait for a slow follower.
	maxFollowerBatches = 64
	// revisionInterval is the time between two looks for a newer copy of the store.
	revisionInterval = 100 * time.Millisecond
)

// pace is the time between two batches: a base, and a part for each follower, so
// that a large fleet sends fewer messages.
type batchInterval struct{ base, perFollower time.Duration }

// outbox collects events and hands each batch to all followers.
type outbox struct {
	batching batchInterval
	// wake is filled when events wait.
	wake chan struct{}

	mu        sync.Mutex
	pending   *pb.Batch
	followers map[chan *pb.Batch]bool
	// revision is the one that the followers have been told.
	sentRevision int64
	dropped      int64
}

func newOutbox(p batchInterval) *outbox {
	return &outbox{batching: p, wake: make(chan struct{}, 1), pending: &pb.Batch{}, followers: map[chan *pb.Batch]bool{}}
}

// add queues an event; without followers it is dropped. It never blocks.
func (o *outbox) add(e route.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(o.followers) == 0:
	case eventCount(o.pending) >= maxPending:
		o.dropped++
	default:
		encode(o.pending, e)
		select {
		case o.wake <- struct{}{}:
		default: // the run knows already
		}
	}
}

// run sends batches until ctx ends. revision returns that of the copy of the store.
func (o *outbox) run(ctx context.Context, revision func() int64) {
	t := time.NewTicker(revisionInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-o.wake:
			wait.Sleep(ctx, o.interval())
		case <-t.C:
		case <-ctx.Done():
		}
		o.flush(revision())
	}
}

// interval returns the time in which events gather.
func (o *outbox) interval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.batching.base + time.Duration(len(o.followers))*o.batching.perFollower
}

// flush sends the queued events and the revision of the copy of the store. A
// follower that is behind misses them.
func (o *outbox) flush(revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if eventCount(o.pending) == 0 && revision <= o.sentRevision {
		return
	}
	b := o.pending
	b.Revision = revision
	o.pending, o.sentRevision = &pb.Batch{}, revision
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
			o.dropped += int64(eventCount(b))
		}
	}
}

// join adds a follower; leave removes it.
func (o *outbox) subscribe() (batches chan *pb.Batch, leave func()) {
	f := make(chan *pb.Batch, maxFollowerBatches)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followers[f] = true
	return f, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.followers, f)
	}
}
