// Package wait has the wait that ends early with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx is still running.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
