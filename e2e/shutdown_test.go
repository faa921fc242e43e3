package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startLoad sends streams and bookings through the given entries until stop is
// closed. It returns a function that waits for the requests to end and returns
// their number and the failures.
func (s *system) startLoad(entries []int, stop <-chan struct{}) func() (total int, failures []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures []error
	total := 0
	for w := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				entry := entries[(w+i)%len(entries)]
				question := fmt.Sprintf("question %d of caller %d", i, w)
				err := checkComplete(s.post(entry, "/v1/chat/completions", chatBody(question, 30)), question, 30)
				if err == nil && i%4 == 0 {
					if r := s.post(entry, "/book", question); r.status != 200 {
						err = fmt.Errorf("booking: status %d, error %v: %s", r.status, r.err, r.body)
					}
				}
				mu.Lock()
				total++
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, []error) {
		wg.Wait()
		return total, failures
	}
}

// Guards against a SIGTERM to an agent that breaks a running stream, or after
// which a request that the agent refuses is lost instead of retried elsewhere.
func TestAgentShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	stop := make(chan struct{})
	wait := s.startLoad([]int{0, 1}, stop)
	time.Sleep(500 * time.Millisecond)
	s.agents[0].signal(syscall.SIGTERM)
	s.agents[0].signal(syscall.SIGTERM) // a second signal must not break streams either
	is.True(s.agents[0].waitExit(20 * time.Second))
	time.Sleep(500 * time.Millisecond)
	close(stop)
	total, failures := wait()
	is.True(total > 16)
	is.Equal(failures, nil)
}

// Guards against a SIGTERM to an entry that breaks a running stream.
func TestEntryShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	var wg sync.WaitGroup
	errs := make([]error, 16)
	for i := range errs {
		wg.Go(func() {
			q := fmt.Sprintf("question %d", i)
			errs[i] = checkComplete(s.post(0, "/v1/chat/completions", chatBody(q, 200)), q, 200)
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.entries[0].signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	s.entries[0].signal(syscall.SIGTERM)
	wg.Wait()
	for _, err := range errs {
		is.NoErr(err)
	}
	is.True(s.entries[0].waitExit(10 * time.Second))
}
