package route

import (
	"slices"
	"time"
)

const (
	// firstTokenLag is the time from the end of a prefill until its first token is
	// observed.
	firstTokenLag = 25 * time.Millisecond
	// reorderTolerance is the difference in arrival time within which requests may
	// be computed in a different order: some fetch cached parts of the prompt first,
	// and arrival times are estimates.
	reorderTolerance = 60 * time.Millisecond
	// staleAfter is the time for which a prefill is kept after its expected end if
	// its first token has not been reported; the report may have been lost.
	staleAfter = time.Second
	// maxPending bounds the pending prefills kept per endpoint.
	maxPending = 512
)

// dispatchKey identifies a dispatch by the process that made it, "" for this one,
// and its sequence number in that process.
type dispatchKey struct {
	sender string
	seq    uint64
}

// pendingPrefill is a prompt sent to an endpoint whose prefill is not known to be
// done.
type pendingPrefill struct {
	key dispatchKey
	// rank is the request's priority at the endpoint; 0 goes first.
	rank int
	// arrival is the expected time of arrival at the endpoint.
	arrival time.Time
	// tokens is the number of tokens to compute, remaining the number of those that
	// are expected not to be computed yet.
	tokens, remaining float64
	// finishedAt is the expected end of the prefill, zero until it has passed.
	finishedAt time.Time
}

// precedes reports whether the endpoint computes w before o.
func (w *pendingPrefill) precedes(o *pendingPrefill) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	return w.arrival.Before(o.arrival)
}

// backlog tracks the pending prefills of an endpoint. It models an endpoint that
// computes prompts one at a time, by rank and then in order of arrival, so that the
// first token of a prompt shows that the earlier ones are done.
type backlog struct {
	// pending holds the prefills in the order of their computation.
	pending []pendingPrefill
	// updatedAt is the time at which the remaining tokens were last updated.
	updatedAt time.Time
	// tokenMs is the time per token at the endpoint's usual speed, in milliseconds.
	tokenMs float64
	// busySince is the time of the last observed first token if prefills that had
	// arrived were still pending then, otherwise zero.
	busySince time.Time
	// slowdown is the ratio of the current time per token to the usual one, 0 when
	// unknown.
	slowdown float64
}

// add adds the prefill of a dispatched request.
func (b *backlog) add(w pendingPrefill, now time.Time) {
	b.advance(now)
	w.remaining = w.tokens
	i := len(b.pending)
	for i > 0 && w.precedes(&b.pending[i-1]) {
		i--
	}
	b.pending = slices.Insert(b.pending, i, w)
	if len(b.pending) > maxPending {
		b.pending = b.pending[:maxPending]
	}
}

// served is the prefill that an endpoint completed during a continuously busy
// period.
type served struct {
	tokens  float64
	elapsed time.Duration
}

// started records the first token of a prompt. Prefills that precede it and arrived
// more than reorderTolerance earlier are done as well; those that follow it have
// not started before. It returns the prefill completed since the previous first
// token, or the zero value if the endpoint was not busy the whole time.
func (b *backlog) started(key dispatchKey, now time.Time) served {
	b.advance(now)
	i := b.index(key)
	if i < 0 {
		return served{}
	}
	done := b.pending[i]
	busy := !b.busySince.IsZero()
	out := served{elapsed: now.Sub(b.busySince)}
	b.pending = slices.DeleteFunc(b.pending, func(w pendingPrefill) bool {
		if w.key != key && (!w.precedes(&done) || !w.arrival.Add(reorderTolerance).Before(done.arrival)) {
			return false
		}
		out.tokens += w.tokens
		busy = busy && w.arrival.Before(b.busySince)
		return true
	})
	b.restart(&done, now)
	if !busy {
		return served{}
	}
	return out
}

// restart recomputes the remaining tokens of the prefills that follow the one just
// completed.
func (b *backlog) restart(done *pendingPrefill, now time.Time) {
	b.busySince = time.Time{}
	elapsed := ms(firstTokenLag) / b.currentTokenMs()
	for i := range b.pending {
		w := &b.pending[i]
		if w.arrival.Before(now) {
			b.busySince = now
		}
		if w.rank < done.rank || w.arrival.Before(done.arrival) {
			continue
		}
		computed := min(elapsed, w.tokens, max(0, ms(now.Sub(w.arrival))/b.currentTokenMs()))
		w.remaining, w.finishedAt = w.tokens-computed, time.Time{}
		elapsed -= computed
	}
}

// currentTokenMs returns the time per token at the current slowdown, in
// milliseconds.
func (b *backlog) currentTokenMs() float64 {
	return b.tokenMs * max(1, b.slowdown)
}

// drop removes the prefill of a request that ended without a first token.
func (b *backlog) drop(key dispatchKey) {
	if i := b.index(key); i >= 0 {
		b.busySince = time.Time{} // part of it may have been computed
		b.pending = slices.Delete(b.pending, i, i+1)
	}
}

// dropSender removes the prefills of requests that a process has dispatched.
func (b *backlog) dropSender(sender string) {
	b.busySince = time.Time{}
	b.pending = slices.DeleteFunc(b.pending, func(w pendingPrefill) bool { return w.key.sender == sender })
}

// setSlowdown sets the slowdown that applies from now on.
func (b *backlog) setSlowdown(slowdown float64, now time.Time) {
	if slowdown != b.slowdown {
		b.advance(now)
		b.slowdown = slowdown
	}
}

// wait returns the expected time in milliseconds until the endpoint starts the
// prefill of a new request with the given rank.
func (b *backlog) wait(rank int, now time.Time) float64 {
	var remaining float64
	for i := range b.pending {
		if b.pending[i].rank > rank {
			break
		}
		remaining += b.pending[i].remaining
	}
	return max(0, remaining*b.currentTokenMs()-ms(now.Sub(b.updatedAt)))
}

// index returns the position of a prefill in pending, -1 if it is not there.
func (b *backlog) index(key dispatchKey) int {
	return slices.IndexFunc(b.pending, func(w pendingPrefill) bool { return w.key == key })
}

// advance subtracts the tokens that the endpoint is expected to have computed until
// now, and removes stale prefills.
func (b *backlog) advance(now time.Time) {
	from := b.updatedAt
	b.updatedAt = now
	for i := range b.pending {
		w := &b.pending[i]
		begin := later(from, w.arrival)
		if spent := min(w.remaining*b.currentTokenMs(), ms(now.Sub(begin))); spent > 0 {
			w.remaining -= spent / b.currentTokenMs()
			from = begin.Add(time.Duration(spent * float64(time.Millisecond)))
		}
		if w.remaining < 1 && w.finishedAt.IsZero() {
			w.remaining, w.finishedAt = 0, now
		}
	}
	b.pending = slices.DeleteFunc(b.pending, func(w pendingPrefill) bool {
		return !w.finishedAt.IsZero() && now.Sub(w.finishedAt) > staleAfter
	})
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
