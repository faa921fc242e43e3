package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crestLoad is a swing: one engine that starts a request each 10 ms, and demand
// that is 1.5 times that for two seconds. Every third request is a long draft.
const (
	crestWork     = 10 * time.Millisecond
	crestArrivals = 300
	crestGap      = 2 * crestWork / 3
	crestTarget   = 400 * time.Millisecond
)

// serveCrest returns how many requests of each priority start within their target.
func serveCrest(c LoadShedder) (urgent, other int) {
	var free time.Duration
	for i := range crestArrivals {
		now := time.Duration(i) * crestGap
		free = max(free, now)
		priority := 0
		if i%3 == 0 {
			priority = 1
		}
		wait := free - now + crestWork
		if !c.Admit(priority, wait, crestTarget, false) {
			continue
		}
		free += crestWork
		switch {
		case wait > crestTarget:
		case priority == 0:
			urgent++
		default:
			other++
		}
	}
	return urgent, other
}

// Guards against taking every request at the crest of a swing, which makes all
// of them late.
func TestCrestKeepsAnswersInTime(t *testing.T) {
	is := is.New(t)
	allUrgent, allOther := serveCrest(LoadShedder{Usual: Limits{1e6, 1e6}})
	urgent, other := serveCrest(LoadShedder{Usual: Limits{1, 0.8}})
	is.True(urgent+other > allUrgent+allOther+30) // more are in time in all
	is.True(urgent > allUrgent)                   // and more of the urgent ones
}

// Guards against refusing urgent requests while less urgent ones are taken.
func TestCrestRefusesUrgentLast(t *testing.T) {
	is := is.New(t)
	c := LoadShedder{Usual: Limits{1.6, 1.1}, Overload: Limits{1, 0.3}}
	late := 500 * time.Millisecond
	is.True(c.Admit(0, late, crestTarget, false))
	is.True(!c.Admit(1, late, crestTarget, false))
	is.True(c.Admit(1, time.Hour, 0, true)) // no target, no lateness
	is.True(c.Admit(0, late/2, crestTarget, true))
	is.True(!c.Admit(1, late/2, crestTarget, true))
}

// Guards against refusing requests in a burst that the endpoints absorb, as when
// a few of them load weights, and against taking too many in a long overload.
func TestStandingQueueIsToldFromABurst(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		pause time.Duration // of the arrivals, after each tenth of a second
		want  bool
	}{{50 * time.Millisecond, false}, {0, true}} {
		var s StandingQueueDetector
		var now, free time.Duration
		standing := 0
		for i := range 200 {
			if i%15 == 14 {
				now += c.pause
			}
			now += crestGap
			free = max(free, now) + crestWork
			if present, _ := s.Observe("llm", free-now-crestWork, time.Unix(0, 0).Add(now)); present {
				standing++
			}
			if present, _ := s.Observe("idle", 0, time.Unix(0, 0).Add(now)); present {
				t.Fatal("a service without a queue has one")
			}
		}
		is.Equal(standing > 50, c.want)
	}
}
