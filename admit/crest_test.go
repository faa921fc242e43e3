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
func serveCrest(c Crest) (urgent, other int) {
	var free time.Duration
	for i := range crestArrivals {
		now := time.Duration(i) * crestGap
		free = max(free, now)
		priority := 0
		if i%3 == 0 {
			priority = 1
		}
		wait := free - now + crestWork
		if !c.Takes(priority, wait, crestTarget) {
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
	allUrgent, allOther := serveCrest(Crest{Urgent: 1e6, Other: 1e6})
	urgent, other := serveCrest(Crest{Urgent: 1, Other: 0.8})
	is.True(urgent+other > allUrgent+allOther+30) // more are in time in all
	is.True(urgent > allUrgent)                   // and more of the urgent ones
}

// Guards against a large fleet in which each gateway fills the same endpoint,
// since none sees the latest sends of the others.
func TestUnseenWorkGrowsWithTheFleet(t *testing.T) {
	is := is.New(t)
	c := Crest{Urgent: 2.5, Other: 1.5}
	expected := 500 * time.Millisecond
	is.True(c.Takes(1, Unseen(expected, 2), crestTarget))
	is.True(!c.Takes(1, Unseen(expected, 26), crestTarget))
}

// Guards against refusing urgent requests while less urgent ones are taken.
func TestCrestRefusesUrgentLast(t *testing.T) {
	is := is.New(t)
	c := Crest{Urgent: 1.6, Other: 1.1}
	late := 500 * time.Millisecond
	is.True(c.Takes(0, late, crestTarget))
	is.True(!c.Takes(1, late, crestTarget))
	is.True(c.Takes(1, time.Hour, 0)) // no target, no lateness
}
