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
	maxBeatGap = 200 * time.Millisecond
	// noticeTime is how long after a stall something may be noticed that happened in it.
	noticeTime = time.Second
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
	// stalls are those that ended in the last noticeTime, the oldest first.
	stalls []stall
}

// stall is a time without beats.
type stall struct{ from, to time.Duration }

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

// beat records that the process runs, and returns the time and the recent stalls.
func (p *Pulse) beat() (time.Duration, []stall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if now-p.last > maxBeatGap {
		p.stalls = append(p.stalls, stall{p.last, now})
	}
	p.last = now
	for len(p.stalls) > 0 && now-p.stalls[0].to > noticeTime {
		p.stalls = p.stalls[1:]
	}
	return now, p.stalls
}

// Earliest returns the earliest time at which something that is noticed now may have
// happened: the begin of the first recent stall, else now.
func (p *Pulse) Earliest() time.Duration {
	now, stalls := p.beat()
	return now - uncertainty(now, stalls)
}

// Uncertainty returns for how long something that is noticed now may have gone unnoticed: the
// time since the begin of the first recent stall, 0 without one.
func (p *Pulse) Uncertainty() time.Duration { return uncertainty(p.beat()) }

func uncertainty(now time.Duration, stalls []stall) time.Duration {
	if len(stalls) == 0 {
		return 0
	}
	return now - stalls[0].from
}

// JustStalled reports whether a stall ends now, or ended so recently that what happened in it
// may not have been noticed by all parts of the process.
func (p *Pulse) JustStalled() bool {
	now, stalls := p.beat()
	return len(stalls) > 0 && now-stalls[len(stalls)-1].to <= beatInterval
}
