package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// fakeStore is a key-value service with a history, which can be lost or away.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]infra.Pair
	history []infra.Event
	rev     int64
	// floor is the revision up to which history is gone.
	floor int64
	err   error
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]infra.Pair{}} }

func (s *fakeStore) put(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	p := infra.Pair{Key: key, Value: []byte(value), Revision: s.rev}
	s.items[key] = p
	s.history = append(s.history, infra.Event{Pair: p})
	return s.rev
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, infra.Event{Pair: infra.Pair{Key: key, Revision: s.rev}, Deleted: true})
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.rev
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeStore) List(context.Context, string) ([]infra.Pair, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, 0, s.err
	}
	var out []infra.Pair
	for _, p := range s.items {
		out = append(out, p)
	}
	return out, s.rev, nil
}

func (s *fakeStore) Poll(ctx context.Context, _ string, after int64, longest time.Duration) ([]infra.Event, int64, error) {
	until := time.Now().Add(longest)
	for {
		events, rev, err := s.changes(after)
		if len(events) > 0 || err != nil || !time.Now().Before(until) {
			return events, rev, err
		}
		wait.Sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}

func (s *fakeStore) changes(after int64) ([]infra.Event, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, 0, s.err
	}
	if after < s.floor {
		return nil, 0, infra.ErrCompacted
	}
	var out []infra.Event
	for _, ev := range s.history {
		if ev.Revision > after {
			out = append(out, ev)
		}
	}
	return out, s.rev, nil
}

// start runs a mirror of the store and returns it with a stop function.
func start(s *fakeStore, o Options) (*Mirror, func()) {
	o.Source, o.PollWait, o.Log = s, time.Second, zap.NewNop()
	if o.OnChange == nil {
		o.OnChange = func(infra.Event) {}
	}
	m := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	return m, cancel
}

func value(m *Mirror, key string) string {
	p, ok := m.Get(key)
	if !ok {
		return "none"
	}
	return string(p.Value)
}

var errDown = errors.New("store is down")

// Guards against a copy that misses changes made while history was dropped.
func TestCompactionIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("a", "1")
		s.put("gone", "1")
		m, stop := start(s, Options{})
		time.Sleep(time.Second)
		s.fail(errDown)
		time.Sleep(2 * time.Second)
		s.put("a", "2")
		s.remove("gone")
		s.compact()
		s.fail(nil)
		time.Sleep(2 * time.Second)
		is.Equal(value(m, "a"), "2")
		is.Equal(value(m, "gone"), "none")
		stop()
		synctest.Wait()
	})
}

// Guards against state that goes back when an older answer arrives late.
func TestOlderRevisionNeverReplacesNewer(t *testing.T) {
	is := is.New(t)
	m := New(Options{OnChange: func(infra.Event) {}, Log: zap.NewNop()})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Value: []byte("new"), Revision: 7}})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Value: []byte("old"), Revision: 5}})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Revision: 6}, Deleted: true})
	is.Equal(value(m, "a"), "new")
}

// Guards against dropping every endpoint when the store returns after an outage
// in which leases lapsed, and against keeping those that stay away.
func TestRemovalAfterOutageIsDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("e/back", "1")
		s.put("e/dead", "1")
		m, stop := start(s, Options{DeferRemoval: func(string) bool { return true }})
		time.Sleep(2 * time.Second)
		s.fail(errDown)
		time.Sleep(4 * time.Second)
		s.remove("e/back")
		s.remove("e/dead")
		s.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(value(m, "e/back"), "1")
		is.Equal(value(m, "e/dead"), "1")
		s.put("e/back", "2")
		time.Sleep(rejoinTime)
		is.Equal(value(m, "e/back"), "2")
		is.Equal(value(m, "e/dead"), "none")
		stop()
		synctest.Wait()
	})
}

// silentStore lists its pairs, and leaves polls without an answer.
type silentStore struct{ *fakeStore }

