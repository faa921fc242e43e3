package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulated peak: one engine starts a request every 10 ms, and requests
// arrive at 1.5 times that rate for two seconds. Every third one has priority 1.
const (
	shedServiceTime = 10 * time.Millisecond
	shedArrivals    = 300
	shedArrivalGap  = 2 * shedServiceTime / 3
	shedTarget      = 400 * time.Millisecond
)

// serveOverload simulates the peak and returns how many requests of each priority
// start within their target latency.
func serveOverload(c LoadShedder) (urgent, other int) {
	var free time.Duration
	for i := range shedArrivals {
		now := time.Duration(i) * shedArrivalGap
		free = max(free, now)
		priority := 0
		if i%3 == 0 {
			priority = 1
		}
		wait := free - now + shedServiceTime
		if !c.Admit(priority, wait, shedTarget, false) {
			continue
		}
		free += shedServiceTime
		switch {
		case wait > shedTarget:
		case priority == 0:
			urgent++
		default:
			other++
		}
	}
	return urgent, other
}

// Guards against admitting every request at peak load, which makes all of them
// late.
func TestSheddingKeepsRequestsOnTime(t *testing.T) {
	is := is.New(t)
	allUrgent, allOther := serveOverload(LoadShedder{Usual: Limits{Urgent: 1e6, Other: 1e6}})
	urgent, other := serveOverload(LoadShedder{Usual: Limits{Urgent: 1, Other: 0.8}})
	is.True(urgent+other > allUrgent+allOther+30) // more requests on time in total
	is.True(urgent > allUrgent)                   // and more urgent ones on time
}

// Guards against refusing urgent requests while less urgent ones are admitted.
func TestUrgentRequestsAreShedLast(t *testing.T) {
	is := is.New(t)
	c := LoadShedder{Usual: Limits{Urgent: 1.6, Other: 1.1}, Overload: Limits{Urgent: 1, Other: 0.3}}
	late := 500 * time.Millisecond
	is.True(c.Admit(0, late, shedTarget, false))
	is.True(!c.Admit(1, late, shedTarget, false))
	is.True(c.Admit(1, time.Hour, 0, true)) // without a target latency no request is late
	is.True(c.Admit(0, late/2, shedTarget, true))
	is.True(!c.Admit(1, late/2, shedTarget, true))
}

// Guards against requests that are sent to be late, against late ones that are never sent, and
// against late ones that are sent where others wait.
func TestTimelyRequests(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		elapsed, wait, firstEvent time.Duration // in milliseconds
		late, want                bool
	}{{100, 200, 100, false, true}, {101, 200, 100, false, false}, {100, 200, 100, true, false}, {100, 50, 100, true, true},
		{0, 50, 401, false, true}, {0, 51, 401, false, false}} {
		timing := Timing{Elapsed: c.elapsed * time.Millisecond, Wait: c.wait * time.Millisecond, FirstEvent: c.firstEvent * time.Millisecond}
		is.Equal(timing.Timely(shedTarget, c.late), c.want)
		is.True(timing.Timely(0, c.late)) // without a target latency
	}
	urgent := LoadShedder{Overload: Limits{Urgent: 1}}
	is.True(urgent.AdmitWaiting(0, Timing{Wait: shedTarget}, shedTarget, false))
	is.True(!urgent.AdmitWaiting(0, Timing{Wait: shedTarget, FirstEvent: 1}, shedTarget, false))
}

// Guards against refusing requests in a burst that the endpoints can absorb, such
// as while a few of them load weights, and against admitting too many requests in
// a long overload.
func TestStandingQueueIgnoresBursts(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		pause time.Duration // without arrivals, after each tenth of a second
		want  bool
	}{{50 * time.Millisecond, false}, {0, true}} {
		var s StandingQueueDetector
		var now, free time.Duration
		standing := 0
		for i := range 200 {
			if i%15 == 14 {
				now += c.pause
			}
			now += shedArrivalGap
			free = max(free, now) + shedServiceTime
			if present, _ := s.Observe("llm", free-now-shedServiceTime, time.Unix(0, 0).Add(now)); present {
				standing++
			}
			if present, _ := s.Observe("idle", 0, time.Unix(0, 0).Add(now)); present {
				t.Fatal("a standing queue was reported for a service without a queue")
			}
		}
		is.Equal(standing > 50, c.want)
	}
}
