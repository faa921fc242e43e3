package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against events that lose a field when encoded and decoded, and against a
// start that is handled before its dispatch in the same batch.
func TestEventsRoundTrip(t *testing.T) {
	is := is.New(t)
	dispatch := route.Event{Kind: route.Dispatched, Endpoint: "e", Seq: 7, Levels: []prefix.Level{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 4000}},
		PromptTokens: 9000, Rank: 1, TransitTime: 40 * time.Millisecond, UncachedTokens: 5000}
	start := route.Event{Kind: route.Started, Endpoint: "e", Seq: 7, Slowdown: 2.5}
	end := route.Event{Kind: route.Ended, Endpoint: "e", Seq: 6}
	b := &pb.Batch{}
	for _, e := range []route.Event{end, start, dispatch} {
		encode(b, e)
	}
	is.Equal(eventCount(b), 3)
	var got []route.Event
	decode(b, func(e route.Event) { got = append(got, e) })
	is.Equal(got, []route.Event{dispatch, start, end})
}

// Guards against a delayed batch although events are pending, an outbox that grows
// without bound, and a new revision of the store's copy that is not sent.
func TestOutboxIsPromptAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOutbox(batchInterval{base: 2 * time.Millisecond})
		batches, unsubscribe := o.subscribe()
		ctx, cancel := context.WithCancel(context.Background())
		var revision atomic.Int64
		revision.Store(3)
		go o.run(ctx, revision.Load)
		began := time.Now()
		for range maxPending + 5 {
			o.add(route.Event{Kind: route.Ended, Endpoint: "e"})
		}
		b := <-batches
		is.Equal(time.Since(began), 2*time.Millisecond)
		is.Equal(len(b.Ends), maxPending)
		is.Equal(o.dropped, int64(5))
		is.Equal(b.Revision, int64(3))
		time.Sleep(3 * revisionInterval)
		is.Equal(len(batches), 0) // the same revision is not sent again
		revision.Store(4)
		is.Equal((<-batches).Revision, int64(4))
		cancel()
		unsubscribe()
		synctest.Wait()
	})
}
