package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/plugins/lowest"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/plugins/queue"
	"github.com/citrontiller/citrontiller/plugins/ready"
	"github.com/citrontiller/citrontiller/plugins/region"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

func scheduler() *route.Scheduler {
	return &route.Scheduler{Filters: []route.Filter{ready.Filter{}},
		Scorers: []route.Scorer{queue.Scorer{}, prefixcache.Scorer{}, region.Scorer{}}, Prices: []route.Scorer{region.Price{}}, Picker: lowest.Picker{}}
}

func members(n int) []member.Endpoint {
	out := make([]member.Endpoint, n)
	for i := range out {
		out[i] = member.Endpoint{Host: infra.Host{ID: fmt.Sprintf("e%04d", i), Region: "a"}, State: member.Ready}
	}
	return out
}

func request(key int) *route.Request {
	text := [][]byte{make([]byte, 4000), fmt.Appendf(nil, "%08000d", key), []byte("question")}
	return &route.Request{Region: "a", Stream: true, Idempotent: true, Levels: prefix.Chain(prefix.Scope{}, text), Tokens: prefix.Tokens(text)}
}

// fixture is one entry with a simulated clock.
type fixture struct {
	*route.Scheduler
	tracker *route.Tracker
	members []member.Endpoint
	load    route.Load
	now     time.Time
}

func newFixture(n int) *fixture {
	return &fixture{scheduler(), route.NewTracker(), members(n), route.Load{BootID: "1"}, time.Unix(0, 0)}
}

func (f *fixture) snapshot(r *route.Request) []route.Endpoint {
	rep := route.Report{Key: f.load.BootID, Load: f.load}
	return f.tracker.Snapshot(r, f.members, func(member.Endpoint) route.Report { return rep }, f.now)
}

func (f *fixture) send(r *route.Request) (string, *route.Attempt) {
	eps := f.snapshot(r)
	d := f.Choose(r, eps)
	for i := range eps {
		if eps[i].ID == d.Chosen {
			return d.Chosen, f.tracker.Dispatch(r, &eps[i], d, f.now)
		}
	}
	return "", nil
}

// Guards against entries that select different home endpoints for a prefix, and
// against a restarted entry that loses its cache hit rate.
func TestEntriesAgreeOnHome(t *testing.T) {
	is := is.New(t)
	homes := map[string]bool{}
	for key := range 40 {
		a, _ := newFixture(12).send(request(key))
		b, _ := newFixture(12).send(request(key))
		is.Equal(a, b)
		homes[a] = true
	}
	is.True(len(homes) > 6)
}

// Guards against queueing requests with a frequently used prefix at its home endpoint
// while others are idle, and against scattering them instead of using the next
// endpoint in the ranking.
func TestHotPrefixSpreads(t *testing.T) {
	is := is.New(t)
	f := newFixture(6)
	home, a := f.send(request(1))
	a.FirstToken(f.now)
	busy := func(m member.Endpoint) route.Report {
		if m.ID == home {
			return route.Report{Key: 1, Load: route.Load{BootID: "1", Wait: time.Second}}
		}
		return route.Report{Key: 1, Load: route.Load{BootID: "1"}}
	}
	used := map[string]bool{}
	for range 5 {
		r := request(1)
		d := f.Choose(r, f.tracker.Snapshot(r, f.members, busy, f.now))
		used[d.Chosen] = true
	}
	is.Equal(len(used), 1)
	is.True(!used[home])
}

// Guards against sending requests to a straggler whose load report is still normal.
func TestStragglerIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	home, a := f.send(request(1))
	f.now = f.now.Add(8 * time.Second)
	a.FirstToken(f.now)
	a.End(10, 10, f.now)
	next, _ := f.send(request(1))
	is.True(next != home)
}

// Guards against failing endpoints that keep receiving their share of requests, and
// against ejected ones that are never probed.
func TestEjectionAndProbes(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	bad, first := f.send(request(1))
	first.Failed(f.now)
	probes := 0
	for i := range 600 {
		id, a := f.send(request(i % 20))
		f.now = f.now.Add(100 * time.Millisecond)
		if id == bad {
			probes++
			a.Failed(f.now)
			continue
		}
		a.FirstToken(f.now)
		a.End(1, 1, f.now)
	}
	is.True(probes >= 3)
	is.True(probes < 15)
}

// Guards against expecting cached prefixes after a restart of the engine.
func TestNewBootForgetsPlacement(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	_, a := f.send(request(1))
	a.FirstToken(f.now)
	is.True(f.snapshot(request(1))[0].CachedTokens > 2000)
	f.load.BootID = "2"
	f.snapshot(request(1))
	is.Equal(f.snapshot(request(1))[0].CachedTokens, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 2000} {
		f := newFixture(n)
		for i := range n {
			_, a := f.send(request(i % 100))
			a.FirstToken(f.now)
		}
		r := request(7)
		eps := f.snapshot(r)
		b.Run(fmt.Sprintf("choose/endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.Choose(r, eps)
			}
		})
		b.Run(fmt.Sprintf("snapshot/endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.snapshot(r)
			}
		})
	}
}

// Guards against endpoint selection ignoring a service's settings: the number of
// failures before ejection, the time to a probe, the block lifetime and the price of
// traffic between regions.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	for _, c := range []route.Policy{{EjectAfter: 1, ProbeInterval: 5 * time.Second}, {EjectAfter: 2, ProbeInterval: time.Minute}} {
		f := newFixture(1)
		r := request(1)
		r.Policy = c
		for i := range c.EjectAfter {
			is.True(!f.snapshot(r)[0].Ejected)
			_, a := f.send(r)
			a.Failed(f.now)
			is.Equal(f.snapshot(r)[0].Ejected, i == c.EjectAfter-1)
		}
		f.now = f.now.Add(c.ProbeInterval - time.Millisecond)
		is.True(!f.snapshot(r)[0].Probe)
		f.now = f.now.Add(time.Millisecond)
		is.True(f.snapshot(r)[0].Probe)
	}
	for life, cached := range map[time.Duration]bool{time.Second: false, time.Minute: true} {
		f := newFixture(1)
		r := request(1)
		r.Policy.BlockLifetime = life
		_, a := f.send(r)
		a.FirstToken(f.now)
		a.End(1, 1, f.now)
		f.now = f.now.Add(2 * time.Second)
		is.Equal(f.snapshot(r)[0].CachedTokens > 0, cached)
	}
	for price, region := range map[float64]string{0: "b", 1e6: "a"} {
		f := newFixture(2)
		f.members[1].Region = "b"
		r := request(1)
		r.Bytes, r.Policy.PriceMsPerMiB = 1<<20, price
		r.Exclude = map[string]bool{}
		eps := f.snapshot(r)
		eps[0].WaitMs = 1000 // the endpoint in the same region costs a second more
		d := f.Choose(r, eps)
		is.Equal(map[string]string{"e0000": "a", "e0001": "b"}[d.Chosen], region)
	}
}

// Guards against a straggler that appears normal as soon as its late attempts are
// cancelled, and against early cancellations that mark a normal endpoint as slow.
func TestCancelledAttemptRaisesResidual(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	residual := func() float64 { return f.snapshot(request(1))[0].Residual }
	_, a := f.send(request(1))
	f.now = f.now.Add(time.Millisecond)
	a.Close(f.now)
	is.Equal(residual(), 1.0)
	_, a = f.send(request(1))
	f.now = f.now.Add(10 * time.Second)
	a.Close(f.now)
	is.True(residual() > 2)
	high := residual()
	a.Close(f.now.Add(time.Minute)) // already ended
	is.Equal(residual(), high)
}
