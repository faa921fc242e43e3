package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hot is the limit of the account under load.
var hot = Limit{PerSecond: 166_000, Burst: 166_000, Unit: Tokens}

// surge is the demand of an account in an overload, as a multiple of its limit: 7.5 times a
// usual demand of 0.6 of the limit.
const surge = 4.5

// hotFleet returns 20 gateways that have been in contact for long enough to fill the bucket.
func hotFleet() *testFleet {
	f := newTestFleet(20, map[string]Limit{"a": hot})
	f.run(2*time.Second, nil)
	return f
}

// admittedPart returns the admitted part of what the limit allows from a time on.
func (f *testFleet) admittedPart(since time.Time) float64 {
	return f.total(since) / (hot.PerSecond * f.now.Sub(since).Seconds())
}

// Guards against refusals below the limit where demand is uneven, and against more than the
// limit where all gateways see the same level.
func TestHotAccount(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff int
		least  float64
	}{
		"calm":                {0, 0.95},
		"two fifths cut off":  {8, 0.8},
		"one gateway cut off": {1, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := hotFleet()
			few := f.demand("a", 9*hot.PerSecond*float64(c.cutOff)/20, 6000, f.uneven(f.indexes(0, max(c.cutOff, 1))))
			most := f.demand("a", 9*hot.PerSecond*float64(20-c.cutOff)/20, 6000, f.uneven(f.indexes(c.cutOff, 20)))
			f.run(3*time.Second, func() { few(); most() })
			f.cutBothWays(f.indexes(0, c.cutOff), f.indexes(c.cutOff, 20), true)
			f.run(time.Second, func() { few(); most() })
			calm := f.now
			f.run(20*time.Second, func() { few(); most() })
			t.Logf("part %.3f, window %.0f of %.0f", f.admittedPart(calm), f.worstWindow(), windowBound(hot))
			is.True(f.admittedPart(calm) >= c.least)
			is.True(f.worstWindow() <= windowBound(hot))
		})
	}
}

// Guards against two sides of a cut fleet that both use a full bucket before they notice the cut,
// when the load begins or after a window in which the account has used its rate.
func TestCutAtFullBucket(t *testing.T) {
	for _, before := range []float64{0, 1, 1.05} {
		for _, cutOff := range []int{1, 8, 10} {
			for _, demand := range []float64{surge, 9} {
				for _, oneWay := range []bool{false, true} {
					name := fmt.Sprintf("load before %.2f, %d cut off, demand %.1f, one way %t", before, cutOff, demand, oneWay)
					t.Run(name, func(t *testing.T) { testCutAtFullBucket(t, before, cutOff, demand, oneWay) })
				}
			}
		}
	}
}

// testCutAtFullBucket cuts some gateways off when the demand of an account rises. Loads are
// multiples of its limit.
func testCutAtFullBucket(t *testing.T, before float64, cutOff int, demand float64, oneWay bool) {
	is := is.New(t)
	f := hotFleet()
	low, high := f.indexes(0, cutOff), f.indexes(cutOff, 20)
	f.run(8*time.Second, f.demand("a", before*hot.PerSecond, 500, f.uneven(f.indexes(0, 20))))
	few := f.demand("a", demand*hot.PerSecond*float64(cutOff)/20, 6000, f.uneven(low))
	most := f.demand("a", demand*hot.PerSecond*float64(20-cutOff)/20, 6000, f.uneven(high))
	f.cutLinks(low, high, true)
	f.cutLinks(high, low, !oneWay)
	f.run(12*time.Second, func() { few(); most() })
	t.Logf("window %.0f of %.0f", f.worstWindow(), windowBound(hot))
	is.True(f.worstWindow() <= windowBound(hot))
}

