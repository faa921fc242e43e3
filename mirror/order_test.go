package mirror

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

func putEvent(key string, revision int64) infra.Event {
	return infra.Event{Pair: infra.Pair{Key: key, Value: []byte("value"), Revision: revision}}
}

func removal(key string, revision int64) infra.Event {
	return infra.Event{Pair: infra.Pair{Key: key, Revision: revision}, Deleted: true}
}

// Guards against an endpoint that stays "ready" at the gateway after the store and the
// copy have it as leaving: the call of OnChange for the older revision was overtaken by
// that for the newer one, which another goroutine had applied.
func TestChangesAreReportedInOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var reported []int64
	firstReported := make(chan struct{})
	proceed := make(chan struct{})
	m := New(Options{Log: zap.NewNop(), OnChange: func(ev infra.Event) {
		if ev.Revision == 1 {
			close(firstReported)
			<-proceed
		}
		mu.Lock()
		defer mu.Unlock()
		reported = append(reported, ev.Revision)
	}})
	var replies sync.WaitGroup
	replies.Go(func() { m.applyChanges(reply{events: []infra.Event{putEvent("a", 1)}, revision: 1}) })
	<-firstReported
	replies.Go(func() { m.applyChanges(reply{events: []infra.Event{putEvent("a", 2)}, revision: 2}) })
	time.Sleep(50 * time.Millisecond) // the second reply must wait for the first
	close(proceed)
	replies.Wait()
	is.Equal(reported, []int64{1, 2})
}
