// Package lease elects one holder of a key in the platform's key-value
// service. The holder gets a fencing number that grows with each holder, so
// that a receiver can refuse the orders of an earlier one.
package lease

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// Error reports a lock that could not be taken or kept.
type Error struct {
	Key string
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("lock %s: %s: %v", e.Key, e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrHeld means that another process holds the lock.
var ErrHeld = errors.New("held by another process")

// ErrLapsed means that the lease ran out before it was renewed.
var ErrExpired = errors.New("lease lapsed")

// Lock is a key that at most one process holds.
type Lock struct {
	KV  infra.KV
	Key string
	// Holder is stored in the key for operators.
	Holder string
	// TTL is the lease's length. The holder renews after a third of it.
	TTL time.Duration
	// Clock is a steady clock that counts the time a host is suspended; nil
	// means the monotonic clock, which may not.
	Clock func() time.Duration
	// Free reports from a local copy whether the key seems free, which spares a
	// read for each try; nil means unknown.
	Free func() bool
	Log  *zap.Logger
}

// processStart is the origin of the monotonic clock.
var processStart = time.Now()

func (l *Lock) now() time.Duration {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Since(processStart)
}

// Held is a lock in this process's hands.
type Held struct {
	// Fence is the key's revision, which the service never hands out twice.
	Fence int64

	lock *Lock
	id   int64

	mu      sync.Mutex
	expires time.Duration
}

// Acquire tries once to take the lock. The remaining time counts from before
// the lease was asked for, so it never exceeds what the service grants.
func (l *Lock) Acquire(ctx context.Context) (*Held, error) {
	if l.Free != nil && !l.Free() {
		return nil, &Error{l.Key, "acquire", ErrHeld}
	}
	if _, err := l.KV.Get(ctx, l.Key); err == nil {
		return nil, &Error{l.Key, "acquire", ErrHeld}
	} else if !errors.Is(err, infra.ErrNotFound) {
		return nil, &Error{l.Key, "acquire", err}
	}
	start := l.now()
	id, err := l.KV.Grant(ctx, l.TTL)
	if err != nil {
		return nil, &Error{l.Key, "grant", err}
	}
	value := l.Holder + " " + uuid.NewString()
	fence, err := l.KV.CompareAndSwap(ctx, l.Key, 0, []byte(value), id)
	if errors.Is(err, infra.ErrUnknown) || errors.Is(err, infra.ErrConflict) {
		fence, err = l.reread(ctx, value)
	}
	if err != nil {
		return nil, &Error{l.Key, "acquire", err}
	}
	return &Held{Fence: fence, lock: l, id: id, expires: start + l.TTL}, nil
}

// reread settles a write whose answer was lost: the value names this try.
func (l *Lock) reread(ctx context.Context, value string) (int64, error) {
	p, err := l.KV.Get(ctx, l.Key)
	if err != nil {
		return 0, err
	}
	if string(p.Value) != value {
		return 0, ErrHeld
	}
	return p.Revision, nil
}

// Remaining returns how long the lock is surely held, by the lock's clock.
// It is negative after a pause that outlasted the lease.
func (h *Held) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expires - h.lock.now()
}

// Renew extends the lease. A lease that has lapsed is not renewed: another
// process may have held the lock in between.
func (h *Held) Renew(ctx context.Context) error {
	if h.Remaining() <= 0 {
		return &Error{h.lock.Key, "renew", ErrExpired}
	}
	start := h.lock.now()
	ttl, err := h.lock.KV.KeepAlive(ctx, h.id)
	if errors.Is(err, infra.ErrNotFound) {
		h.drop()
		return &Error{h.lock.Key, "renew", ErrExpired}
	}
	if err != nil {
		return &Error{h.lock.Key, "renew", err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expires = start + min(ttl, h.lock.TTL)
	return nil
}

func (h *Held) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expires = math.MinInt64 / 2
}

// Release deletes the key if it is still this holder's.
func (h *Held) Release(ctx context.Context) error {
	if h.Remaining() <= 0 {
		return nil
	}
	h.drop()
	if err := h.lock.KV.Delete(ctx, h.lock.Key, h.Fence); err != nil && !errors.Is(err, infra.ErrConflict) {
		return &Error{h.lock.Key, "release", err}
	}
	return nil
}

// Run takes the lock whenever it is free and calls hold while it is held. The
// context given to hold ends when the lease can't be renewed in time; hold must
// still check Remaining before each action, because a paused process notices
// the end of a context late. Run returns when ctx ends.
func (l *Lock) Run(ctx context.Context, hold func(ctx context.Context, h *Held)) {
	for ctx.Err() == nil {
		h, err := l.Acquire(ctx)
		if err == nil {
			l.Log.Info("lock acquired", zap.String("key", l.Key), zap.Int64("fence", h.Fence))
			l.keep(ctx, h, hold)
			l.Log.Info("lock lost", zap.String("key", l.Key), zap.Int64("fence", h.Fence))
			continue
		}
		if !errors.Is(err, ErrHeld) {
			l.Log.Warn("lock not acquired", zap.String("key", l.Key), zap.Error(err))
		}
		wait.Sleep(ctx, l.retry())
	}
}

// freeInterval is the time between two looks at the local copy.
const freeInterval = 100 * time.Millisecond

// retry returns the time between two tries to take the lock. A look at a local
// copy costs nothing.
func (l *Lock) retry() time.Duration {
	if l.Free != nil {
		return freeInterval
	}
	return l.TTL / 2
}

// releaseTimeout bounds the deletion of the key at shutdown.
const releaseTimeout = time.Second

// keep renews the lease while hold runs.
func (l *Lock) keep(ctx context.Context, h *Held, hold func(ctx context.Context, h *Held)) {
	held, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel() // a holder that steps down frees the key
		hold(held, h)
	})
	for held.Err() == nil {
		wait.Sleep(held, l.TTL/3)
		if held.Err() != nil {
			break
		}
		if err := h.Renew(held); err != nil && h.Remaining() <= l.TTL/3 {
			l.Log.Warn("lease not renewed", zap.String("key", l.Key), zap.Error(err))
			break
		}
	}
	cancel()
	wg.Wait()
	rctx, done := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer done()
	if err := h.Release(rctx); err != nil {
		l.Log.Warn("lock not released", zap.String("key", l.Key), zap.Error(err))
	}
}
