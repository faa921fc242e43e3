package quota

import "time"

// historySize is the number of samples kept. At one in each ReportInterval they reach 3.1 s
// back. A loss that is dated back by weightNoticed (3.2 s) begins at the oldest one.
const historySize = 32

// sample is the state of a bucket at a time.
type sample struct {
	at time.Time
	// level is the level, spent the sum of all charges and own that of this gateway's, in
	// units.
	level, spent, own float64
}

// history is a ring of a bucket's latest samples.
type history struct {
	samples [historySize]sample
	// first is the index of the oldest sample and size the number of samples.
	first, size int
}

// add appends a sample in place of the oldest one if there are too many.
func (h *history) add(s sample) {
	if h.size < historySize {
		h.size++
	} else {
		h.first = (h.first + 1) % historySize
	}
	*h.get(h.size - 1) = s
}

// clear drops all samples.
func (h *history) clear() { h.first, h.size = 0, 0 }

// get returns a sample, 0 for the oldest.
func (h *history) get(i int) *sample { return &h.samples[(h.first+i)%historySize] }

// before returns the index of the latest sample that isn't later than a time. If there is none,
// it returns that of the oldest sample.
func (h *history) before(t time.Time) int {
	for i := h.size - 1; i > 0; i-- {
		if !h.get(i).at.After(t) {
			return i
		}
	}
	return 0
}

// divide returns the state that a bucket would have now if it had kept only a part of its level
// and of its refill since a time. Spending since then is charged whole, and so is that of this
// gateway shortly before, which the gateways that left haven't seen. Later samples change in
// the same way, so that several losses of contact in turn have the effect of a single one.
func (h *history) divide(part float64, since time.Time, now sample) sample {
	if h.size == 0 {
		return now.divided(now, part, 0)
	}
	from := h.before(since)
	base, unseen := *h.get(from), h.unseen(since)
	for i := from; i < h.size; i++ {
		s := h.get(i)
		*s = s.divided(base, part, unseen)
	}
	return now.divided(base, part, unseen)
}

// levelDivided returns the level of a bucket that is divided so, without changing samples.
func (h *history) levelDivided(part float64, since time.Time, now sample) float64 {
	if h.size == 0 {
		return now.divided(now, part, 0).level
	}
	return now.divided(*h.get(h.before(since)), part, h.unseen(since)).level
}

// unseen returns this gateway's spending shortly before a time.
func (h *history) unseen(since time.Time) float64 {
	earlier := h.get(h.before(since.Add(-reportNoticed)))
	return max(h.get(h.before(since)).own-earlier.own, 0)
}

// divided returns a sample with only a part of the level at an earlier one and of the refill
// between the two. A debt stays. The rest of the unseen spending before is charged.
func (s sample) divided(base sample, part, unseen float64) sample {
	spent := s.spent - base.spent
	refill := s.level - base.level + spent
	s.level = min(base.level, base.level*part) + refill*part - spent - unseen*(1-part)
	return s
}
