package route

import (
	"slices"
	"time"
)

const (
	// startLag is the time from the end of a prompt's computation to the sight of
	// its first token.
	startLag = 25 * time.Millisecond
	// orderSlack is the time by which requests overtake each other: some fetch
	// cached parts first, and the times of their arrival are estimates.
	orderSlack = 60 * time.Millisecond
	// settledAfter is how long work is kept after it should have been done without
	// word of its start; the word may have been lost.
	settledAfter = time.Second
	// maxWorks bounds the work kept of an endpoint.
	maxWorks = 512
)

// workKey names a dispatch: the process that made it, "" for this one, and its
// number there.
type workKey struct {
	sender string
	seq    uint64
}

// work is a prompt sent to an endpoint.
type work struct {
	key workKey
	// rank is the request's priority at the endpoint; 0 goes first.
	rank int
	// at is when it reaches the endpoint.
	at time.Time
	// tokens are to be computed, and left of them are expected not to be yet.
	tokens, left float64
	// idle is since when nothing is expected to be left.
	idle time.Time
}

// precedes reports whether the endpoint computes w before o.
func (w *work) precedes(o *work) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	return w.at.Before(o.at)
}

// backlog is the work that an endpoint has yet to do. The endpoint computes
// prompts one after the other, by rank and then in the order in which they were
// sent, so that a prompt's first token shows that earlier ones are done.
type backlog struct {
	// works are not known to be done, in the order of their computation.
	works []work
	// asOf is the time of what is expected to be left.
	asOf time.Time
	// tokenMs is the time for a token at the endpoint's usual speed.
	tokenMs float64
	// startedAt is the time of the last first token if work was left then.
	startedAt time.Time
	// slowdown is how much longer work takes than usual, 0 when unknown.
	slowdown float64
}

// add takes a dispatch.
func (b *backlog) add(w work, now time.Time) {
	b.advance(now)
	w.left = w.tokens
	i := len(b.works)
	for i > 0 && w.precedes(&b.works[i-1]) {
		i--
	}
	b.works = slices.Insert(b.works, i, w)
	if len(b.works) > maxWorks {
		b.works = b.works[:maxWorks]
	}
}

// served is what an endpoint has done while it was busy all along.
type served struct {
	tokens  float64
	elapsed time.Duration
}

// started takes word that work has been computed. All that precedes it and was
// sent earlier is done, and what follows was not begun before. It returns what
// was done since the last word, nothing if the endpoint was not busy all along.
func (b *backlog) started(key workKey, now time.Time) served {
	b.advance(now)
	i := b.index(key)
	if i < 0 {
		return served{}
	}
	done := b.works[i]
	busy := !b.startedAt.IsZero()
	out := served{elapsed: now.Sub(b.startedAt)}
	b.works = slices.DeleteFunc(b.works, func(w work) bool {
		if w.key != key && (!w.precedes(&done) || !w.at.Add(orderSlack).Before(done.at)) {
			return false
		}
		out.tokens += w.tokens
		busy = busy && w.at.Before(b.startedAt)
		return true
	})
	b.restart(&done, now)
	if !busy {
		return served{}
	}
	return out
}

// restart sets what is left of the work that follows the one just computed.
func (b *backlog) restart(done *work, now time.Time) {
	b.startedAt = time.Time{}
	elapsed := ms(startLag) / b.rate()
	for i := range b.works {
		w := &b.works[i]
		if w.at.Before(now) {
			b.startedAt = now
		}
		if w.rank < done.rank || w.at.Before(done.at) {
			continue
		}
		begun := min(elapsed, w.tokens, max(0, ms(now.Sub(w.at))/b.rate()))
		w.left, w.idle = w.tokens-begun, time.Time{}
		elapsed -= begun
	}
}

// rate returns the time for a token now, in milliseconds.
func (b *backlog) rate() float64 {
	return b.tokenMs * max(1, b.slowdown)
}

// drop forgets work that ended without a first token.
func (b *backlog) drop(key workKey) {
	if i := b.index(key); i >= 0 {
		b.startedAt = time.Time{} // part of it may have been computed
		b.works = slices.Delete(b.works, i, i+1)
	}
}

// forget drops the work that a process has sent.
func (b *backlog) forget(sender string) {
	b.startedAt = time.Time{}
	b.works = slices.DeleteFunc(b.works, func(w work) bool { return w.key.sender == sender })
}

// slow takes how much longer work takes than usual from now on.
func (b *backlog) slow(slowdown float64, now time.Time) {
	if slowdown != b.slowdown {
		b.advance(now)
		b.slowdown = slowdown
	}
}

// wait returns the time until the endpoint is expected to begin a request of a
// rank, in milliseconds.
func (b *backlog) wait(rank int, now time.Time) float64 {
	var left float64
	for i := range b.works {
		if b.works[i].rank > rank {
			break
		}
		left += b.works[i].left
	}
	return max(0, left*b.rate()-ms(now.Sub(b.asOf)))
}

// index returns the position of work, -1 when it isn't there.
func (b *backlog) index(key workKey) int {
	return slices.IndexFunc(b.works, func(w work) bool { return w.key == key })
}

// advance takes off what the endpoint has done until now, and forgets old work.
func (b *backlog) advance(now time.Time) {
	from := b.asOf
	b.asOf = now
	for i := range b.works {
		w := &b.works[i]
		begin := later(from, w.at)
		if spent := min(w.left*b.rate(), ms(now.Sub(begin))); spent > 0 {
			w.left -= spent / b.rate()
			from = begin.Add(time.Duration(spent * float64(time.Millisecond)))
		}
		if w.left < 1 && w.idle.IsZero() {
			w.left, w.idle = 0, now
		}
	}
	b.works = slices.DeleteFunc(b.works, func(w work) bool {
		return !w.idle.IsZero() && now.Sub(w.idle) > settledAfter
	})
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
