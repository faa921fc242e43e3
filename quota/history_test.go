package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a late notice of a cut that changes what a gateway may spend in all: its part of
// the level and refill since the cut, less what it has spent.
func TestLevelDividedSinceACut(t *testing.T) {
	cut := time.Unix(1_000_000_000, 0)
	after := func(d time.Duration) time.Time { return cut.Add(d) }
	for name, c := range map[string]struct {
		level, spent float64
		parts        []float64
		want         float64
	}{
		"idle":             {100, 0, []float64{0.4}, 40},
		"all spent":        {100, 100, []float64{0.4}, -60},
		"debt":             {-50, 0, []float64{0.4}, -50},
		"debt and charges": {-50, 30, []float64{0.4}, -80},
		"in two steps":     {100, 100, []float64{0.8, 0.5}, -60},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h history
			h.add(sample{after(-time.Second), 3, 0, 0})
			h.add(sample{cut, c.level, 0, 0})
			h.add(sample{after(ReportInterval), c.level - c.spent/2, c.spent / 2, 0})
			now := sample{after(time.Second), c.level - c.spent, c.spent, 0}
			for _, part := range c.parts {
				now = h.divide(part, after(ReportInterval/2), now)
			}
			is.Equal(now.level, c.want)
		})
	}
}

// Guards against a refill since the cut that both sides keep whole.
func TestRefillDividedSinceACut(t *testing.T) {
	is := is.New(t)
	cut := time.Unix(1_000_000_000, 0)
	var h history
	h.add(sample{cut, 0, 0, 0})
	now := h.divide(0.5, cut, sample{cut.Add(time.Second), 60, 40, 0})
	is.Equal(now.level, 10.0) // half of a refill of 100, less 40
}

// Guards against spending shortly before a cut that the other side hasn't seen and so doesn't pay.
func TestUnseenSpendingBeforeACut(t *testing.T) {
	is := is.New(t)
	cut := time.Unix(1_000_000_000, 0)
	var h history
	h.add(sample{cut.Add(-time.Second), 100, 0, 0})
	h.add(sample{cut, 80, 20, 20})
	now := h.divide(0.5, cut, sample{cut.Add(time.Second), 80, 20, 20})
	is.Equal(now.level, 30.0) // half of 80, less half of 20
}

// Guards against samples that are lost or out of order once the ring is full.
func TestHistoryKeepsLatestSamples(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000_000, 0)
	var h history
	for i := range 3*historySize + 5 {
		h.add(sample{at: start.Add(time.Duration(i) * time.Second)})
	}
	last := 3*historySize + 4
	is.Equal(h.get(h.before(start.Add(time.Hour))).at, start.Add(time.Duration(last)*time.Second))
	is.Equal(h.get(h.before(start.Add(time.Duration(last-10)*time.Second))).at, start.Add(time.Duration(last-10)*time.Second))
	is.Equal(h.get(h.before(start)).at, start.Add(time.Duration(last-historySize+1)*time.Second))
}
