package quota

import (
	"math"
	"time"
)

// applySpending records a counter and charges what has to be paid from the same share.
func (l *Ledger) applySpending(p *peer, s Spending, now time.Time) {
	b := l.accounts.buckets[s.Account]
	if b == nil || !validUnits(s.Units) {
		return
	}
	known := counterAt(p.units, b.slot)
	if s.Units <= known {
		return
	}
	p.record(b.slot, s.Units)
	b.settle(l.share, now)
	b.spend(p.weight*l.costOf(p, b, known, s.Units, now), l.share)
}

// costOf returns the cost to charge for a counter. A gateway without contact pays from its own
// share, except for what it spent before the end of contact was noticed.
func (l *Ledger) costOf(p *peer, b *bucket, known, units float64, now time.Time) float64 {
	beforeGap := counterAt(p.beforeGap, b.slot)
	switch {
	case !math.IsNaN(known) && p.contact:
		return units - known
	case !math.IsNaN(known):
		return 0
	case !math.IsNaN(beforeGap):
		return max(units-beforeGap, 0) * p.unseenPart()
	case !p.contact || l.isBaseline(p, b, now):
		return 0
	}
	// New spending, or the report of all counters was lost.
	return min(units, b.maxCost(l.slack))
}

// isBaseline returns whether the first counter of an account tells what was spent before
// contact or before the limit was known here.
func (l *Ledger) isBaseline(p *peer, b *bucket, now time.Time) bool {
	if b.since.After(p.since) {
		return now.Sub(b.since) < baselineTime
	}
	return !p.fresh && now.Sub(p.since) < baselineTime
}
