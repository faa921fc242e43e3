package admit

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxDurationRoutes bounds the routes whose durations are remembered.
	maxDurationRoutes = 512
	// durationSamples is the number of requests of a route that are remembered.
	durationSamples = 256
	// minDurationSamples is the number of requests from which a route's durations are known.
	minDurationSamples = 16
)

// Durations remembers how long the latest requests of each route lasted. The zero value is
// ready for use. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes *lru.Cache[string, *durationRing]
}

// durationRing holds the latest durations of a route in milliseconds.
type durationRing struct {
	ms [durationSamples]uint32
	n  int
}

// Observe records how long a request lasted.
func (d *Durations) Observe(route string, lasted time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes, _ = lru.New[string, *durationRing](maxDurationRoutes) // fails only if the size is not positive
	}
	ring, ok := d.routes.Get(route)
	if !ok {
		ring = &durationRing{}
		d.routes.Add(route, ring)
	}
	ring.ms[ring.n%durationSamples] = uint32(lasted.Milliseconds())
	ring.n++
}

// ShareOver returns the share of a route's latest requests that lasted longer than limit. It
// returns false if too few are known.
func (d *Durations) ShareOver(route string, limit time.Duration) (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.latest(route)
	if known == nil {
		return 0, false
	}
	over := 0
	for _, ms := range known {
		if int64(ms) > limit.Milliseconds() {
			over++
		}
	}
	return float64(over) / float64(len(known)), true
}

// Quantile returns a quantile, from 0 to 1, of the durations of a route's latest requests. It
// returns false if too few are known.
func (d *Durations) Quantile(route string, quantile float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := slices.Sorted(slices.Values(d.latest(route)))
	if known == nil {
		return 0, false
	}
	at := min(len(known)-1, int(quantile*float64(len(known))))
	return time.Duration(known[at]) * time.Millisecond, true
}

// latest returns the durations of a route's latest requests in milliseconds, nil if too few are
// known. The caller holds mu.
func (d *Durations) latest(route string) []uint32 {
	if d.routes == nil {
		return nil
	}
	ring, ok := d.routes.Peek(route)
	if !ok || ring.n < minDurationSamples {
		return nil
	}
	return ring.ms[:min(ring.n, durationSamples)]
}
