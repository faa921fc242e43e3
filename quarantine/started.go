package quarantine

import "time"

// startSlots is the number of parts of which a startTable remembers the last start, a power
// of two.
const startSlots = 1 << 15

// startTable remembers when responses to requests with a part last started. Parts whose
// keys share a slot displace each other. The zero value is empty; it takes memory with the
// first part.
type startTable struct{ slots []startSlot }

type startSlot struct {
	key Key
	// at is in Unix nanoseconds.
	at int64
}

// add records a start.
func (s *startTable) add(k Key, now time.Time) {
	if s.slots == nil {
		s.slots = make([]startSlot, startSlots)
	}
	s.slots[k%startSlots] = startSlot{k, now.UnixNano()}
}

// contains reports whether a start of the part is remembered.
func (s *startTable) contains(k Key) bool {
	return s.slots != nil && s.slots[k%startSlots].key == k
}

// since reports whether a start of the part at or after a time is remembered.
func (s *startTable) since(k Key, from time.Time) bool {
	return s.contains(k) && s.slots[k%startSlots].at >= from.UnixNano()
}
