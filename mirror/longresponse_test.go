package mirror

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// errSilent is the error of a ping without a response.
var errSilent = errors.New("no response")

// slowLink is a service whose changes take longToRead to arrive. Pings get no response meanwhile
// if crowded is true.
type slowLink struct {
	*fakeStore
	crowded bool
	// silent is true if the response doesn't go on arriving.
	silent bool
	// reading is true while the response arrives, and cut counts those that were abandoned.
	reading atomic.Bool
	cut     atomic.Int64
}

// betweenPings is a time from the start at which no ping is sent.
const betweenPings = pollPingInterval + pollPingInterval/10

// longToRead is the time that a response takes to arrive, in parts.
const longToRead = 12 * time.Second

// Poll implements Source.
func (s *slowLink) Poll(ctx context.Context, prefix string, after int64, longest time.Duration) ([]infra.Event, int64, error) {
	events, rev, err := s.fakeStore.Poll(ctx, prefix, after, longest)
	if len(events) == 0 || err != nil {
		return events, rev, err
	}
	const parts = 60
	s.reading.Store(true)
	defer s.reading.Store(false)
	for range parts {
		if !s.silent {
			infra.ReportProgress(ctx)
		}
		if !wait.Sleep(ctx, longToRead/parts) {
			s.cut.Add(1)
			return nil, 0, ctx.Err()
		}
	}
	return events, rev, nil
}

// Ping implements Source.
func (s *slowLink) Ping(ctx context.Context) (int64, error) {
	if s.crowded && s.reading.Load() {
		return 0, errSilent
	}
	return s.fakeStore.Ping(ctx)
}

// List implements Source.
func (s *slowLink) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	pairs, rev, err := s.fakeStore.List(ctx, prefix)
	return slices.DeleteFunc(pairs, func(p infra.Pair) bool { return !strings.HasPrefix(p.Key, prefix) }), rev, err
}

// startUrgent runs a mirror of the store, whose urgent keys are those below op/, until a time at
// which no ping is sent.
func startUrgent(s Source) (m *Mirror, stop func()) {
	m, cancel := start(s, Options{UrgentPrefix: "op/"})
	time.Sleep(betweenPings)
	return m, func() {
		cancel()
		synctest.Wait()
	}
}

// Guards against a long response that is abandoned and asked for again, without end, since the
// service has changes that haven't come yet, or since pings don't get through beside it; and
// against urgent changes that wait for its end.
func TestLongResponseIsReadToItsEnd(t *testing.T) {
	const urgentTime = 2500 * time.Millisecond
	for name, crowded := range map[string]bool{"changes": false, "crowded link": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &slowLink{fakeStore: newFakeStore(), crowded: crowded}
				s.put("op/config", "1")
				m, stop := startUrgent(s)
				defer stop()
				s.put("servers/a", "x")
				s.put("op/config", "2")
				time.Sleep(urgentTime)
				is.Equal(value(m, "op/config") == "2", !crowded)
				is.True(!m.Lost())
				is.Equal(value(m, "servers/a"), "none")
				time.Sleep(longToRead)
				is.Equal(value(m, "op/config"), "2")
				is.Equal(value(m, "servers/a"), "x")
				is.Equal(s.cut.Load(), int64(0))
			})
		})
	}
}

// Guards against a response that has stopped arriving and keeps the copy out of date.
func TestSilentResponseIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowLink{fakeStore: newFakeStore(), silent: true}
		s.put("op/config", "1")
		m, stop := startUrgent(s)
		defer stop()
		s.put("op/config", "2")
		time.Sleep(pollPingInterval + stalePollTimeout + 10*time.Millisecond)
		is.Equal(s.cut.Load(), int64(1))
		is.Equal(value(m, "op/config"), "2") // read by itself
	})
}
