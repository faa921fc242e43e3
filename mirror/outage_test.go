package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
)

// Time bounds of the platform: a change must be in force configApplyTime after it was
// acknowledged, by processes that have reached a sound store for contactTime.
const (
	configApplyTime = 2500 * time.Millisecond
	contactTime     = 4 * time.Second
)

// hangingStore is a store whose calls never get a response if they are sent or wait
// during an outage. The client gives them up as platform.Store does.
type hangingStore struct {
	*fakeStore
	away    atomic.Bool
	outages atomic.Int64
}

// hang waits for the timeout of a call that is sent during an outage.
func (s *hangingStore) hang(ctx context.Context, timeout time.Duration) error {
	if !s.away.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *hangingStore) Ping(ctx context.Context) (int64, error) {
	if err := s.hang(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	return s.fakeStore.Ping(ctx)
}

func (s *hangingStore) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	if err := s.hang(ctx, 2*time.Second); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *hangingStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]infra.Event, int64, error) {
	if err := s.hang(ctx, wait+1500*time.Millisecond); err != nil {
		return nil, 0, err
	}
	before, sent := s.outages.Load(), time.Now()
	events, rev, err := s.fakeStore.Poll(ctx, prefix, after, wait)
	if s.outages.Load() == before {
		return events, rev, err
	}
	ctx, cancel := context.WithDeadline(ctx, sent.Add(wait+1500*time.Millisecond))
	defer cancel()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// outage makes a store unreachable for a time.
func (s *hangingStore) outage(d time.Duration) {
	s.outages.Add(1)
	s.away.Store(true)
	time.Sleep(d)
	s.away.Store(false)
}

// Guards against a configuration that comes late because a call that was sent before or
// during an outage of the store is waited for after the store's return.
func TestChangesAfterOutageAreInForceInTime(t *testing.T) {
	for _, length := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 6 * time.Second, 12 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &hangingStore{fakeStore: newFakeStore()}
			s.put("config", "1")
			m, stop := start(s, Options{PollWait: 4 * time.Second})
			defer synctest.Wait()
			defer stop()
			time.Sleep(500 * time.Millisecond)
			s.outage(length)
			time.Sleep(100 * time.Millisecond)
			s.put("config", "2")
			time.Sleep(configApplyTime)
			is.Equal(value(m, "config"), "2")
		})
	}
}

// Guards against requests to an endpoint that has left in good order after an outage: the
// delay of its removal counted from when the outage's end was noticed, seconds late.
func TestRemovalAfterHungOutageIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &hangingStore{fakeStore: newFakeStore()}
		s.put("endpoint", "live")
		m, stop := start(s, Options{PollWait: 4 * time.Second, DeferRemoval: func(string) bool { return true }})
		defer synctest.Wait()
		defer stop()
		time.Sleep(500 * time.Millisecond)
		s.outage(5 * time.Second)
		time.Sleep(100 * time.Millisecond)
		s.remove("endpoint")
		time.Sleep(contactTime - 100*time.Millisecond)
		is.Equal(value(m, "endpoint"), "none")
	})
}
