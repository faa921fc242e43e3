package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(msec int) time.Time { return time.Unix(0, 0).Add(time.Duration(msec) * time.Millisecond) }

// newBacklog returns the backlog of an endpoint that takes a millisecond per token.
func newBacklog() *backlog { return &backlog{tokenMs: 1} }

func (b *backlog) send(seq uint64, rank, msec int, tokens float64) {
	b.add(pendingPrefill{key: dispatchKey{seq: seq}, rank: rank, arrival: at(msec), tokens: tokens}, at(msec))
}

// Guards against a predicted wait that omits a prefill because an older, smaller one
// was sent long before: the wait depends on when the endpoint was last idle.
func TestBacklogCountsFromLastIdle(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 10)
	b.send(2, 0, 390, 300)
	is.Equal(b.wait(0, at(400)), 290.0)
	is.Equal(b.wait(0, at(700)), 0.0)
}

// Guards against predicting a long queue although the first token of a later prompt
// has arrived, and an empty one although prompts have been sent since.
func TestFirstTokenCorrectsBacklog(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 500)
	b.send(2, 0, 100, 500)
	b.send(3, 0, 290, 200)
	is.Equal(b.wait(0, at(300)), 900.0)
	b.started(dispatchKey{seq: 2}, at(300))
	lag := ms(firstTokenLag)
	is.Equal(b.wait(0, at(300)), 200-min(lag, 10))
}

// Guards against considering a prefill done because a later request overtook it in
// transit or while it was fetching cached parts of its prompt.
func TestOvertakenPrefillStaysPending(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 400)
	b.send(2, 0, 20, 10)
	b.started(dispatchKey{seq: 2}, at(60))
	is.True(b.wait(0, at(60)) > 300)
}

// Guards against keeping urgent requests from an endpoint because of lower-priority
// prefills, and against dropping these prefills when an urgent request starts.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 1, 0, 400)
	b.send(2, 0, 1, 50)
	is.Equal(b.wait(0, at(1)), 50.0)
	is.Equal(b.wait(1, at(1)), 449.0)
	b.started(dispatchKey{seq: 2}, at(100))
	is.True(b.wait(1, at(100)) > 300)
}

// Guards against treating an endpoint on a slow host as fast as the others, and
// against a prefill that is never removed because its start event was lost.
func TestSlowdownAndLostStartEvent(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 100)
	b.setSlowdown(2.5, at(0))
	is.Equal(b.wait(0, at(0)), 250.0)
	b.send(2, 0, 300, 1)
	b.send(3, 0, 300+int(staleAfter.Milliseconds())+100, 1)
	is.Equal(b.index(dispatchKey{seq: 1}), -1)
}

// Guards against a time per token measured while the endpoint was partly idle.
func TestTokenTimeIsMeasuredWhileBusy(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 100)
	b.send(2, 0, 5, 100)
	is.Equal(b.started(dispatchKey{seq: 1}, at(200)), served{})
	is.Equal(b.started(dispatchKey{seq: 2}, at(400)), served{tokens: 100, elapsed: 200 * time.Millisecond})
	b.send(3, 0, 900, 100)
	is.Equal(b.started(dispatchKey{seq: 3}, at(1000)), served{})
}
