package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/kv"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// startStreams starts n streamed requests at an entry. It returns a function that
// waits for them and returns the first failure.
func (s *system) startStreams(entry, n, tokens int) func() error {
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		wg.Go(func() {
			q := fmt.Sprintf("stream %d of %d tokens", i, tokens)
			errs[i] = checkComplete(s.post(entry, "/v1/chat/completions", chatBody(q, tokens)), q, tokens)
		})
	}
	return func() error {
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against streams that end early, or never, when the agent that relays
// them is killed, or paused for longer than every timeout.
func TestStreamsSurviveAgentFailure(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			wait := s.startStreams(0, 8, 100)
			time.Sleep(400 * time.Millisecond)
			s.agents[0].signal(sig)
			is.NoErr(wait())
			wait = s.startStreams(1, 8, 10)
			is.NoErr(wait()) // new requests must not wait for the lost agent
			s.agents[0].signal(syscall.SIGCONT)
			time.Sleep(time.Second)
			wait = s.startStreams(0, 8, 10)
			is.NoErr(wait())
		})
	}
}

// Guards against a second booking when the entry, the agents or both are killed
// while the first booking is in flight and the caller retries with the same
// idempotency key through the other entry.
func TestRetryAfterCrashBooksOnce(t *testing.T) {
	victims := map[string]func(s *system){
		"entry":           func(s *system) { s.entries[0].kill() },
		"agents":          func(s *system) { s.agents[0].kill(); s.agents[1].kill() },
		"entry and agent": func(s *system) { s.entries[0].kill(); s.agents[0].kill(); s.agents[1].kill() },
	}
	for name, kill := range victims {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			for _, p := range s.Plains {
				p.SetFaults(plain.Faults{Delay: 700 * time.Millisecond})
			}
			first := make(chan response, 1)
			go func() { first <- s.post(0, "/book", "van", "Idempotency-Key", "k1") }()
			time.Sleep(300 * time.Millisecond)
			kill(s)
			r := <-first
			for _, a := range s.agents {
				if a.waitExit(0) {
					a.start()
				}
			}
			second := s.post(1, "/book", "van", "Idempotency-Key", "k1")
			time.Sleep(time.Second)
			third := s.post(1, "/book", "van", "Idempotency-Key", "k1")
			booked := s.Plains["desk-0"].Bookings("van") + s.Plains["desk-1"].Bookings("van")
			t.Logf("first %d %v, repeat %d %s, third %d %s", r.status, r.err, second.status, second.body, third.status, third.body)
			is.Equal(booked, 1)
			for _, x := range []response{second, third} {
				is.True(!strings.Contains(x.body, `"run":"not_run"`)) // the booking was made
			}
		})
	}
}

// Guards against processes that don't serve soon after a restart: one entry, all
// processes together, and the entries or the agents during an outage of the
// key-value service.
func TestRestartServesAtOnce(t *testing.T) {
	const serveTimeout = 5 * time.Second
	waitServed := func(t *testing.T, s *system, since time.Time) {
		is := is.New(t)
		for entry := range s.entries {
			for {
				q := "after restart"
				err := checkComplete(s.post(entry, "/v1/chat/completions", chatBody(q, 3)), q, 3)
				if err == nil {
					break
				}
				if time.Since(since) > serveTimeout {
					is.NoErr(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		t.Logf("served %s after the restart", time.Since(since).Round(time.Millisecond))
	}
	restart := func(ps ...*process) {
		for _, p := range ps {
			p.kill()
		}
		for _, p := range ps {
			p.start()
		}
	}
	t.Run("one entry", func(t *testing.T) {
		s := startSystem(t)
		restart(s.entries[0])
		waitServed(t, s, time.Now())
	})
	t.Run("all", func(t *testing.T) {
		s := startSystem(t)
		restart(append(s.entries, s.agents...)...)
		waitServed(t, s, time.Now())
	})
	t.Run("entries during an outage of the store", func(t *testing.T) {
		s := startSystem(t)
		time.Sleep(time.Second)
		s.KV.SetFaults(kv.Faults{Down: true})
		restart(s.entries...)
		waitServed(t, s, time.Now())
	})
	t.Run("agents during an outage of the store", func(t *testing.T) {
		s := startSystem(t)
		s.KV.SetFaults(kv.Faults{Down: true})
		restart(s.agents...)
		waitServed(t, s, time.Now())
	})
}

// Guards against new requests to an endpoint that the host list reports as
// leaving while the key-value service is down.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.KV.SetFaults(kv.Faults{Down: true})
	stop := make(chan struct{})
	wait := s.startLoad([]int{0, 1}, stop)
	time.Sleep(500 * time.Millisecond)
	for i := range s.hosts[:2] {
		s.hosts[i].State = infra.Leaving
	}
	s.Hosts.Set(s.hosts)
	time.Sleep(3 * time.Second)
	engineBefore, deskBefore := s.Engines["engine-0"].Counts().Requests, s.Plains["desk-0"].Total()
	time.Sleep(2 * time.Second)
	close(stop)
	_, failures := wait()
	is.Equal(failures, nil)
	is.True(engineBefore > 0)
	is.Equal(s.Engines["engine-0"].Counts().Requests, engineBefore)
	is.Equal(s.Plains["desk-0"].Total(), deskBefore)
}
