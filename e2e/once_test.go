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

// bookings is how often the endpoints counted a body.
func (s *system) bookings(body string) (n int) {
	for _, p := range s.Plains {
		n += p.Bookings(body)
	}
	return n
}

// once checks the answers to calls with one key against the endpoints' count:
// at most one booking, behind every success, and none after a final "not run".
func (s *system) once(body string, answers ...reply) error {
	n := s.bookings(body)
	if n > 1 {
		return fmt.Errorf("%s: booked %d times", body, n)
	}
	notRun := 0
	for _, a := range answers {
		if a.err == nil && a.status == 200 && (n != 1 || !strings.Contains(a.body, fmt.Sprintf(`"body":%q`, body))) {
			return fmt.Errorf("%s: counted %d, answer %s", body, n, a.body)
		}
		if strings.Contains(a.body, `"run":"not_run"`) {
			notRun++
		}
	}
	if n == 1 && notRun == len(answers) {
		return fmt.Errorf("%s: booked, but every answer says not run", body)
	}
	return nil
}

// Guards against a second booking, or a false "not run", when the agents are
// stopped past every timeout with a keyed call under way and then run on.
func TestPausedAgentsBookOnce(t *testing.T) {
	is := is.New(t)
	s := boot(t)
	for _, p := range s.Plains {
		p.SetFaults(plain.Faults{Delay: 500 * time.Millisecond})
	}
	answers := make([][]reply, 6)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // the last ones start after the stop
			for e := range 2 {
				answers[i] = append(answers[i], s.call(e, "/book", fmt.Sprint("van ", i), "Idempotency-Key", fmt.Sprint("k", i)))
			}
		})
	}
	time.Sleep(350 * time.Millisecond)
	for _, a := range s.agents {
		a.signal(syscall.SIGSTOP)
	}
	time.Sleep(20 * time.Second) // stall timeout 3 s, give-up 8 s, revocation
	for _, a := range s.agents {
		a.signal(syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(time.Second)
	for i := range answers {
		body := fmt.Sprint("van ", i)
		answers[i] = append(answers[i], s.call(i%2, "/book", body, "Idempotency-Key", fmt.Sprint("k", i)))
		is.NoErr(s.once(body, answers[i]...))
	}
}

// Guards against a second booking, or a false "not run", when an entry, an
// agent or the answers of an endpoint are lost at random moments, with repeats
// of each key through both entries.
func TestRandomKillsBookOnce(t *testing.T) {
	const rounds, keys = 8, 6
	is := is.New(t)
	s := boot(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range rounds {
		for _, p := range s.Plains {
			p.SetFaults(plain.Faults{Delay: 200 * time.Millisecond, DropResponses: rng.IntN(2)})
		}
		answers := make([][]reply, keys)
		name := func(k int) string { return fmt.Sprintf("van %d of round %d", k, round) }
		var wg sync.WaitGroup
		for k := range answers {
			entry := rng.IntN(2)
			wg.Go(func() {
				for try := range 3 {
					answers[k] = append(answers[k], s.call((entry+try)%2, "/book", name(k), "Idempotency-Key", name(k)))
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
		for k := range answers {
			answers[k] = append(answers[k], s.call(k%2, "/book", name(k), "Idempotency-Key", name(k)))
			is.NoErr(s.once(name(k), answers[k]...))
		}
	}
}
