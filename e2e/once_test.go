package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/plain"
)

// bookings returns the number of times that the endpoints booked a body.
func (s *system) bookings(body string) (n int) {
	for _, p := range s.Plains {
		n += p.Bookings(body)
	}
	return n
}

// checkBookedOnce compares the responses to calls with one idempotency key with the
// endpoints' count: at most one booking, exactly one if a response is a success,
// and none if every response reports "not run".
func (s *system) checkBookedOnce(body string, responses ...response) error {
	n := s.bookings(body)
	if n > 1 {
		return fmt.Errorf("%s: booked %d times", body, n)
	}
	notRun := 0
	for _, r := range responses {
		if r.err == nil && r.status == 200 && (n != 1 || !strings.Contains(r.body, fmt.Sprintf(`"body":%q`, body))) {
			return fmt.Errorf("%s: booked %d times, but got the success response %s", body, n, r.body)
		}
		if strings.Contains(r.body, `"run":"not_run"`) {
			notRun++
		}
	}
	if n == 1 && notRun == len(responses) {
		return fmt.Errorf("%s: booked, but every response reports not run", body)
	}
	return nil
}

// Guards against a second booking, or a false "not run", when both agents are
// paused for longer than every timeout while a call with an idempotency key is in
// flight, and then continue.
func TestPausedAgentsBookOnce(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	for _, p := range s.Plains {
		p.SetFaults(plain.Faults{Delay: 500 * time.Millisecond})
	}
	responses := make([][]response, 6)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // the last ones start during the pause
			for e := range 2 {
				responses[i] = append(responses[i], s.post(e, "/book", fmt.Sprint("van ", i), "Idempotency-Key", fmt.Sprint("k", i)))
			}
		})
	}
	time.Sleep(350 * time.Millisecond)
	for _, a := range s.agents {
		a.signal(syscall.SIGSTOP)
	}
	time.Sleep(20 * time.Second) // longer than the stall timeout (3 s), reconnect timeout (8 s) and revocation together
	for _, a := range s.agents {
		a.signal(syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(time.Second)
	for i := range responses {
		body := fmt.Sprint("van ", i)
		responses[i] = append(responses[i], s.post(i%2, "/book", body, "Idempotency-Key", fmt.Sprint("k", i)))
		is.NoErr(s.checkBookedOnce(body, responses[i]...))
	}
}

// Guards against a second booking, or a false "not run", when an entry or an
// agent is killed at a random moment or an endpoint's response is lost, and each
// call is retried with its idempotency key through both entries.
func TestRandomKillsBookOnce(t *testing.T) {
	const rounds, keys = 8, 6
	is := is.New(t)
	s := startSystem(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range rounds {
		for _, p := range s.Plains {
			p.SetFaults(plain.Faults{Delay: 200 * time.Millisecond, DropResponses: rng.IntN(2)})
		}
		responses := make([][]response, keys)
		name := func(k int) string { return fmt.Sprintf("van %d of round %d", k, round) }
		var wg sync.WaitGroup
		for k := range responses {
			entry := rng.IntN(2)
			wg.Go(func() {
				for try := range 3 {
					responses[k] = append(responses[k], s.post((entry+try)%2, "/book", name(k), "Idempotency-Key", name(k)))
				}
			})
		}
		time.Sleep(time.Duration(rng.IntN(350)) * time.Millisecond)
		victim := append(append([]*process{}, s.entries...), s.agents...)[rng.IntN(4)]
		victim.kill()
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		victim.start()
		wg.Wait()
		s.waitReady(0, 1)
		for k := range responses {
			responses[k] = append(responses[k], s.post(k%2, "/book", name(k), "Idempotency-Key", name(k)))
			is.NoErr(s.checkBookedOnce(name(k), responses[k]...))
		}
	}
}
