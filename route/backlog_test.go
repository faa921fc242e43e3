package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(msec int) time.Time { return time.Unix(0, 0).Add(time.Duration(msec) * time.Millisecond) }

// newBacklog returns a backlog of an endpoint that takes a millisecond a token.
func newBacklog() *backlog { return &backlog{tokenMs: 1} }

func (b *backlog) send(seq uint64, rank, msec int, tokens float64) {
	b.add(work{key: workKey{seq: seq}, rank: rank, at: at(msec), tokens: tokens}, at(msec))
}

// Guards against a wait that forgets work because older, smaller work was sent
// long ago: what counts is when the endpoint was last idle.
func TestBacklogCountsFromLastIdle(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 10)
	b.send(2, 0, 390, 300)
	is.Equal(b.wait(0, at(400)), 290.0)
	is.Equal(b.wait(0, at(700)), 0.0)
}

// Guards against a long queue that is believed although the first token of later
// work has come, and against one believed empty although work was sent since.
func TestFirstTokenCorrectsBacklog(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 500)
	b.send(2, 0, 100, 500)
	b.send(3, 0, 290, 200)
	is.Equal(b.wait(0, at(300)), 900.0)
	b.started(workKey{seq: 2}, at(300))
	lag := ms(startLag)
	is.Equal(b.wait(0, at(300)), 200-min(lag, 10))
}

// Guards against work that is taken for done because a request overtook it on
// its way or in a fetch of cached parts.
func TestOvertakenWorkStays(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 400)
	b.send(2, 0, 20, 10)
	b.started(workKey{seq: 2}, at(60))
	is.True(b.wait(0, at(60)) > 300)
}

// Guards against urgent requests that are kept from an endpoint by work that
// they go before, and against forgetting that work when they start.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 1, 0, 400)
	b.send(2, 0, 1, 50)
	is.Equal(b.wait(0, at(1)), 50.0)
	is.Equal(b.wait(1, at(1)), 449.0)
	b.started(workKey{seq: 2}, at(100))
	is.True(b.wait(1, at(100)) > 300)
}

// Guards against an endpoint on a slow host that looks as fast as the others, and
// against work that counts for ever because word of its start was lost.
func TestSlowdownAndLostWord(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 100)
	b.slow(2.5, at(0))
	is.Equal(b.wait(0, at(0)), 250.0)
	b.send(2, 0, 300, 1)
	b.send(3, 0, 300+int(settledAfter.Milliseconds())+100, 1)
	is.Equal(b.index(workKey{seq: 1}), -1)
}

// Guards against a pace learned from time in which the endpoint was idle.
func TestPaceIsLearnedWhileBusy(t *testing.T) {
	is := is.New(t)
	b := newBacklog()
	b.send(1, 0, 0, 100)
	b.send(2, 0, 5, 100)
	is.Equal(b.started(workKey{seq: 1}, at(200)), served{})
	is.Equal(b.started(workKey{seq: 2}, at(400)), served{tokens: 100, elapsed: 200 * time.Millisecond})
	b.send(3, 0, 900, 100)
	is.Equal(b.started(workKey{seq: 3}, at(1000)), served{})
}
