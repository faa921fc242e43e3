package rollout

import (
	"context"
	"time"
)

// returnTime is the time in which a call to an engine must return once its context has
// ended.
const returnTime = 100 * time.Millisecond

// bounded calls f and returns its result. If f has not returned returnTime after the end of
// ctx, it returns ctx's error, and the result is dropped: one call that hangs must not hold
// the rollout and the lease, nor the end of the process.
func bounded[T any](ctx context.Context, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1) // f never waits for a reader
	go func() {
		value, err := f()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
	}
	select {
	case r := <-done:
		return r.value, r.err
	case <-time.After(returnTime):
		var none T
		return none, ctx.Err()
	}
}
