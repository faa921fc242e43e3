package route

import (
	"cmp"
	"time"
)

const (
	// crashWindow is the time from an endpoint's start within which another start counts as
	// a crash.
	crashWindow = 30 * time.Second
	// maxPaceCrashes is the number of crashes that gives the largest scale.
	maxPaceCrashes = 3
	// maxStarts bounds the endpoint ids and addresses whose last start is remembered. The
	// largest fleet has 3,000 endpoints.
	maxStarts = 16 << 10
)

// endpointStart is the last start of an endpoint and the number of starts before it that
// each followed the previous one within crashWindow.
type endpointStart struct {
	at      time.Time
	crashes int
}

// countStart records a start of an endpoint and returns the number of crashes before it.
func (p *pacing) countStart(e *endpointState, now time.Time) int {
	keys := []string{e.id, cmp.Or(e.address, e.id)}
	crashes := 0
	for _, k := range keys {
		if s, ok := p.starts.Get(k); ok && now.Sub(s.at) < crashWindow {
			crashes = max(crashes, s.crashes+1)
		}
	}
	crashes = min(crashes, maxPaceCrashes)
	for _, k := range keys {
		p.starts.Add(k, endpointStart{now, crashes})
	}
	return crashes
}
