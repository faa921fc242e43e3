package lease_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/lease"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/standin/kv"
)

// lock returns a lock on the key-value stand-in of f.
func lock(t *testing.T, f *fleet.Fleet, holder string) *lease.Lock {
	t.Helper()
	is := is.New(t)
	d, err := kernel.Load[infra.KV](t.Context(), "kv.etcd", kernel.Settings{Address: f.KVAddress, Dial: f.Network.Dial})
	is.NoErr(err)
	return &lease.Lock{KV: d, Key: "citrontiller/leader/llm", Holder: holder, TTL: 10 * time.Second, Log: zap.NewNop()}
}

// inBubble runs a test in a synctest bubble with a key-value stand-in.
func inBubble(t *testing.T, test func(t *testing.T, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, err := fleet.New(fleet.NewMemoryNetwork(), nil)
		is.NoErr(err)
		defer f.Close()
		test(t, f)
	})
}

// Guards against a holder that still uses or releases the lock after a pause
// longer than its lease, and against fencing tokens that don't grow.
func TestPausedHolderLosesTheLock(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		first, err := lock(t, f, "a").Acquire(t.Context())
		is.NoErr(err)
		_, err = lock(t, f, "b").Acquire(t.Context())
		is.True(errors.Is(err, lease.ErrHeld))
		time.Sleep(11 * time.Second)
		is.True(first.Remaining() < 0)
		second, err := lock(t, f, "b").Acquire(t.Context())
		is.NoErr(err)
		is.True(second.Fence > first.Fence)
		is.True(errors.Is(first.Renew(t.Context()), lease.ErrExpired))
		is.NoErr(first.Release(t.Context()))
		_, err = lock(t, f, "c").Acquire(t.Context())
		is.True(errors.Is(err, lease.ErrHeld)) // the late release must not free the lock of the second holder
	})
}

// Guards against a lock that is left without a holder for a TTL because the write
// took effect but its response was lost.
func TestLostWriteResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		f.KV.SetFaults(kv.Faults{LoseWriteResponses: 1})
		h, err := lock(t, f, "a").Acquire(t.Context())
		is.NoErr(err)
		_, revision := f.KV.Value("citrontiller/leader/llm")
		is.Equal(h.Fence, revision)
	})
}

// Guards against two concurrent holders, and against a lock that no process
// acquires after an outage of the key-value service.
func TestOneHolderThroughOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		active, most, turns := 0, 0, 0
		hold := func(ctx context.Context, h *lease.Held) {
			mu.Lock()
			active++
			turns++
			most = max(most, active)
			mu.Unlock()
			<-ctx.Done()
			is.True(h.Remaining() > 0 || ctx.Err() != nil)
			mu.Lock()
			active--
			mu.Unlock()
		}
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			l := lock(t, f, name)
			wg.Go(func() { l.Run(ctx, hold) })
		}
		time.Sleep(time.Minute)
		mu.Lock()
		is.Equal(turns, 1)
		mu.Unlock()
		f.KV.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Minute)
		mu.Lock()
		is.Equal(active, 0)
		mu.Unlock()
		f.KV.SetFaults(kv.Faults{})
		time.Sleep(30 * time.Second)
		mu.Lock()
		is.Equal(active, 1)
		is.Equal(most, 1)
		mu.Unlock()
		cancel()
		wg.Wait()
	})
}

// countingKV counts the reads of a key-value service.
type countingKV struct {
	infra.KV
	reads *atomic.Int64
}

func (c countingKV) Get(ctx context.Context, key string) (infra.Pair, error) {
	c.reads.Add(1)
	return c.KV.Get(ctx, key)
}

// Guards against a flood of calls to a key-value service that refuses them, from every
// process whose local copy shows the lock as free.
func TestRefusedAttemptsAreSpaced(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		l := lock(t, f, "a")
		var reads atomic.Int64
		l.KV, l.Free = countingKV{l.KV, &reads}, func() bool { return true }
		f.KV.SetFaults(kv.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { l.Run(ctx, func(context.Context, *lease.Held) {}) })
		time.Sleep(10 * time.Second)
		is.True(reads.Load() >= 10)
		is.True(reads.Load() <= 25)
		cancel()
		wg.Wait()
	})
}
