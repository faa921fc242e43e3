package catalog

import (
	"sync"
	"sync/atomic"
)

// Book holds the configuration in force. A version replaces lower ones only,
// whichever source it comes from. It is safe for concurrent use.
type ActiveConfig struct {
	mu      sync.Mutex
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, nil before the first one.
func (b *ActiveConfig) Current() *Config { return b.current.Load() }

// Offer puts an indexed configuration in force if it is newer, and reports whether it did.
func (b *ActiveConfig) SetIfNewer(c *Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	b.current.Store(c)
	return true
}
