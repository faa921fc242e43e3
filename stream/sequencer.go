package stream

// Sequencer delivers received parts in order: it drops duplicates and reports a gap
// instead of delivering parts that follow it.
type Sequencer struct {
	next uint64
}

// NewSequencer returns a sequencer that expects part 1.
func NewSequencer() *Sequencer { return &Sequencer{next: 1} }

// Next returns the sequence number expected next.
func (s *Sequencer) Next() uint64 { return s.next }

// Accept receives parts numbered from seq on and returns those that are not
// duplicates. If parts before seq are missing, ok is false and nothing is accepted.
func (s *Sequencer) Accept(seq uint64, parts []Part) (fresh []Part, ok bool) {
	if seq > s.next {
		return nil, false
	}
	skip := s.next - seq
	if skip >= uint64(len(parts)) {
		return nil, true
	}
	fresh = parts[skip:]
	s.next += uint64(len(fresh))
	return fresh, true
}

// Complete reports whether every part up to last has been accepted.
func (s *Sequencer) Complete(last uint64) bool { return s.next == last+1 }
