package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactTimeout is the time without a report after which a gateway isn't heard.
	contactTimeout = 700 * time.Millisecond
	// fleetGrace is the time for which a gateway that knows other registered names is
	// still taken to hear this one. One registration reaches all gateways within it.
	fleetGrace = 2 * time.Second
	// baselineTime is the time after the start of contact in which the first counter of an
	// account is taken as spent before. It is longer than two gaps between full reports.
	baselineTime = 1500 * time.Millisecond
	// gapLimit is the time without contact after which spending in it isn't charged. It is
	// the window in which limits are judged.
	gapLimit = 8 * time.Second
	// keptViews is the number of earlier fleets by which reports can be read.
	keptViews = 8
	// unknownFleet is the number of gateways assumed for the slack until the registered
	// ones are known. It is the largest number of daemons that the design is made for.
	unknownFleet = 410
)

// view is a set of registered gateways.
type view struct {
	hash uint64
	// self is the index of this gateway in the sorted names.
	self int
}

// peer is another registered gateway.
type peer struct {
	boot, previous uint64
	// heard is the time of its last report and confirmed that of the last one that said
	// whether it hears this gateway, which is in hearsUs.
	heard, confirmed time.Time
	hearsUs          bool
	contact          bool
	// since is the time at which contact started, and gap the time without contact before.
	since time.Time
	gap   time.Duration
	// last is the time of the last report in contact.
	last time.Time
	// units are its counters by slot, NaN if unknown, and before those of the contact
	// before this one.
	units, before []float64
}

// inContact returns whether each of the two gateways hears the other.
func (p *peer) inContact(now time.Time) bool {
	return p.hears(now) && p.hearsUs && now.Sub(p.confirmed) < fleetGrace
}

// hears returns whether this gateway hears the peer.
func (p *peer) hears(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < contactTimeout
}

// start begins contact.
func (p *peer) start(now time.Time) {
	p.contact = true
	p.since = now
	p.gap = now.Sub(p.last)
	p.units, p.before = p.before[:0], p.units
}

// forget drops the counters of a slot.
func (p *peer) forget(slot int) {
	for _, counters := range [][]float64{p.units, p.before} {
		if slot < len(counters) {
			counters[slot] = math.NaN()
		}
	}
}

// at returns the counter of a slot, NaN if unknown.
func at(counters []float64, slot int) float64 {
	if slot >= len(counters) {
		return math.NaN()
	}
	return counters[slot]
}

// unseenPart returns the part of the spending between two contacts that was made before the
// end of the first was noticed, and so from the same share as this gateway's. Spending that
// has left the window of the limits doesn't matter any more.
func (p *peer) unseenPart() float64 {
	if p.gap >= gapLimit {
		return 0
	}
	return min(contactTimeout.Seconds()/p.gap.Seconds(), 1)
}

// record keeps the counter of a slot.
func (p *peer) record(slot int, units float64) {
	for slot >= len(p.units) {
		p.units = append(p.units, math.NaN())
	}
	p.units[slot] = units
}

// contacts is the set of registered gateways and which of them this one is in contact with.
type contacts struct {
	self  string
	known bool
	// names are sorted. views has the current fleet last.
	names []string
	views []view
	peers map[string]*peer
	// next is the earliest time at which a contact can end.
	next time.Time
}

// setFleet replaces the registered gateways.
func (c *contacts) setFleet(gateways []string) {
	names := append(slices.Clone(gateways), c.self)
	slices.Sort(names)
	c.names = slices.Compact(names)
	c.known = true
	c.remember()
	peers := make(map[string]*peer, len(c.names))
	for _, name := range c.names {
		if name != c.self {
			peers[name] = c.peerOrNew(name)
		}
	}
	c.peers = peers
}

func (c *contacts) peerOrNew(name string) *peer {
	if p := c.peers[name]; p != nil {
		return p
	}
	return &peer{}
}

// remember makes the present names the current view.
func (c *contacts) remember() {
	self, _ := slices.BinarySearch(c.names, c.self)
	current := view{hash: fleetHash(c.names), self: self}
	c.views = slices.DeleteFunc(c.views, func(v view) bool { return v.hash == current.hash })
	c.views = append(c.views, current)
	if len(c.views) > keptViews {
		c.views = slices.Delete(c.views, 0, 1)
	}
}

// hash returns the hash of the current fleet.
func (c *contacts) hash() uint64 { return c.views[len(c.views)-1].hash }

// fleetHash returns the hash of sorted names.
func fleetHash(names []string) uint64 { return xxhash.Sum64String(strings.Join(names, "\x00")) }

// share returns the part of the limit that this gateway and those in contact may use.
func (c *contacts) share() float64 {
	if !c.known {
		return 0
	}
	count := 1
	for _, p := range c.peers {
		if p.contact {
			count++
		}
	}
	return float64(count) / float64(len(c.names))
}

// slackShare returns the part of the slack for a share.
func (c *contacts) slackShare(share float64) float64 {
	if !c.known {
		return 1.0 / unknownFleet
	}
	return share
}

// expire ends the contacts that have timed out and returns whether any has.
func (c *contacts) expire(now time.Time) bool {
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(contactTimeout)
	ended := false
	for _, p := range c.peers {
		if !p.contact {
			continue
		}
		if !p.inContact(now) {
			p.contact = false
			ended = true
			continue
		}
		c.next = earliest(c.next, p.heard.Add(contactTimeout), p.confirmed.Add(fleetGrace))
	}
	return ended
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

// hear records the contact figures of a report. It returns the sender, nil if the report has
// to be ignored, and whether contact with it has started or ended.
func (c *contacts) hear(from string, r Report, now time.Time) (p *peer, changed, started bool) {
	p = c.peers[from]
	if p == nil || p.isStale(r.Boot) {
		return nil, false, false
	}
	restarted := p.renew(r.Boot)
	p.heard = now
	c.confirm(p, r, now)
	was := p.contact
	p.contact = p.inContact(now)
	if p.contact {
		defer func() { p.last = now }()
	}
	if p.contact && (!was || restarted) {
		p.start(now)
		c.next = earliest(c.next, now.Add(contactTimeout))
		started = true
	}
	return p, was != p.contact, started
}

// isStale returns whether a report is from an earlier process of the gateway.
func (p *peer) isStale(boot uint64) bool {
	return !p.heard.IsZero() && boot == p.previous && boot != p.boot
}

// renew starts anew if the gateway has restarted.
func (p *peer) renew(boot uint64) bool {
	if !p.heard.IsZero() && p.boot == boot {
		return false
	}
	p.previous, p.boot = p.boot, boot
	p.hearsUs = false
	p.units, p.before = p.units[:0], p.before[:0]
	return true
}

// confirm reads whether the sender of a report hears this gateway. A report by a fleet that
// isn't known here says nothing about that.
func (c *contacts) confirm(p *peer, r Report, now time.Time) {
	for _, v := range c.views {
		if v.hash == r.Fleet {
			p.hearsUs = bit(r.Heard, v.self)
			p.confirmed = now
			return
		}
	}
}

// heard returns a bit for each registered gateway, set if it is heard.
func (c *contacts) heard(now time.Time) []byte {
	bits := make([]byte, (len(c.names)+7)/8)
	for i, name := range c.names {
		if name == c.self || c.peers[name].hears(now) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

func bit(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }
