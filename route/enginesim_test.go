package route_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

const simPrompt, simGateways = 2000, 20

// simEngine computes one prompt at a time, in 40 ms times slow, and its first cold prompts in
// five times as long. One that fails refuses each request at once.
type simEngine struct {
	boot, cold int
	slow       float64
	fails      bool
	// away is true for an engine in another region.
	away   bool
	freeAt time.Time
	// pending is the number of prompts without a first token, most its largest value.
	pending, most int
	startedAt     []time.Time
}

type simEvent struct {
	at  time.Time
	run func()
}

// engineSim is gateways that send prompts without common prefixes to engines, and tell each
// other of them after a delay. changes are those that the first gateway reports.
type engineSim struct {
	gateways          []*fixture
	engines           []*simEngine
	delay             time.Duration
	now               time.Time
	events            []simEvent
	rng               *rand.Rand
	changes           []route.PaceChange
	answered, refused int
}

func newEngineSim(engines int, delay time.Duration) *engineSim {
	s := &engineSim{delay: delay, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(1, 2)), engines: make([]*simEngine, engines)}
	for i := range simGateways {
		f := newFixture(engines)
		f.BaseMs = 30
		f.tracker.PaceEndpoints(func(c route.PaceChange) {
			if i == 0 {
				s.changes = append(s.changes, c)
			}
		})
		f.tracker.OnEvent(func(e route.Event) { s.publish(i, e) })
		s.gateways = append(s.gateways, f)
	}
	for i := range engines {
		s.engines[i] = &simEngine{slow: 1}
		s.restart(i, 0)
	}
	return s
}

func (s *engineSim) publish(from int, e route.Event) {
	for i, g := range s.gateways {
		if i != from {
			s.after(s.delay, func() { g.tracker.ApplyRemoteEvent(fmt.Sprint(from), e, s.now) })
		}
	}
}

func (s *engineSim) after(d time.Duration, run func()) {
	e := simEvent{s.now.Add(d), run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	s.events = slices.Insert(s.events, i, e)
}

// restart starts a new incarnation of an engine.
func (s *engineSim) restart(engine, cold int) {
	old := s.engines[engine]
	s.engines[engine] = &simEngine{boot: old.boot + 1, slow: old.slow, cold: cold, fails: old.fails, away: old.away}
	l := route.Load{BootID: fmt.Sprintf("%d/1", old.boot+1), WeightsVersion: 1}
	for _, g := range s.gateways {
		g.tracker.Report(fmt.Sprintf("e%04d", engine), route.Report{Key: l.BootID, Load: l}, s.now)
	}
}

// run sends requests at random times for some time.
func (s *engineSim) run(d time.Duration, perSecond float64) {
	end := s.now.Add(d)
	var arrive func()
	next := func() {
		if wait := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)); !s.now.Add(wait).After(end) {
			s.after(wait, arrive)
		}
	}
	arrive = func() {
		s.send(s.gateways[s.rng.IntN(len(s.gateways))])
		next()
	}
	next()
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.run()
	}
	s.now = end
}

func (s *engineSim) send(f *fixture) {
	r := &route.Request{Service: "s", Region: "a", Stream: true, Idempotent: true, Tokens: simPrompt, Seed: s.rng.Uint64()}
	eps := s.snapshot(f, r)
	d := f.Choose(r, eps)
	var n int
	_, _ = fmt.Sscanf(d.Chosen, "e%d", &n)
	a := f.tracker.Dispatch(r, &eps[slices.IndexFunc(eps, func(e route.Endpoint) bool { return e.ID == d.Chosen })], d, s.now)
	e := s.engines[n]
	if e.fails {
		s.after(time.Millisecond, func() { a.Refused(s.now); s.refused++ })
		return
	}
	took := 40 * e.slow * (0.9 + 0.2*s.rng.Float64())
	if e.cold > 0 {
		e.cold--
		took *= 5
	}
	e.pending++
	e.most = max(e.most, e.pending)
	if e.freeAt.Before(s.now) {
		e.freeAt = s.now
	}
	e.freeAt = e.freeAt.Add(time.Duration(took * float64(time.Millisecond)))
	s.after(e.freeAt.Sub(s.now)+25*time.Millisecond+s.way(e), func() {
		if s.engines[n] != e {
			a.Failed(s.now)
			return
		}
		e.pending--
		e.startedAt = append(e.startedAt, s.now)
		a.FirstToken(s.now)
		a.End(1, 1, s.now)
		s.answered++
	})
}

// way returns the time on the way to another region and back: a round trip of 20 ms, which
// the gateways know, and up to three more, for a new connection and retransmissions.
func (s *engineSim) way(e *simEngine) time.Duration {
	if !e.away {
		return 0
	}
	return time.Duration(1+s.rng.IntN(4)) * 20 * time.Millisecond
}

// moveAway places an engine in another region.
func (s *engineSim) moveAway(engine int) {
	s.engines[engine].away = true
	for _, g := range s.gateways {
		g.members[engine].Region = "b"
		g.tracker.Report(g.members[engine].ID, route.Report{RTT: 20 * time.Millisecond}, s.now)
	}
}

// snapshot returns a gateway's candidates. Unlike that of the fixture, it reports no load:
// one would replace the incarnation that restart has reported.
func (s *engineSim) snapshot(f *fixture, r *route.Request) []route.Endpoint {
	return f.tracker.AppendSnapshot(nil, r, f.members, nil, func(member.Endpoint) route.Report { return route.Report{} }, s.now)
}

// has returns whether the first gateway has reported a step of an engine's pace.
func (s *engineSim) has(engine int, step route.PaceStep) bool {
	return slices.ContainsFunc(s.changes, func(c route.PaceChange) bool { return c.Endpoint == fmt.Sprintf("e%04d", engine) && c.Step == step })
}

// rate returns the first tokens a second of an engine in the time d before now.
func (s *engineSim) rate(engine int, d time.Duration) float64 {
	started := s.engines[engine].startedAt
	i, _ := slices.BinarySearchFunc(started, s.now.Add(-d), time.Time.Compare)
	return float64(len(started)-i) / d.Seconds()
}

// atPace returns the number of engines that the first gateway leaves out for their pace.
func (s *engineSim) atPace() (n int) {
	for _, e := range s.snapshot(s.gateways[0], &route.Request{Service: "s", Tokens: simPrompt}) {
		if e.AtPace {
			n++
		}
	}
	return n
}
