package mirror

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// mirrorLeader is a Leader that reads another process's mirror, as package peer does.
type mirrorLeader struct{ m *Mirror }

func (mirrorLeader) IsReader() bool { return false }

func (l mirrorLeader) Follow(ctx context.Context, after int64, wait time.Duration) ([]infra.Event, int64, bool, error) {
	events, rev, complete := l.m.Since(ctx, after, wait)
	if l.m.Lost() {
		return nil, 0, false, errors.New("leader gets no responses from the store")
	}
	return events, rev, complete, nil
}

// Guards against a follower that keeps an endpoint for good, because its leader deferred
// the removal after an outage of the store and then reported a revision past it.
func TestFollowerLearnsDeferredRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("e/1", "live")
		leader, stopLeader := start(s, Options{DeferRemoval: func(string) bool { return true }})
		defer synctest.Wait()
		defer stopLeader()
		time.Sleep(time.Second)
		s.fail(errDown)
		time.Sleep(3 * time.Second)
		s.fail(nil)
		time.Sleep(1500 * time.Millisecond) // the leader has a response again
		follower, stopFollower := start(s, Options{Leader: mirrorLeader{leader}, DeferRemoval: func(string) bool { return true }})
		defer stopFollower()
		time.Sleep(100 * time.Millisecond)
		is.Equal(value(follower, "e/1"), "live")
		s.remove("e/1")
		time.Sleep(rejoinGrace + followWait)
		is.Equal(value(leader, "e/1"), "none")
		is.Equal(value(follower, "e/1"), "none")
	})
}

// listless is a store whose list gets no response, as while the store is slow.
type listless struct{ *fakeStore }

func (listless) List(ctx context.Context, _ string) ([]infra.Pair, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against an old configuration at a gateway whose leader was restarted and has no
// copy yet: the leader answers without an error and without changes.
func TestLeaderWithoutCopyIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const applyTime = 2500 * time.Millisecond
		s := newFakeStore()
		s.put("a", "1")
		leader := New(Options{Source: listless{s}, PollWait: time.Second, OnChange: func(infra.Event) {}, Log: zap.NewNop()})
		ctx, stopLeader := context.WithCancel(context.Background())
		go leader.Run(ctx)
		follower, stopFollower := start(s, Options{Leader: mirrorLeader{leader}})
		defer synctest.Wait()
		defer stopLeader()
		defer stopFollower()
		time.Sleep(100 * time.Millisecond)
		s.put("a", "2")
		time.Sleep(applyTime)
		is.Equal(value(follower, "a"), "2")
	})
}
