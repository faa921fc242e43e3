package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactTimeout is the time without a report after which a gateway isn't heard.
	contactTimeout = 700 * time.Millisecond
	// reportNoticed is the time within which a report that is due reaches the others: its turn
	// and the link's delay.
	reportNoticed = ReportInterval + 150*time.Millisecond
	// lossNoticed is the time within which a gateway that others don't hear learns of it.
	lossNoticed = contactTimeout + 2*reportNoticed
	// weightNoticed is the time within which a link that fails between two others takes effect
	// on weights: it has to last for a whole period of unreachableTime.
	weightNoticed = lossNoticed + 2*unreachableTime
	// silenceTimeout is the time without a report after which the part of a gateway isn't
	// spent until it is heard again. Reports that are delayed by up to 150 ms keep within it.
	silenceTimeout = 300 * time.Millisecond
	// fleetGrace is the time for which a gateway that knows other registered names is
	// still taken to hear this one. One registration reaches all gateways within it.
	fleetGrace = 2 * time.Second
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

// contacts is the set of registered gateways and which of them this one is in contact with.
type contacts struct {
	self  string
	known bool
	// names are sorted. views has the current fleet last.
	names []string
	views []view
	peers map[string]*peer
	// reachable has a bit for each name, set for this gateway and those in contact.
	reachable []byte
	// next is the earliest time at which a gateway can fall silent or a contact can end.
	next time.Time
	// silent has the gateways in contact that aren't heard.
	silent silent
}

// setFleet replaces the registered gateways.
func (c *contacts) setFleet(gateways []string) {
	names := append(slices.Clone(gateways), c.self)
	slices.Sort(names)
	names = slices.Compact(names)
	if c.known && slices.Equal(names, c.names) {
		return
	}
	c.names = names
	c.known = true
	c.addView()
	peers := make(map[string]*peer, len(c.names))
	for i, name := range c.names {
		if name == c.self {
			continue
		}
		p := c.peerOrNew(name)
		p.index = i
		p.unreachable = unreachable{}
		p.weight = 1
		peers[name] = p
	}
	c.peers = peers
	c.next = time.Time{}
	c.updateReachable()
}

// silent describes the gateways in contact that haven't been heard for silenceTimeout.
type silent struct {
	// weight is the sum of their weights, and since the time at which the last of them was
	// heard.
	weight float64
	since  time.Time
}

// add counts a gateway.
func (s *silent) add(p *peer) {
	s.weight += p.weight
	s.since = latest(s.since, p.heard)
}

// heldPart returns the part of the share that may be spent, from 0 to 1, and since when.
func (c *contacts) heldPart(share float64) (part float64, since time.Time) {
	if c.silent.weight == 0 || share <= 0 {
		return 1, time.Time{}
	}
	return 1 - c.silent.weight/(share*float64(len(c.names))), c.silent.since
}

// updateReachable sets the bits of the gateways in contact.
func (c *contacts) updateReachable() {
	c.reachable = newSet(len(c.names))
	setBit(c.reachable, c.current().self)
	for _, p := range c.peers {
		if p.contact {
			setBit(c.reachable, p.index)
		}
	}
}

func (c *contacts) peerOrNew(name string) *peer {
	if p := c.peers[name]; p != nil {
		return p
	}
	return &peer{}
}

// addView makes the present names the current view.
func (c *contacts) addView() {
	self, _ := slices.BinarySearch(c.names, c.self)
	current := view{hash: fleetHash(c.names), self: self}
	c.views = slices.DeleteFunc(c.views, func(v view) bool { return v.hash == current.hash })
	c.views = append(c.views, current)
	if len(c.views) > keptViews {
		c.views = slices.Delete(c.views, 0, 1)
	}
}

// current returns the view of the current fleet.
func (c *contacts) current() view { return c.views[len(c.views)-1] }

// fleetHash returns the hash of sorted names.
func fleetHash(names []string) uint64 { return xxhash.Sum64String(strings.Join(names, "\x00")) }

// share returns the part of the limit that this gateway and those in contact may use.
func (c *contacts) share() float64 {
	if !c.known {
		return 0
	}
	count := 1.0
	for _, p := range c.peers {
		if p.contact {
			count += p.weight
		}
	}
	return count / float64(len(c.names))
}

// slackShare returns the part of the slack for a share.
func (c *contacts) slackShare(share float64) float64 {
	if !c.known {
		return 1.0 / unknownFleet
	}
	return share
}

// expire ends the contacts that have timed out and notes which gateways are silent. It returns
// whether a contact has ended, and when the last of those gateways was heard.
func (c *contacts) expire(now time.Time) (heard time.Time, ended bool) {
	if now.Before(c.next) {
		return time.Time{}, false
	}
	c.next = now.Add(silenceTimeout)
	c.silent = silent{}
	for _, p := range c.peers {
		if !p.contact {
			continue
		}
		if !p.inContact(now) {
			p.contact = false
			heard, ended = latest(heard, p.heard), true
			continue
		}
		silence := p.heard.Add(silenceTimeout)
		if !now.Before(silence) {
			c.silent.add(p)
			silence = p.heard.Add(contactTimeout)
		}
		c.next = earliest(c.next, silence, p.confirmed.Add(fleetGrace))
	}
	if ended {
		c.updateReachable()
	}
	return heard, ended
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

// contactChange is what a report changes in the contacts.
type contactChange struct {
	// started is set if contact with the sender has started, and share if the share may
	// have changed.
	started, share bool
	// since is the time at which the cause of a smaller share can have begun.
	since time.Time
}

// hear records the contact figures of a report. It returns the sender, nil if the report has
// to be ignored, and what has changed.
func (c *contacts) hear(from string, r Report, now time.Time) (*peer, contactChange) {
	p := c.peers[from]
	if p == nil || p.isStale(r.Boot) {
		return nil, contactChange{}
	}
	p.resume(r, now)
	p.heard = now
	c.confirm(p, r, now)
	was, weight := p.contact, p.weight
	p.contact = p.inContact(now)
	started := p.contact && !was
	if started {
		p.since = now
		c.next = earliest(c.next, now.Add(silenceTimeout))
	}
	if c.silent.weight > 0 {
		c.next = now
	}
	if p.contact != was {
		c.updateReachable()
	}
	if r.Fleet == c.current().hash {
		p.weight = p.unreachable.weight(r.Heard, c.reachable, now)
	}
	since := now.Add(-lossNoticed)
	if p.contact && p.weight < weight {
		since = now.Add(-weightNoticed)
	}
	return p, contactChange{started: started, share: p.contact != was || p.weight != weight, since: since}
}

// confirm reads whether the sender of a report hears this gateway. A report by a fleet that
// isn't known here says nothing about that.
func (c *contacts) confirm(p *peer, r Report, now time.Time) {
	for _, v := range c.views {
		if v.hash == r.Fleet {
			p.hearsUs = hasBit(r.Heard, v.self)
			p.confirmed = now
			return
		}
	}
}

// heard returns a bit for each registered gateway, set if it is heard.
func (c *contacts) heard(now time.Time) []byte {
	set := newSet(len(c.names))
	for i, name := range c.names {
		if name == c.self || c.peers[name].hears(now) {
			setBit(set, i)
		}
	}
	return set
}