// Guards against groups of a fleet cut several times that each use a full bucket, after a window in
// which the account has used its rate.
func TestFleetInPiecesAtFullBucket(t *testing.T) {
	for _, groups := range []int{3, 20} {
		for _, demand := range []float64{surge, 9} {
			t.Run(fmt.Sprintf("%d groups, demand %.1f", groups, demand), func(t *testing.T) {
				is := is.New(t)
				f := hotFleet()
				f.run(8*time.Second, f.demand("a", hot.PerSecond, 500, f.uneven(f.indexes(0, 20))))
				for i := range 20 {
					for j := range 20 {
						f.cut[i][j] = i*groups/20 != j*groups/20
					}
				}
				f.run(12*time.Second, f.demand("a", demand*hot.PerSecond, 6000, f.uneven(f.indexes(0, 20))))
				t.Logf("window %.0f of %.0f", f.worstWindow(), windowBound(hot))
				is.True(f.worstWindow() <= windowBound(hot))
			})
		}
	}
}

// Guards against a small account whose requests never fit into its bucket.
func TestLargeRequestOfIdleAccount(t *testing.T) {
	is := is.New(t)
	small := Limit{PerSecond: 36_000, Burst: 36_000, Unit: Tokens}
	f := newTestFleet(20, map[string]Limit{"a": small})
	f.run(3*time.Second, nil)
	is.True(f.ask(3, "a", 54_600).Admitted)
	f.run(500*time.Millisecond, nil)
	is.True(!f.ask(4, "a", 36_000).Admitted) // the debt is paid first
	f.run(3*time.Second, nil)
	f.cutBothWays(f.indexes(0, 8), f.indexes(8, 20), true)
	f.run(2*time.Second, nil)
	is.True(f.ask(3, "a", 54_600).Admitted)     // two fifths
	is.True(!f.ask(3, "a", 54_600).Admitted)    // nothing left
	is.True(!f.ask(9, "a", 1_000_000).Admitted) // no debt beyond what a window may hold
}

// Guards against a lowered limit that takes effect late, and a raised one that can't be used.
func TestLimitLoweredInAnOverload(t *testing.T) {
	is := is.New(t)
	f := hotFleet()
	load := f.demand("a", surge*hot.PerSecond, 6000, f.uneven(f.indexes(0, 20)))
	f.run(5*time.Second, load)
	lower := Limit{PerSecond: hot.PerSecond / 4, Burst: hot.Burst / 4, Unit: Tokens}
	f.setLimits(map[string]Limit{"a": lower})
	changed := f.now
	f.run(4*time.Second, load)
	is.True(f.total(changed) <= (4*lower.PerSecond+lower.Burst)*1.1)
	f.setLimits(map[string]Limit{"a": hot})
	raised := f.now
	f.run(time.Second, load)
	is.True(f.admittedPart(raised) >= 0.9)
}

// Guards against a fresh burst after a restart, and a fleet that doesn't find contact again.
func TestAllGatewaysRestartAtOnce(t *testing.T) {
	is := is.New(t)
	f := hotFleet()
	load := f.demand("a", surge*hot.PerSecond, 6000, f.uneven(f.indexes(0, 20)))
	f.run(4*time.Second, load)
	for range 2 {
		f.restart()
		f.run(3*time.Second, load)
	}
	after := f.now
	f.run(5*time.Second, load)
	t.Logf("part %.3f, window %.0f of %.0f", f.admittedPart(after), f.worstWindow(), windowBound(hot))
	is.True(f.worstWindow() <= windowBound(hot))
	is.True(f.admittedPart(after) >= 0.95)
}

// Guards against a fleet that loses its limit for good where contact comes and goes.
func TestFlappingContact(t *testing.T) {
	is := is.New(t)
	f := hotFleet()
	load := f.demand("a", surge*hot.PerSecond, 6000, f.uneven(f.indexes(0, 20)))
	for range 8 {
		f.cutLinks(f.indexes(0, 8), f.indexes(8, 20), true)
		f.run(900*time.Millisecond, load)
		f.cutLinks(f.indexes(0, 8), f.indexes(8, 20), false)
		f.run(600*time.Millisecond, load)
	}
	t.Logf("part %.3f, window %.0f of %.0f", f.admittedPart(f.now.Add(-12*time.Second)), f.worstWindow(), windowBound(hot))
	is.True(f.worstWindow() <= windowBound(hot))
	healed := f.now
	f.run(4*time.Second, load)
	is.True(f.admittedPart(healed) >= 0.9)
}

