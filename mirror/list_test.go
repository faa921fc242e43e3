package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// slowList is a service whose keys change while they are listed: the pairs are those of
// the first page.
type slowList struct {
	*fakeStore
	meanwhile func()
}

func (s slowList) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	pairs, rev, err := s.fakeStore.List(ctx, prefix)
	s.meanwhile()
	return pairs, rev, err
}

// Guards against a gateway that has just started and serves with an old configuration: it
// applied the one of the list's first page although the list had taken seconds.
func TestListIsAppliedWithLaterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "old")
		s.put("servers/1", "ready")
		source := slowList{s, func() {
			s.put("config", "new")
			s.remove("servers/1")
		}}
		var values []string
		m := New(Options{Source: source, Log: zap.NewNop(), OnChange: func(ev infra.Event) { values = append(values, string(ev.Value)) }})
		is.NoErr(m.list(t.Context()))
		is.Equal(values, []string{"new"})
		is.Equal(m.Revision(), int64(4))
	})
}

// Guards against a gateway that stays without a copy because the changes since the list
// can't be read.
func TestListIsAppliedWithoutLaterChanges(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	s.put("config", "old")
	source := slowList{s, func() { s.fail(infra.ErrUnavailable) }}
	m := New(Options{Source: source, Log: zap.NewNop(), OnChange: func(infra.Event) {}})
	is.NoErr(m.list(context.Background()))
	is.Equal(value(m, "config"), "old")
	is.Equal(m.Revision(), int64(1))
}

// Guards against a reader that sends all values of a large fleet to each of its followers
// when all start at once: those that they have listed themselves aren't needed.
func TestCompleteReplyHasOnlyNewValues(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	s.put("a", "old")
	listed := s.put("b", "old")
	s.put("b", "new")
	m := New(Options{Source: s, Log: zap.NewNop(), OnChange: func(infra.Event) {}})
	is.NoErr(m.list(t.Context()))
	follower := New(Options{Log: zap.NewNop(), OnChange: func(infra.Event) {}})
	follower.applyChanges(reply{revision: listed, complete: true, events: []infra.Event{
		putEvent("a", 1), putEvent("b", 2), putEvent("gone", 2)}})
	before := value(follower, "a")
	events, revision, complete := m.Since(t.Context(), listed, 0)
	is.True(complete)
	values := 0
	for _, ev := range events {
		values += len(ev.Value)
	}
	is.Equal(values, len("new"))
	follower.applyChanges(reply{revision: revision, complete: complete, events: events})
	is.Equal(value(follower, "a"), before)
	is.Equal(value(follower, "b"), "new")
	is.Equal(value(follower, "gone"), "none")
}

// forgetful is a store whose history is always compacted.
type forgetful struct {
	*fakeStore
	lists atomic.Int64
}

func (s *forgetful) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	if s.lists.Add(1) > 200 {
		<-ctx.Done() // the test has failed
		return nil, 0, ctx.Err()
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *forgetful) Poll(context.Context, string, int64, time.Duration) ([]infra.Event, int64, error) {
	return nil, 0, infra.ErrCompacted
}

// Guards against lists without a pause between them when the store never has the history
// after the list's revision.
func TestListsWithoutHistoryAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &forgetful{fakeStore: newFakeStore()}
		s.put("a", "1")
		_, stop := start(s, Options{})
		defer synctest.Wait()
		defer stop()
		time.Sleep(10 * time.Second)
		is.True(s.lists.Load() < 40)
		is.True(s.lists.Load() > 5)
	})
}
