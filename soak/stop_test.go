package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// lateTime is the time after SIGTERM from which a request that is sent must not be cut.
	lateTime = 3 * time.Second
	// stopSendFrom and stopSendUntil bound the times after SIGTERM at which the streams of a
	// planned stop are sent, stopSendInterval is the time between two.
	stopSendFrom     = 2 * time.Second
	stopSendUntil    = 4 * time.Second
	stopSendInterval = 20 * time.Millisecond
)

// stopCase is a way in which a planned stop goes on. Its functions return at once.
type stopCase struct {
	name string
	// terminate sends SIGTERM, and whatever surrounds it.
	terminate func(p *process)
	// bodyDelay is the time between a request's head and its last byte.
	bodyDelay time.Duration
}

// pause stops a process for a time.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

var stopCases = []stopCase{
	{name: "in calm", terminate: func(p *process) { p.signal(syscall.SIGTERM) }},
	{name: "signal noticed late", terminate: func(p *process) {
		p.pause(250 * time.Millisecond)
		p.signal(syscall.SIGTERM)
	}},
	{name: "paused from the signal until after the moment", terminate: func(p *process) {
		p.pause(lateTime + 300*time.Millisecond)
		p.signal(syscall.SIGTERM)
	}},
	{name: "process not scheduled for a moment", terminate: func(p *process) {
		p.signal(syscall.SIGTERM)
		time.AfterFunc(lateTime-100*time.Millisecond, func() { p.pause(200 * time.Millisecond) })
	}},
	{name: "last byte long after the head", terminate: func(p *process) { p.signal(syscall.SIGTERM) }, bodyDelay: 1500 * time.Millisecond},
}

// Guards against a stream that is sent later than lateTime after SIGTERM, is passed on to an
// endpoint although it may outlast the process, and is cut at the process's end.
func TestLateStreamIsNotCutInPlannedStop(t *testing.T) {
	binary := buildGateway(t)
	for _, c := range stopCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, binary, 1, 1, soakMemoryMB)
			for _, e := range s.endpoints {
				e.RefuseProbability, e.BreakProbability = 0, 0
			}
			p := s.processes[0]
			s.sendStreams(p, 1, time.Second) // until it is ready
			p.terminateForGood(c.terminate)
			var wg sync.WaitGroup
			results := make(chan stopResult, int((stopSendUntil-stopSendFrom)/stopSendInterval))
			terminated := time.Now()
			for i := range cap(results) {
				wg.Go(func() {
					time.Sleep(time.Until(terminated.Add(stopSendFrom - c.bodyDelay + time.Duration(i)*stopSendInterval)))
					results <- sendLong(p, "/stream/lasts/1h", fmt.Sprint("late-", i), c.bodyDelay)
				})
			}
			wg.Wait()
			close(results)
			s.checkStop(terminated, results)
		})
	}
}

// terminateForGood ends the process without a restart.
func (p *process) terminateForGood(terminate func(p *process)) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	terminate(p)
}

// stopResult is the result of a request that is sent during a planned stop.
type stopResult struct {
	result
	// notAccepted is whether the process accepted no connection any more.
	notAccepted bool
}

// sendLong sends a request that outlasts the grace, on a connection of its own, and reads the
// answer to its end.
func sendLong(p *process, path, id string, bodyDelay time.Duration) stopResult {
	conn, err := p.dial()
	if err != nil {
		return stopResult{result: result{sentAt: time.Now()}, notAccepted: true}
	}
	defer conn.Close()
	r, _ := conn.send(request{id: id, method: http.MethodPost, path: path, deadline: longTimeout, bodyDelay: bodyDelay})
	return stopResult{result: r}
}

// checkStop checks what became of the streams of a planned stop.
func (s *system) checkStop(terminated time.Time, results <-chan stopResult) {
	is := is.New(s.t)
	late, cut, refused, notAccepted := 0, 0, 0, 0
	for r := range results {
		after := r.sentAt.Sub(terminated)
		switch {
		case r.notAccepted:
			notAccepted++
		case r.status == http.StatusServiceUnavailable && s.runs.Count(r.id) > 0:
			s.fail("%s: refused as not run, but it ran", r.id)
		case r.status == http.StatusServiceUnavailable:
			refused++
		case r.err != nil && after > lateTime:
			s.fail("%s: sent %v after SIGTERM, status %d, %d runs: %v", r.id, after, r.status, s.runs.Count(r.id), r.err)
		case r.err != nil:
			cut++
		}
		if after > lateTime {
			late++
		}
	}
	s.t.Logf("%d streams sent late; %d refused, %d not accepted, %d cut that were sent before", late, refused, notAccepted, cut)
	is.True(late > 20)
	is.Equal(s.failures.Load(), int64(0))
}

// Guards against open requests that are cut without an answer because the process was not
// running when SIGTERM came, and counts its grace from when it noticed the signal.
func TestLateSignalLeavesTimeForAnswers(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, buildGateway(t), 1, 1, soakMemoryMB)
	for _, e := range s.endpoints {
		e.RefuseProbability, e.BreakProbability = 0, 0 // the request must be open when the signal comes
	}
	p := s.processes[0]
	s.sendStreams(p, 1, time.Second) // until it is ready
	result := make(chan stopResult, 1)
	go func() { result <- sendLong(p, "/book/long/1", "open", 0) }()
	time.Sleep(500 * time.Millisecond)
	p.terminateForGood(func(p *process) {
		p.pause(3 * time.Second)
		p.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { p.signal(syscall.SIGKILL) })
	})
	is.Equal((<-result).status, http.StatusGatewayTimeout)
}
