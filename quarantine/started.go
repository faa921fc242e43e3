package quarantine

import "time"

const (
	// startSets and startWays are the dimensions of a startTable. startSets is a power of two.
	startSets = 1 << 13
	startWays = 4
)

// startTable remembers when responses to requests with a part last started. It is a
// set-associative cache: of the parts whose keys share a set, the last startWays that
// started are remembered. The zero value is empty; it takes memory with the first part.
type startTable struct {
	sets [][startWays]start
	// origin is just before the first start. Times are kept as differences from it, which
	// depend on the monotonic clock only.
	origin time.Time
}

// start is the last start of a part.
type start struct {
	key Key
	// at is the time since the table's origin, 0 for none.
	at time.Duration
}

// add records a start.
func (s *startTable) add(k Key, now time.Time) {
	if s.sets == nil {
		s.sets = make([][startWays]start, startSets)
		s.origin = now.Add(-1)
	}
	set := &s.sets[k%startSets]
	slot := 0
	for i := range set {
		if set[i].key == k {
			slot = i
			break
		}
		if set[i].at < set[slot].at {
			slot = i
		}
	}
	set[slot] = start{k, max(1, now.Sub(s.origin))}
}

// last returns the last start of a part, false if none is remembered.
func (s *startTable) last(k Key) (start, bool) {
	if s.sets == nil {
		return start{}, false
	}
	for _, e := range s.sets[k%startSets] {
		if e.key == k && e.at != 0 {
			return e, true
		}
	}
	return start{}, false
}

// contains reports whether a start of the part is remembered.
func (s *startTable) contains(k Key) bool {
	_, ok := s.last(k)
	return ok
}

// since reports whether a start of the part at or after a time is remembered.
func (s *startTable) since(k Key, from time.Time) bool {
	e, ok := s.last(k)
	return ok && e.at >= from.Sub(s.origin)
}
