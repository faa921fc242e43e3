package catalog

import (
	"sync"
	"sync/atomic"
)

// ActiveConfig holds the configuration in force. A configuration only replaces one
// of a lower version, from whatever source it comes. It is safe for concurrent use.
type ActiveConfig struct {
	mu      sync.Mutex
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, or nil before the first one.
func (b *ActiveConfig) Current() *Config { return b.current.Load() }

// SetIfNewer puts a configuration in force if its version is higher than the current
// one, and reports whether it did. The caller must have called Index on it, and must
// not change it afterwards.
func (b *ActiveConfig) SetIfNewer(c *Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	b.current.Store(c)
	return true
}
