package memory

import (
	"errors"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// hold returns a buffer of n bytes that is dropped as soon as it is revoked.
func hold(is *is.I, b *Budget, group string, n int64) (u *Reservation, revoked *atomic.Bool) {
	revoked = &atomic.Bool{}
	u = b.Reserve(group, func() {
		revoked.Store(true)
		go u.Release()
	})
	is.NoErr(u.Grow(n))
	return u, revoked
}

// Guards against buffers that yield although another group holds more: what one endpoint
// sends without end must not end the responses of others.
func TestGroupThatHoldsMostYields(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	_, small := hold(is, b, "faulty", 20)
	_, large := hold(is, b, "faulty", 40)
	sound, soundRevoked := hold(is, b, "sound", 30)
	is.NoErr(sound.Grow(15)) // 105: the largest buffer of the faulty group yields
	is.True(large.Load())
	is.True(!small.Load() && !soundRevoked.Load())
	is.Equal(b.Used(), int64(65))
	last := b.Reserve("faulty", func() {})
	is.Equal(last.Grow(80), ErrSpent) // it is itself the one to yield
	is.True(!soundRevoked.Load())
	is.Equal(b.Used(), int64(65))
}

// Guards against a buffer that grows after it was revoked, or that takes memory whose owner
// hasn't dropped it yet.
func TestRevokedMemoryIsNotUsedTwice(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	dropped := make(chan struct{})
	faulty := b.Reserve("faulty", func() { close(dropped) })
	is.NoErr(faulty.Grow(90))
	grown := make(chan error)
	sound := b.Reserve("sound", func() {})
	go func() { grown <- sound.Grow(30) }()
	<-dropped
	is.True(faulty.Revoked())
	is.Equal(faulty.Grow(1), ErrSpent)
	select {
	case <-grown:
		t.Fatal("memory is used twice")
	case <-time.After(20 * time.Millisecond):
	}
	faulty.Release()
	is.NoErr(<-grown)
	is.Equal(b.Used(), int64(30))
}

// Guards against a request that takes its memory from others, though it can be refused.
func TestTryGrowRevokesNobody(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	_, revoked := hold(is, b, "", 90)
	u := b.Reserve("", nil)
	is.True(errors.Is(u.TryGrow(11), ErrSpent))
	is.NoErr(u.TryGrow(10))
	u.Release()
	is.True(!revoked.Load())
	is.Equal(b.Used(), int64(90))
}

// Guards against a budget that is exceeded, not given back, or that blocks its users, when
// many buffers grow at once.
func TestBudgetHoldsUnderConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 1000
		b := NewBudget(limit)
		var exceeded atomic.Bool
		var wg sync.WaitGroup
		start := time.Now()
		for i := range 40 {
			wg.Go(func() {
				rnd := rand.New(rand.NewSource(int64(i)))
				for range 200 {
					r := b.Reserve([]string{"a", "b", "c"}[i%3], func() {})
					for r.Grow(int64(1+rnd.Intn(60))) == nil {
						exceeded.CompareAndSwap(false, b.Used() > limit+40*60) // those that wait for room count too
					}
					r.Release()
				}
			})
		}
		wg.Wait()
		is.True(!exceeded.Load())
		is.Equal(b.Used(), int64(0))
		is.Equal(time.Since(start), time.Duration(0)) // nobody has waited for a buffer that was not dropped
	})
}

// Guards against a buffer that waits for room, has to yield itself meanwhile, and doesn't
// notice: others wait for its memory.
func TestWaitingBufferNoticesThatItMustYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget(100)
		kept := b.Reserve("kept", func() {}) // is revoked, and not dropped for now
		is.NoErr(kept.Grow(60))
		start := time.Now()
		results := make([]error, 3)
		var wg sync.WaitGroup
		for i, n := range []int64{50, 45, 40} {
			wg.Go(func() { results[i] = b.Reserve([]string{"first", "second", "third"}[i], func() {}).Grow(n) })
			synctest.Wait()
		}
		is.Equal(results[0], ErrSpent) // it holds the most of the three
		is.Equal(time.Since(start), time.Duration(0))
		kept.Release()
		wg.Wait()
		is.NoErr(results[1])
		is.NoErr(results[2])
		is.Equal(b.Used(), int64(85))
	})
}

// Guards against a revoked buffer that nobody drops: it was revoked just before its owner told
// how it can be stopped now, and the others waited until they gave up.
func TestOwnerThatComesLateIsToldOfRevocation(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	first, second := b.Reserve("a", func() {}), b.Reserve("b", func() {})
	is.NoErr(first.Grow(90))
	done := make(chan error)
	go func() { done <- second.Grow(20) }()
	for !first.Revoked() {
		time.Sleep(time.Millisecond)
	}
	first.OnRevoke(func() { go first.Release() })
	is.NoErr(<-done)
}
