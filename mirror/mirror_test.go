package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// fakeStore is a key-value service with a history. The history can be compacted,
// and all calls can fail.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]infra.Pair
	history []infra.Event
	rev     int64
	// floor is the revision up to which the history is compacted.
	floor int64
	// err is returned by all calls if it isn't nil.
	err error
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

// snapshot returns a function that restores the store to its state at this moment, in a
// new era.
func (s *fakeStore) snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := maps.Clone(s.items)
	number := infra.RevisionNumber(s.rev)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		era := infra.Era(s.rev) + 1
		s.items = map[string]infra.Pair{}
		for key, p := range saved {
			p.Revision = infra.Revision(era, infra.RevisionNumber(p.Revision))
			s.items[key] = p
		}
		s.rev = infra.Revision(era, number)
		s.history, s.floor = nil, s.rev
	}
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeStore) Ping(context.Context) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev, s.err
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
func start(s Source, o Options) (*Mirror, func()) {
	o.Source, o.Log = s, zap.NewNop()
	if o.PollWait == 0 {
		o.PollWait = time.Second
	}
	if o.OnChange == nil {
		o.OnChange = func(infra.Event) {}
	}
	m := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	return m, cancel
}

// value returns a key's value in the copy, or "none".
func value(m *Mirror, key string) string {
	p, ok := m.Get(key)
	if !ok {
		return "none"
	}
	return string(p.Value)
}

var errDown = errors.New("store is down")

// Guards against a copy that misses changes whose history was compacted during an
// outage.
func TestCompactionTriggersList(t *testing.T) {
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

// Guards against an older revision that replaces a newer one because its response
// arrives late.
func TestOlderRevisionNeverReplacesNewer(t *testing.T) {
	is := is.New(t)
	m := New(Options{OnChange: func(infra.Event) {}, Log: zap.NewNop()})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Value: []byte("new"), Revision: 7}})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Value: []byte("old"), Revision: 5}})
	m.apply(infra.Event{Pair: infra.Pair{Key: "a", Revision: 6}, Deleted: true})
	is.Equal(value(m, "a"), "new")
}

// Guards against removing all endpoints after a store outage in which leases
// expired, and against keeping those that don't register again.
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
		time.Sleep(rejoinGrace)
		is.Equal(value(m, "e/back"), "2")
		is.Equal(value(m, "e/dead"), "none")
		stop()
		synctest.Wait()
	})
}

// silentStore lists its pairs, but its polls get no response.
type silentStore struct{ *fakeStore }

func (silentStore) Poll(ctx context.Context, _ string, _ int64, longest time.Duration) ([]infra.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, longest+1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against serving an old configuration for the length of a poll without a
// response, although peers have a newer revision.
func TestSilentPollUsesFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("a", "1")
		other, stopOther := start(s, Options{})
		m := New(Options{Source: silentStore{s}, PollWait: 4 * time.Second, Fallback: mirrorFallback{other}, OnChange: func(infra.Event) {}, Log: zap.NewNop()})
		ctx, stop := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(time.Second)
		s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		m.NotePeerRevision(other.Revision())
		time.Sleep(behindThreshold + 2*minBackoff)
		is.Equal(value(m, "a"), "2")
		stop()
		stopOther()
		synctest.Wait()
	})
}

// Guards against requests to peers for changes that are about to arrive from the
// store.
func TestShortLagSkipsFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(Options{Log: zap.NewNop(), OnChange: func(infra.Event) {}})
		m.NotePeerRevision(5)
		time.Sleep(behindThreshold / 2)
		is.True(!m.behind())
		m.advance(reply{revision: 4}) // progress, but not up to revision 5
		time.Sleep(behindThreshold * 3 / 4)
		is.True(!m.behind())
		m.advance(reply{revision: 5})
		time.Sleep(2 * behindThreshold)
		is.True(!m.behind())
		m.NotePeerRevision(6)
		is.True(!m.behind())
		time.Sleep(2 * behindThreshold)
		is.True(m.behind())
	})
}

// Guards against deferring a removal when there was no outage.
func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
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

// mirrorFallback is a Fallback that reads another process's mirror.
type mirrorFallback struct{ m *Mirror }

func (p mirrorFallback) Changes(ctx context.Context, after int64, wait time.Duration) ([]infra.Event, int64, bool, error) {
	events, rev, complete := p.m.Since(ctx, after, wait)
	return events, rev, complete, nil
}

// Guards against a process without access to the store that accepts a withdrawn
// credential or uses a removed endpoint, although a peer has the newer state.
func TestFallbackDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("credential", "valid")
		s.put("endpoint", "live")
		healthy, stopHealthy := start(s, Options{})
		refused := &fakeStore{items: s.items, history: s.history, rev: s.rev}
		m, stop := start(refused, Options{Fallback: mirrorFallback{healthy}})
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

// Guards against sending an incomplete copy to a process that has just started.
func TestSinceZeroIsComplete(t *testing.T) {
	is := is.New(t)
	m := New(Options{OnChange: func(infra.Event) {}, Log: zap.NewNop()})
	_, _, complete := m.Since(context.Background(), 0, 0)
	is.True(!complete) // its own copy is still empty
	m.applyChanges(reply{events: []infra.Event{{Pair: infra.Pair{Key: "a", Value: []byte("1"), Revision: 3}}}, revision: 9, complete: true})
	events, rev, complete := m.Since(context.Background(), 0, 0)
	is.Equal(len(events), 1)
	is.Equal(rev, int64(9))
	is.True(complete)
}