func (silentStore) Poll(ctx context.Context, _ string, _ int64, longest time.Duration) ([]infra.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, longest+1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// otherCopy is another process's mirror as a fallback.
type otherCopy struct{ *Mirror }

func (c otherCopy) Changes(ctx context.Context, after int64, wait time.Duration) ([]infra.Event, int64, bool, error) {
	events, rev, complete := c.Since(ctx, after, wait)
	return events, rev, complete, nil
}

// Guards against a process that serves an old configuration for the length of a
// poll that the store leaves without an answer, while its peers know better.
func TestSilentPollShowsByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("a", "1")
		other, stopOther := start(s, Options{})
		m := New(Options{Source: silentStore{s}, PollWait: 4 * time.Second, Fallback: otherCopy{other}, OnChange: func(infra.Event) {}, Log: zap.NewNop()})
		ctx, stop := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(time.Second)
		s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		m.NotePeerRevision(other.Revision())
		time.Sleep(behindTime + 2*minBackoff)
		is.Equal(value(m, "a"), "2")
		stop()
		stopOther()
		synctest.Wait()
	})
}

// Guards against asking peers for changes that are on their way from the store.
func TestShortLagAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Options{Log: zap.NewNop(), OnChange: func(infra.Event) {}})
		m.NotePeerRevision(5)
		time.Sleep(behindTime / 2)
		is.True(!m.behind())
		m.advance(4) // progress, though not all
		time.Sleep(behindTime * 3 / 4)
		is.True(!m.behind())
		m.advance(5)
		time.Sleep(2 * behindTime)
		is.True(!m.behind())
		m.NotePeerRevision(6)
		is.True(!m.behind())
		time.Sleep(2 * behindTime)
		is.True(m.behind())
	})
}

// Guards against keeping a removed endpoint when the store was there all along.
func TestRemovalInCalmIsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("e/1", "1")
		m, stop := start(s, Options{DeferRemoval: func(string) bool { return true }})
		time.Sleep(2 * time.Second)
		s.remove("e/1")
		time.Sleep(50 * time.Millisecond)
		is.Equal(value(m, "e/1"), "none")
		stop()
		synctest.Wait()
	})
}

// peerCopy hands on another process's mirror.
type peerCopy struct{ m *Mirror }

func (p peerCopy) Changes(ctx context.Context, after int64, wait time.Duration) ([]infra.Event, int64, bool, error) {
	events, rev, complete := p.m.Since(ctx, after, wait)
	return events, rev, complete, nil
}

// Guards against a process that the store turns away and that serves with a
// withdrawn credential or to a leaving endpoint, though a peer knows better.
func TestPeerTellsWhatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("credential", "valid")
		s.put("endpoint", "live")
		healthy, stopHealthy := start(s, Options{})
		refused := &fakeStore{items: s.items, history: s.history, rev: s.rev}
		m, stop := start(refused, Options{Fallback: peerCopy{healthy}})
		time.Sleep(time.Second)
		refused.fail(errDown)
		time.Sleep(time.Second)
		s.put("credential", "withdrawn")
		s.remove("endpoint")
		time.Sleep(time.Second)
		is.Equal(value(m, "credential"), "withdrawn")
		is.Equal(value(m, "endpoint"), "none")
		stop()
		stopHealthy()
		synctest.Wait()
	})
}

// Guards against an incomplete copy for a process that has just started.
func TestSinceZeroIsComplete(t *testing.T) {
	is := is.New(t)
	m := New(Options{OnChange: func(infra.Event) {}, Log: zap.NewNop()})
	_, _, complete := m.Since(context.Background(), 0, 0)
	is.True(!complete) // it knows nothing itself
	m.take([]infra.Event{{Pair: infra.Pair{Key: "a", Value: []byte("1"), Revision: 3}}}, 9, true)
	events, rev, complete := m.Since(context.Background(), 0, 0)
	is.Equal(len(events), 1)
	is.Equal(rev, int64(9))
	is.True(complete)
}