// Guards against two regions without a link that both count on the region between them, and
// against refusals below the limit there.
func TestLinkFailureBetweenRegions(t *testing.T) {
	is := is.New(t)
	f := hotFleet()
	f.cutBothWays(f.indexes(0, 7), f.indexes(13, 20), true)
	f.run(4*time.Second, nil)
	began := f.now
	asked := 0.8 * hot.PerSecond
	f.run(8*time.Second, f.demand("a", asked, 6000, func() int { return f.random.IntN(20) }))
	is.True(f.total(began) >= 0.97*8*asked)
	outer := append(f.indexes(0, 7), f.indexes(13, 20)...)
	f.run(16*time.Second, f.demand("a", 9*hot.PerSecond, 6000, f.uneven(outer)))
	t.Logf("window %.0f of %.0f", f.worstWindow(), windowBound(hot))
	is.True(f.worstWindow() <= windowBound(hot))
}

// Guards against callers that return together, at once or after the longest wait.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	is := is.New(t)
	f := hotFleet()
	f.run(time.Second, f.demand("a", 9*hot.PerSecond, 6000, func() int { return 0 }))
	var waits []time.Duration
	for range 2000 {
		if v := f.ask(0, "a", 6000); !v.Admitted {
			waits = append(waits, v.RetryAfter)
		}
	}
	is.True(slices.Min(waits) >= 50*time.Millisecond)
	is.True(slices.Max(waits) <= 10*time.Second)
	perSecond := map[int]int{}
	for _, w := range waits {
		perSecond[int(w/time.Second)]++
	}
	t.Log(perSecond)
	for _, n := range perSecond {
		is.True(n <= 2000/3) // of 2,000 within a moment
	}
}

// Guards against control traffic that grows with the accounts configured rather than with
// those in use near their limit.
func TestReportedBytes(t *testing.T) {
	for _, gateways := range []int{20, 100, 410} {
		is := is.New(t)
		limits, accounts := manyLimits(380)
		f := newTestFleet(gateways, limits)
		if gateways > 48 {
			f.splitRegions()
		}
		f.run(time.Second, nil)
		f.reports, f.accounts, f.bytes = 0, 0, 0
		// A tenth of the accounts ask for twice their limit, the others for a hundredth.
		var demands []func()
		for i, a := range accounts {
			rate := limits[a].PerSecond / 100
			if i%10 == 0 {
				rate *= 200
			}
			demands = append(demands, f.demand(a, rate, 4000, f.uneven(f.indexes(0, gateways))))
		}
		f.run(time.Second, func() {
			for _, d := range demands {
				d()
			}
		})
		perSecond := float64(f.bytes) / float64(gateways)
		t.Logf("%d gateways: %.0f bytes/s to each other gateway, %.2f accounts a report", gateways, perSecond,
			float64(f.accounts)/float64(f.reports))
		is.True(perSecond <= 2000)
	}
}

// splitRegions cuts the links between three regions, as large fleets have none.
func (f *testFleet) splitRegions() {
	n := len(f.ledgers)
	f.cutBothWays(f.indexes(0, n/3), f.indexes(n/3, n), true)
	f.cutBothWays(f.indexes(n/3, 2*n/3), f.indexes(2*n/3, n), true)
}

// manyLimits returns limits of equal size and the names of their accounts.
func manyLimits(count int) (map[string]Limit, []string) {
	limits := map[string]Limit{}
	var names []string
	for i := range count {
		name := fmt.Sprintf("account-%03d", i)
		names = append(names, name)
		limits[name] = Limit{PerSecond: 36_000, Burst: 36_000, Unit: Tokens}
	}
	return limits, names
}
