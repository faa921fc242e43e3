// Package wait provides a sleep that ends early when its context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether d has passed; false means
// that ctx ended.
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
