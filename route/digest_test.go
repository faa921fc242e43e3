package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against a region that computes a long prefix again although an engine of
// another region has just computed it, when the regions exchange only digests.
func TestDigestTellsWherePrefixIsCached(t *testing.T) {
	is := is.New(t)
	sender, receiver := newFixture(6), newFixture(6)
	receiver.snapshot(request(0))
	is.Equal(len(sender.tracker.TakeHoldings("a", route.Part{Index: 0, Of: 1})), 0)
	holder, a := sender.send(promptOf(1, 1))
	a.FirstToken(sender.now)
	a.End(1, 1, sender.now)
	digest := sender.tracker.TakeHoldings("a", route.Part{Index: 0, Of: 1})
	is.Equal(len(digest), 2) // the system prompt and the document, not the question
	again, a := sender.send(promptOf(1, 2))
	is.Equal(again, holder)
	a.FirstToken(sender.now)
	a.End(1, 1, sender.now)
	is.Equal(len(sender.tracker.TakeHoldings("a", route.Part{Index: 0, Of: 1})), 0) // told before
	sender.now = sender.now.Add(4 * time.Second)
	sender.send(promptOf(1, 3))
	is.Equal(len(sender.tracker.TakeHoldings("a", route.Part{Index: 0, Of: 1})), 2) // still in use

	receiver.tracker.ApplyHoldings(append(digest, route.Holding{Level: 5, Endpoint: "unknown"}), receiver.now)
	r := promptOf(1, 9)
	eps := receiver.snapshot(r)
	home := func(l prefix.Level) string { return prefixcache.Home(l, eps) }
	for i := range eps {
		if eps[i].ID != holder {
			src, ok := receiver.tracker.Source(r, receiver.members, &eps[i], home, receiver.now)
			is.True(ok)
			is.Equal(src.ID, holder)
			is.Equal(src.Tokens, int64(6300))
		}
	}
}

// Guards against parts of a digest that overlap or leave a level out.
func TestDigestParts(t *testing.T) {
	is := is.New(t)
	counts := map[uint64]int{}
	for i := range 3 {
		f := newFixture(4)
		f.tracker.TakeHoldings("a", route.Part{Index: i, Of: 3})
		for document := range 30 {
			f.send(promptOf(document, document))
		}
		for _, h := range f.tracker.TakeHoldings("a", route.Part{Index: i, Of: 3}) {
			if h.Level >= 1000 {
				counts[h.Level]++
			}
		}
	}
	is.Equal(len(counts), 30)
	for _, n := range counts {
		is.Equal(n, 1)
	}
}

// Guards against requests that go to a busy endpoint of another region, which looks
// idle without the events of its requests, and against a summary that is used after it
// is out of date.
func TestSummaryShowsLoadOfOtherRegion(t *testing.T) {
	is := is.New(t)
	busy := newFixture(2)
	for i := range 8 {
		busy.send(promptOf(100+i, 100+i))
	}
	ids := []string{busy.members[0].ID, busy.members[1].ID}
	summaries := busy.tracker.Summaries(ids, route.Part{Index: 0, Of: 1}, busy.now)
	is.Equal(len(summaries), 2)

	other := newFixture(2)
	other.snapshot(request(0))
	other.tracker.ApplySummaries(summaries, other.now)
	for i, e := range other.snapshot(request(0)) {
		is.True(e.WaitMs > 100)
		is.Equal(time.Duration(e.WaitMs*float64(time.Millisecond)).Round(time.Millisecond), summaries[i].Wait.Round(time.Millisecond))
		is.True(e.KVUsedTokens > 9000)
	}
	other.now = other.now.Add(100 * time.Millisecond)
	is.True(other.snapshot(request(0))[0].WaitMs <= float64(summaries[0].Wait.Milliseconds()-99))
	other.now = other.now.Add(3 * time.Second)
	is.Equal(other.snapshot(request(0))[0].KVUsedTokens, 0.0)
}

// Guards against digests that grow with the engines of a fleet, most of which are idle or do
// what was expected: relays of 300 gateways sent 1.6 MB a second, most of it unchanged.
func TestSummariesTellWhatChanged(t *testing.T) {
	is := is.New(t)
	const endpoints = 1000
	f := newFixture(endpoints)
	f.snapshot(request(0))
	var ids []string
	for _, m := range f.members {
		ids = append(ids, m.ID)
	}
	told := func(after time.Duration) int {
		f.now = f.now.Add(after)
		return len(f.tracker.Summaries(ids, route.Part{Index: 0, Of: 1}, f.now))
	}
	is.Equal(told(0), 0) // all are idle
	_, a := f.send(promptOf(1, 1))
	is.Equal(told(0), 1)
	is.Equal(told(5*time.Millisecond), 0)    // as expected
	is.Equal(told(1100*time.Millisecond), 1) // before receivers forget it
	a.FirstToken(f.now)
	a.End(1, 1, f.now)
	is.Equal(told(200*time.Millisecond), 1) // idle again
	is.Equal(told(1500*time.Millisecond), 0)
}
