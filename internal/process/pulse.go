package process

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// beatInterval is the time between two beats of a Pulse.
	beatInterval = 100 * time.Millisecond
	// maxBeatGap is the time between two beats from which the process has not run meanwhile.
	maxBeatGap = 300 * time.Millisecond
)

// BootTime returns the time of a monotonic clock that includes the time for which the host
// is suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Pulse tells for how long a process has not run, because its host was suspended or it got
// no processor. What is noticed after that may have happened at any time in it. It is safe
// for concurrent use.
type Pulse struct {
	clock func() time.Duration

	mu   sync.Mutex
	last time.Duration
	// stallFrom and stallTo are the beats around the last time without any, zero if there was
	// none.
	stallFrom, stallTo time.Duration
}

// NewPulse returns a pulse by a clock, whose first beat is now.
func NewPulse(clock func() time.Duration) *Pulse { return &Pulse{clock: clock, last: clock()} }

// Run beats until ctx ends.
func (p *Pulse) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.beat()
		}
	}
}

// beat records that the process runs, and returns the time.
func (p *Pulse) beat() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if now-p.last > maxBeatGap {
		p.stallFrom, p.stallTo = p.last, now
	}
	p.last = now
	return now
}

// Earliest returns the earliest time at which something that is noticed now may have
// happened: the last beat before a stall that has just ended, else now.
func (p *Pulse) Earliest() time.Duration {
	now := p.beat()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stallTo > 0 && now-p.stallTo <= beatInterval {
		return p.stallFrom
	}
	return now
}
