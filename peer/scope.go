package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/citrontiller/citrontiller/route"
)

const (
	// maxMeshGateways is the number of gateways up to which each one follows all
	// others. In a larger fleet, gateways follow only those of their region, and a few
	// relays pass on what other regions must know: the events of all requests would
	// grow with the square of the fleet.
	maxMeshGateways = 48
	// relaysPerRegion is the number of gateways of a region that follow other regions'.
	// Each is paired with one relay of each other region and sends a part of the digests:
	// if one fails, plans still arrive, and two thirds of the digests.
	relaysPerRegion = 3
	// scopeDelay is the time for which records are collected before the connections are
	// changed: records arrive in quick succession when a process or the fleet starts.
	scopeDelay = 150 * time.Millisecond
)

// streamKind is what a gateway follows of a peer.
type streamKind int

// Kinds of streams.
const (
	// streamNone means that the peer isn't followed. It can still be asked for changes
	// of the store.
	streamNone streamKind = iota
	// streamControl has plans, revisions and summaries.
	streamControl
	// streamEvents has events as well.
	streamEvents
)

// RegionsApart reports whether the fleet is too large for gateways to follow those of
// other regions.
func (s *Set) RegionsApart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regionsApart()
}

// regionsApart is RegionsApart; the caller holds mu.
func (s *Set) regionsApart() bool { return len(s.peers)+1 > maxMeshGateways }

// IsRelay reports whether this process passes on what other regions must know.
func (s *Set) IsRelay() bool {
	_, ok := s.RelayPart()
	return ok
}

// RelayPart returns the part of the region's digests that this process sends, or
// false if it is not a relay.
func (s *Set) RelayPart() (route.Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.regionsApart() {
		return route.Part{}, false
	}
	relays := s.firstNames(s.self.Region, relaysPerRegion)
	i := slices.Index(relays, s.self.Name)
	return route.Part{Index: i, Of: len(relays)}, i >= 0
}

// relayIndex returns the index of a gateway among the relays of its region, the first
// ones by name, or -1 if it is not one of them. The caller holds mu.
func (s *Set) relayIndex(r Record) int {
	return slices.Index(s.firstNames(r.Region, relaysPerRegion), r.Name)
}

// Gateways returns the sorted names of the registered gateways, this one included. The caller
// must not change the slice. It is the same one until the fleet changes.
func (s *Set) Gateways() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateways == nil {
		s.gateways = append(slices.Collect(maps.Keys(s.peers)), s.self.Name)
		slices.Sort(s.gateways)
	}
	return s.gateways
}

// firstNames returns the names of the first n gateways of a region by name, so that all
// processes choose the same. The caller holds mu.
func (s *Set) firstNames(region string, n int) []string {
	var names []string
	if region == s.self.Region {
		names = append(names, s.self.Name)
	}
	for name, l := range s.peers {
		if l.record.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(n, len(names))]
}

// wanted returns what this process follows of a peer. The caller holds mu.
func (s *Set) wanted(r Record) streamKind {
	if r.Region == s.self.Region || !s.regionsApart() {
		return streamEvents
	}
	if own := s.relayIndex(s.self); own >= 0 && own == s.relayIndex(r) {
		return streamControl
	}
	return streamNone
}

// scheduleScope adjusts the streams after scopeDelay. The caller holds mu.
func (s *Set) scheduleScope() {
	if s.scopePending {
		return
	}
	s.scopePending = true
	time.AfterFunc(scopeDelay, s.adjustScope)
}

// adjustScope opens and closes streams so that each peer is followed as wanted, and tells
// the tracker of the fleet.
func (s *Set) adjustScope() {
	s.mu.Lock()
	s.scopePending = false
	for _, l := range s.peers {
		if kind := s.wanted(l.record); kind != l.kind {
			s.setStream(l, kind)
		}
	}
	f := s.fleet()
	s.mu.Unlock()
	s.tracker.SetFleet(f)
}

// fleet returns the known gateways. The caller holds mu.
func (s *Set) fleet() route.Fleet {
	f := route.Fleet{Self: s.self.Name, RegionsApart: s.regionsApart(), Gateways: []route.GatewayInfo{{Name: s.self.Name, Region: s.self.Region, Heard: true}}}
	for name, l := range s.peers {
		f.Gateways = append(f.Gateways, route.GatewayInfo{Name: name, Region: l.record.Region, Heard: l.heard})
	}
	return f
}
