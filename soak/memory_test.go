package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// smallMemoryMB is the least memory of a gateway's host.
	smallMemoryMB = 112
	// endlessCallers is the number of callers at the gateway, endlessTime how long they send.
	endlessCallers = 250
	endlessTime    = 4 * time.Second
)

// peakMemoryMB returns the process's peak of resident memory.
func (p *process) peakMemoryMB(t *testing.T) int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kB int
		if n, _ := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kB); n == 1 {
			return kB >> 10
		}
	}
	t.Errorf("process %d shows no peak of memory", pid)
	return 0
}

// Guards against a gateway that keeps what faulty endpoints send without end until its
// memory is used up, which ends the requests of all its callers; each request has a bound,
// their sum had none.
func TestEndlessBytesStayWithinMemory(t *testing.T) {
	binary := buildGateway(t)
	for _, fault := range []platformtest.Fault{platformtest.EndlessEvent, platformtest.EndlessFailure, platformtest.EndlessHead} {
		t.Run(fault.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, binary, 1, 1, smallMemoryMB)
			gateway := s.processes[0]
			s.sendStreams(gateway, 1, time.Second) // until it is ready
			for _, e := range s.endpoints {
				e.SetFault(fault)
			}
			s.sendStreams(gateway, endlessCallers, endlessTime)
			peak := gateway.peakMemoryMB(t)
			t.Logf("peak of %d MB", peak)
			is.True(peak < smallMemoryMB)
			for _, e := range s.endpoints {
				e.SetFault(platformtest.NoFault)
			}
			served := s.served.Load()
			s.sendStreams(gateway, 4, 3*time.Second)
			is.True(s.served.Load() > served) // the endpoints are used again
			is.Equal(s.failures.Load(), int64(0))
		})
	}
}

// sendStreams sends requests for streams from a number of callers for a time.
func (s *system) sendStreams(p *process, callers int, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c := newCaller(s)
			defer c.close()
			for ctx.Err() == nil {
				c.call(p, shortRequest(streamID.Add(1), "stream"))
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// streamID is the number of the last request of sendStreams.
var streamID atomic.Int64
