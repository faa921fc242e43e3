package quota

import (
	"math"
	"time"
)

const (
	// baselineTime is the time after the start of contact in which the first counter of an
	// account is taken as spent before. It is longer than two gaps between full reports.
	baselineTime = 1500 * time.Millisecond
	// gapLimit is the length of a gap in the reports from which on spending in it isn't
	// charged. It is the window in which limits are judged.
	gapLimit = 8 * time.Second
)

// peer is another registered gateway.
type peer struct {
	// boot identifies its process, and previous the process before.
	boot, previous uint64
	// heard is the time of its last report and confirmed that of the last one that said
	// whether it hears this gateway, which is in hearsUs.
	heard, confirmed time.Time
	hearsUs          bool
	contact          bool
	// index is its place in the sorted names.
	index int
	// weight is the part of its share and of its spending that counts here, and unreachable has
	// the gateways that it hears without contact to this one.
	weight      float64
	unreachable unreachable
	// since is the time at which contact started.
	since time.Time
	// fresh is set if the process heard no other gateway when it was first heard, so that all
	// of its counters were 0 shortly before.
	fresh bool
	// gap is the time without a report before those that are heard now.
	gap time.Duration
	// units are its counters by slot, NaN if unknown, and beforeGap the last ones known before
	// the gap.
	units, beforeGap []float64
}

// inContact returns whether each of the two gateways hears the other.
func (p *peer) inContact(now time.Time) bool {
	return p.hears(now) && p.hearsUs && now.Sub(p.confirmed) < fleetGrace
}

// hears returns whether this gateway hears the peer.
func (p *peer) hears(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < contactTimeout
}

// forget drops the counters of a slot.
func (p *peer) forget(slot int) {
	for _, counters := range [][]float64{p.units, p.beforeGap} {
		if slot < len(counters) {
			counters[slot] = math.NaN()
		}
	}
}

// counterAt returns the counter of a slot, NaN if unknown.
func counterAt(counters []float64, slot int) float64 {
	if slot >= len(counters) {
		return math.NaN()
	}
	return counters[slot]
}

// unseenPart returns the part of the spending in a gap that was made before the gap was
// noticed, and so from the same share as this gateway's. After that it is taken to have spent
// half as fast, as its own share is smaller. Spending that has left the window of
// the limits doesn't matter any more.
func (p *peer) unseenPart() float64 {
	if p.gap >= gapLimit {
		return 0
	}
	unnoticed := min(p.gap, contactTimeout)
	return float64(unnoticed) / float64(unnoticed+(p.gap-unnoticed)/2)
}

// record keeps the counter of a slot.
func (p *peer) record(slot int, units float64) {
	for slot >= len(p.units) {
		p.units = append(p.units, math.NaN())
	}
	p.units[slot] = units
}

// isStale returns whether a report, by its boot id, is a late one of the previous process.
func (p *peer) isStale(boot uint64) bool {
	return !p.heard.IsZero() && boot == p.previous && boot != p.boot
}

// resume begins the counters anew if the gateway has restarted or hasn't been heard lately.
func (p *peer) resume(r Report, now time.Time) {
	switch {
	case p.heard.IsZero() || p.boot != r.Boot:
		p.previous, p.boot = p.boot, r.Boot
		p.fresh = countBits(r.Heard) <= 1
		p.hearsUs = false
		p.units, p.beforeGap = p.units[:0], p.beforeGap[:0]
		p.since = now
	case !p.hears(now):
		p.gap = now.Sub(p.heard)
		p.keepBeforeGap()
	}
}

// keepBeforeGap takes the known counters as those from before a gap. Counters that weren't
// reported since the gap before stay.
func (p *peer) keepBeforeGap() {
	for slot, units := range p.units {
		if slot >= len(p.beforeGap) {
			p.beforeGap = append(p.beforeGap, units)
		} else if !math.IsNaN(units) {
			p.beforeGap[slot] = units
		}
	}
	p.units = p.units[:0]
}
