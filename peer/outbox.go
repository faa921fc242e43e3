package peer

import (
	"context"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// maxPending bounds the events queued for the next batch. Further events are
	// dropped, which only makes the peers' state less complete.
	maxPending = 4096
	// maxFollowerBatches bounds the batches queued for a slow follower.
	maxFollowerBatches = 64
	// revisionInterval is the time between two checks for a new revision of the
	// copy of the store.
	revisionInterval = 100 * time.Millisecond
)

// batchInterval is the time between two batches. It grows with the number of
// followers, so that a gateway of a large fleet sends fewer messages.
type batchInterval struct{ base, perFollower time.Duration }

// outbox collects events in batches and sends each batch to all followers.
type outbox struct {
	batchInterval batchInterval
	// wake holds a value while events are pending and run has not been woken.
	wake chan struct{}

	mu sync.Mutex
	// pending is the next batch.
	pending   *pb.Batch
	followers map[chan *pb.Batch]bool
	// sentRevision is the revision that was last sent to the followers.
	sentRevision int64
	// dropped counts events that were not queued, or not delivered to a follower.
	dropped int64
}

func newOutbox(interval batchInterval) *outbox {
	return &outbox{batchInterval: interval, wake: make(chan struct{}, 1), pending: &pb.Batch{}, followers: map[chan *pb.Batch]bool{}}
}

// add queues an event. It never blocks.
func (o *outbox) add(e route.Event) {
	o.queue(func(b *pb.Batch) { encode(b, e) })
}

// queue calls add to add to the next batch, unless there are no followers or maxPending
// events are queued.
func (o *outbox) queue(add func(b *pb.Batch)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(o.followers) == 0:
	case eventCount(o.pending) >= maxPending:
		o.dropped++
	default:
		add(o.pending)
		select {
		case o.wake <- struct{}{}:
		default: // run is already woken
		}
	}
}

// addRateLimit queues what an endpoint has announced on its rate limit. It never blocks.
func (o *outbox) addRateLimit(r *pb.RateLimit) {
	o.queue(func(b *pb.Batch) { b.RateLimits = append(b.RateLimits, r) })
}

// run sends batches until ctx ends. revision returns the revision of the copy of
// the store.
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

// interval returns the time for which events are collected before a batch is sent.
func (o *outbox) interval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.batchInterval.base + time.Duration(len(o.followers))*o.batchInterval.perFollower
}

// flush sends the queued events and the revision of the copy of the store, if there
// are events or the revision is new.
func (o *outbox) flush(revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if eventCount(o.pending) == 0 && revision <= o.sentRevision {
		return
	}
	b := o.pending
	b.Era, b.Revision = infra.Era(revision), infra.RevisionNumber(revision)
	o.pending, o.sentRevision = &pb.Batch{}, revision
	o.deliver(b)
}

// send sends a batch immediately, before the pending events.
func (o *outbox) send(b *pb.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deliver(b)
}

// deliver queues a batch for all followers. Followers whose queue is full miss it.
// The caller holds mu.
func (o *outbox) deliver(b *pb.Batch) {
	for f := range o.followers {
		select {
		case f <- b:
		default:
			o.dropped += int64(eventCount(b))
		}
	}
}

// subscribe adds a follower and returns its batches; unsubscribe removes it.
func (o *outbox) subscribe() (batches chan *pb.Batch, unsubscribe func()) {
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
