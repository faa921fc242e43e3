package soak

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// noticeMin and noticeMax bound how late a process notices a SIGTERM.
	noticeMin = 50 * time.Millisecond
	noticeMax = 400 * time.Millisecond
	// firstStop bounds the time of the first planned stop, stopGapMin and stopGapMax the time
	// between two.
	firstStop  = 300 * time.Millisecond
	stopGapMin = 100 * time.Millisecond
	stopGapMax = 1200 * time.Millisecond
)

// faultTimes records when something was hit by unplanned faults. It is safe for concurrent use.
type faultTimes struct {
	mu sync.Mutex
	// open is the number of faults that last, ended when the last one ended.
	open  int
	ended time.Time
}

// begin records the begin of a fault, before it is injected, and end its end.
func (f *faultTimes) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open--
		f.ended = time.Now()
	}
}

// since reports whether a fault has lasted at a time or later.
func (f *faultTimes) since(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open > 0 || f.ended.After(t)
}

// plannedStop is a SIGTERM of the series of a seed.
type plannedStop struct {
	// gap is the time since the one before.
	gap         time.Duration
	process     *process
	noticeAfter time.Duration
	// busy is whether the host is busy meanwhile.
	busy bool
}

// planStops returns a series of planned stops of all gateways in turn.
func (s *system) planStops(rng *rand.Rand, d time.Duration) []plannedStop {
	var out []plannedStop
	order := rng.Perm(len(s.processes))
	gap := between(rng, 0, firstStop)
	for at := gap; at < d; at += gap {
		stop := plannedStop{gap: gap, process: s.processes[order[len(out)%len(order)]], busy: rng.IntN(3) == 0}
		if rng.IntN(2) == 0 {
			stop.noticeAfter = between(rng, noticeMin, noticeMax)
		}
		out = append(out, stop)
		gap = between(rng, stopGapMin, stopGapMax)
	}
	return out
}

// terminateInSeries carries out planned stops until a time, also if the test runs late.
func (s *system) terminateInSeries(stops []plannedStop, until time.Time) {
	for _, stop := range stops {
		time.Sleep(stop.gap)
		if time.Now().After(until) {
			return
		}
		if stop.busy {
			s.makeBusy(graceTime / 2)
		}
		s.t.Log(time.Now().Format(logTime), "planned stop", stop.process.name, "noticed after", stop.noticeAfter, "host busy:", stop.busy)
		stop.process.terminate(stop.noticeAfter)
	}
}

// hostBusy is locked while a seed makes the host busy, which all share.
var hostBusy sync.Mutex

// makeBusy uses the host's processors for a time, unless they are busy already. The processes
// end by themselves even if the test doesn't.
func (s *system) makeBusy(d time.Duration) {
	if !hostBusy.TryLock() {
		return
	}
	time.AfterFunc(d, hostBusy.Unlock)
	for range runtime.NumCPU() {
		cmd := exec.Command("timeout", fmt.Sprint(d.Seconds()), "sh", "-c", "while :; do :; done")
		if err := cmd.Start(); err != nil {
			s.t.Error(err)
			return
		}
		go func() { _ = cmd.Wait() }() // ends with the status of a timeout
	}
}

// injectFault injects a random fault, which it removes after a random time, and
// returns a description.
func (s *system) injectFault(version int64) string {
	p := s.processes[s.rng.IntN(len(s.processes))]
	storeProxy := s.storeProxies[s.rng.IntN(len(s.storeProxies))]
	e := s.endpoints[s.rng.IntN(len(s.endpoints))]
	endpointProxy := e.proxy
	length := time.Duration(200+s.rng.IntN(1500)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(length, f) }
	hit := func(f *faultTimes) { later(f.begin()) }
	switch s.rng.IntN(16) {
	case 0:
		p.faults.begin()()
		p.signal(syscall.SIGKILL)
		return "kill " + p.name
	case 1:
		p.terminate(0)
		return "terminate " + p.name
	case 2:
		hit(&p.faults)
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
		return "pause " + p.name
	case 3:
		storeProxy.stalled.Store(true)
		later(func() { storeProxy.stalled.Store(false) })
		return "stall the store connections of a gateway"
	case 4:
		hit(&e.faults)
		endpointProxy.stalled.Store(true)
		later(func() { endpointProxy.stalled.Store(false); endpointProxy.reset() })
		return "stall the connections to an endpoint"
	case 5:
		e.faults.begin()()
		endpointProxy.reset()
		storeProxy.reset()
		return "reset the connections to an endpoint and those of a gateway to the store"
	case 6:
		hit(&e.faults)
		endpointProxy.delay.Store(int64(100 * time.Millisecond))
		later(func() { endpointProxy.delay.Store(0) })
		return "delay the connections to an endpoint"
	case 7:
		s.store.SetDown(true)
		later(func() { s.store.SetDown(false) })
		return "store down"
	case 8:
		e.Announce(platformtest.Announcement{Leaving: true})
		later(func() {
			e.faults.begin()() // gateways may break off the requests of the earlier incarnation
			s.restart(e)
		})
		return e.ID + " announces leaving, then restarts"
	case 9:
		e.Announce(platformtest.Announcement{RateLimit: 0.5 + 5*s.rng.Float64()})
		later(func() { e.Announce(platformtest.Announcement{}) })
		return e.ID + " announces a rate limit"
	case 10:
		e.Announce(platformtest.Announcement{Pause: length})
		later(func() { e.Announce(platformtest.Announcement{}) })
		return e.ID + " asks for pauses"
	case 11:
		s.store.SetHanging(true)
		later(func() { s.store.SetHanging(false) })
		return "store hangs"
	case 12:
		restore := s.restore
		s.restore = s.store.Snapshot()
		restore()
		time.AfterFunc(length/4, s.rewrite)
		return "store returns to the state of the last such fault, or of the start"
	case 13:
		fault := platformtest.Fault(1 + s.rng.IntN(int(platformtest.Faults)-1))
		hit(&e.faults)
		e.SetFault(fault)
		later(func() { e.SetFault(platformtest.NoFault) })
		return e.ID + " answers wrongly: " + fault.String()
	case 14:
		s.makeBusy(length)
		return "host busy"
	default:
		s.putConfig(version)
		p.signal(syscall.SIGHUP)
		return "new configuration, SIGHUP " + p.name
	}
}
