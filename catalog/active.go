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
func (a *ActiveConfig) Current() *Config { return a.current.Load() }

// SetIfNewer puts a configuration in force if its version is higher than the current
// one, and reports whether it did. The caller must have called Index on it, and must
// not change it afterwards.
func (a *ActiveConfig) SetIfNewer(c *Config) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	a.current.Store(c)
	return true
}
