// Package lease implements a lock on a key of the platform's key-value service,
// held under a lease. Each holder gets a higher fencing token than the one
// before, so that a receiver can refuse the orders of an earlier holder.
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

// Error is a failed operation on a lock.
type Error struct {
	Key string
	// Op is the operation: acquire, grant, renew or release.
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("lock %s: %s: %v", e.Key, e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrHeld means that another process holds the lock.
var ErrHeld = errors.New("held by another process")

// ErrExpired means that the lease expired before it was renewed.
var ErrExpired = errors.New("lease expired")

// Lock is a lock on a key that at most one process holds at a time.
type Lock struct {
	KV  infra.KV
	Key string
	// Holder names this process in the key's value, for operators.
	Holder string
	// TTL is the length of the lease. The holder renews it after a third of it.
	TTL time.Duration
	// Clock returns the time of a monotonic clock that includes the time for which
	// a host is suspended. Nil means Go's monotonic clock, which may exclude it.
	Clock func() time.Duration
	// Free reports from a local copy of the service's keys whether the key seems free,
	// which saves a read for each attempt; nil means that there is no copy.
	Free func() bool
	Log  *zap.Logger
}

// processStart is the origin of the default clock.
var processStart = time.Now()

func (l *Lock) now() time.Duration {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Since(processStart)
}

// Held is a lock that this process has acquired.
type Held struct {
	// Fence is the fencing token. It is the key's revision, which never goes back.
	Fence int64

	lock *Lock
	// id is the lease's id in the key-value service.
	id int64

	mu sync.Mutex
	// expires is the end of the lease by the lock's clock.
	expires time.Duration
}

// Acquire tries once to acquire the lock. The remaining time counts from before
// the lease was requested, so it never exceeds what the service grants. It returns
// an *Error, which wraps ErrHeld when another process holds the lock.
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
		fence, err = l.resolveWrite(ctx, value)
	}
	if err != nil {
		return nil, &Error{l.Key, "acquire", err}
	}
	return &Held{Fence: fence, lock: l, id: id, expires: start + l.TTL}, nil
}

// resolveWrite reads the key to find out whether a write without a clear result
// took effect. The value is unique to the attempt. It returns the key's revision,
// or ErrHeld when another process has written the key.
func (l *Lock) resolveWrite(ctx context.Context, value string) (int64, error) {
	p, err := l.KV.Get(ctx, l.Key)
	if err != nil {
		return 0, err
	}
	if string(p.Value) != value {
		return 0, ErrHeld
	}
	return p.Revision, nil
}

// Remaining returns how long the lock is guaranteed to be held, by the lock's
// clock. It is negative after a pause longer than the lease.
func (h *Held) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expires - h.lock.now()
}

// Renew extends the lease. It returns an *Error. The error wraps ErrExpired for an
// expired lease, which is not renewed because another process may have held the lock
// since.
func (h *Held) Renew(ctx context.Context) error {
	if h.Remaining() <= 0 {
		return &Error{h.lock.Key, "renew", ErrExpired}
	}
	start := h.lock.now()
	ttl, err := h.lock.KV.KeepAlive(ctx, h.id)
	if errors.Is(err, infra.ErrNotFound) {
		h.markExpired()
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

// markExpired makes Remaining negative from now on.
func (h *Held) markExpired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expires = math.MinInt64 / 2
}

// Release deletes the key if this holder still holds it. It returns an *Error if the
// call fails; the lease then expires by itself.
func (h *Held) Release(ctx context.Context) error {
	if h.Remaining() <= 0 {
		return nil
	}
	h.markExpired()
	if err := h.lock.KV.Delete(ctx, h.lock.Key, h.Fence); err != nil && !errors.Is(err, infra.ErrConflict) {
		return &Error{h.lock.Key, "release", err}
	}
	return nil
}

// Run acquires the lock whenever it is free and calls hold while it is held. The
// context of hold ends when the lease can't be renewed in time. hold must still
// check Remaining before each action, because a paused process notices the end of
// a context late. Run returns when ctx ends.
func (l *Lock) Run(ctx context.Context, hold func(ctx context.Context, h *Held)) {
	for ctx.Err() == nil {
		h, err := l.Acquire(ctx)
		if err == nil {
			l.Log.Info("lock acquired", zap.String("key", l.Key), zap.Int64("fence", h.Fence))
			l.renewWhileHeld(ctx, h, hold)
			l.Log.Info("lock lost", zap.String("key", l.Key), zap.Int64("fence", h.Fence))
			continue
		}
		delay := l.retryInterval()
		if !errors.Is(err, ErrHeld) {
			l.Log.Warn("lock not acquired", zap.String("key", l.Key), zap.Error(err))
			delay = max(delay, failureDelay)
		}
		wait.Sleep(ctx, delay)
	}
}

const (
	// localCheckInterval is the time between two checks of the local copy.
	localCheckInterval = 100 * time.Millisecond
	// failureDelay is the least time before an attempt that follows a failed call to the
	// service. Each attempt takes up to three calls.
	failureDelay = 500 * time.Millisecond
)

// retryInterval returns the time between two attempts to acquire the lock. It is
// short with a local copy, whose check needs no call to the service.
func (l *Lock) retryInterval() time.Duration {
	if l.Free != nil {
		return localCheckInterval
	}
	return l.TTL / 2
}

// releaseTimeout bounds the deletion of the key at shutdown.
const releaseTimeout = time.Second

// renewWhileHeld runs hold and renews the lease until hold returns, ctx ends or the
// lease is close to its end without a renewal. It then releases the lock.
func (l *Lock) renewWhileHeld(ctx context.Context, h *Held, hold func(ctx context.Context, h *Held)) {
	holdCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel() // the lock is released when hold returns early
		hold(holdCtx, h)
	})
	for holdCtx.Err() == nil {
		wait.Sleep(holdCtx, l.TTL/3)
		if holdCtx.Err() != nil {
			break
		}
		if err := h.Renew(holdCtx); err != nil && h.Remaining() <= l.TTL/3 {
			l.Log.Warn("lease not renewed", zap.String("key", l.Key), zap.Error(err))
			break
		}
	}
	cancel()
	wg.Wait()
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	if err := h.Release(releaseCtx); err != nil {
		l.Log.Warn("lock not released", zap.String("key", l.Key), zap.Error(err))
	}
}
