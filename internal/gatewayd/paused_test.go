package gatewayd

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/platform/platformtest"
)

// Guards against a gateway that takes the end of a pause in which it didn't run for the time at
// which a version of weights was named, and tells the others so: it then uses older weights for
// too long.
func TestVersionNamedDuringPause(t *testing.T) {
	for pause, counted := range map[time.Duration]time.Duration{0: 0, 1900 * time.Millisecond: 1900 * time.Millisecond, time.Minute: 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			store := platformtest.NewStore()
			store.Put(platform.ConfigKey, jsonText(announcedConfig))
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			p := newProcess(Settings{PollWait: 4 * time.Second, LeaseTTL: 2 * time.Second}, platform.Settings{Name: "g0", Region: "r",
				StoreAddress: server.Listener.Addr().String()}, zap.NewNop(), func() int64 { return 0 })
			var clock atomic.Int64
			p.pulse = process.NewPulse(func() time.Duration { return time.Duration(clock.Load()) })
			go p.mirror.Run(t.Context())
			waitUntil(t, "first list", p.mirror.IsLive)
			clock.Add(int64(pause))
			want := catalog.Target{Model: "m", Version: 2}
			store.Put(platform.TargetPrefix+"m", jsonText(`{"model":"m","version":2}`))
			noticed := func() bool { named, _ := p.gateway.Targets.NamedAt(want); return !named.IsZero() }
			waitUntil(t, "version", noticed)
			named, witnessed := p.gateway.Targets.NamedAt(want)
			is.Equal(witnessed, pause == 0)
			is.True(time.Since(named) >= counted)
			is.True(time.Since(named) < counted+time.Second)
		})
	}
}

// waitUntil waits at most 5 s until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}
