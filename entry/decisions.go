package entry

import (
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/route"
)

// Explanation is a recorded decision and the time at which it was made.
type Explanation struct {
	Time     time.Time      `json:"time"`
	Decision route.Decision `json:"decision"`
}

// decisions is a ring buffer of the latest decisions.
type decisions struct {
	mu   sync.Mutex
	ring []Explanation
	next int
}

func newDecisions(size int) *decisions { return &decisions{ring: make([]Explanation, size)} }

func (d *decisions) add(dec route.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = Explanation{time.Now(), dec}
	d.next = (d.next + 1) % len(d.ring)
}

// forRequest returns the recorded decisions of a request, oldest first.
func (d *decisions) forRequest(requestID string) []Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Explanation{}
	for i := range d.ring {
		e := d.ring[(d.next+i)%len(d.ring)]
		if e.Decision.RequestID == requestID {
			out = append(out, e)
		}
	}
	return out
}
