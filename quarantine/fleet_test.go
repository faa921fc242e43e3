package quarantine

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulated load: a class of short requests of which one in twenty has the deadly
// part, as many routers of a fleet see it at the same time.
const (
	simEngines    = 18
	simRate       = 120 // requests a second
	simDeadlyOdds = 20
	simSeconds    = 22
	simStartTime  = 150 * time.Millisecond // from sending to the response's start
	simDownTime   = 3 * time.Second
	simPeerDelay  = 40 * time.Millisecond
	// simContactTime is the time after the fifth crash from which at most simLateSends
	// deadly requests may be sent.
	simContactTime = 4 * time.Second
	simLateSends   = 3
)

// simEvent happens at a time of the simulation.
type simEvent struct {
	at time.Time
	do func()
}

// simRequest is a request at an engine.
type simRequest struct {
	pass   *Pass
	deadly bool
	done   bool
}

// simEngine is an engine that crashes when it starts the response to a deadly request.
type simEngine struct {
	boot    int
	downTil time.Time
	running []*simRequest
}

// fleetSim is a fleet of gateways before the same engines, in simulated time.
type fleetSim struct {
	now      time.Time
	rnd      *rand.Rand
	events   []simEvent
	gateways []*Tracker
	engines  [simEngines]simEngine
	// crashedAt holds the times of the crashes.
	crashedAt []time.Time
	// deadlySent holds the times at which deadly requests were sent.
	deadlySent            []time.Time
	sound, soundNotServed int
	// allSound is true if no request is deadly.
	allSound bool
	// prompt returns the parts of a request, deadly ones with a part that crashes engines.
	prompt func(s *fleetSim, deadly bool) []Part
}

// shortPrompt is a prompt of two parts: one of few callers and one of many documents.
func shortPrompt(s *fleetSim, deadly bool) []Part {
	parts := prompt(fmt.Sprint("shop", s.rnd.Intn(3)), fmt.Sprint("guide", s.rnd.Intn(300)))
	if deadly {
		parts[1].ID = "deadly"
	}
	return parts
}

// conversation returns prompts of n parts that all requests of a caller share. In deadly
// ones, one of the deadly parts replaces the part at an index.
func conversation(n, index int, deadlyIDs ...string) func(s *fleetSim, deadly bool) []Part {
	return func(s *fleetSim, deadly bool) []Part {
		parts := prompt(partIDs(fmt.Sprint("shop", s.rnd.Intn(3), "-turn"), 0, n)...)
		if deadly {
			parts[index].ID = deadlyIDs[s.rnd.Intn(len(deadlyIDs))]
		}
		return parts
	}
}

// simPeer passes what a gateway observes to the others.
type simPeer struct {
	sim  *fleetSim
	from int
}

func (p simPeer) CrashObserved(r Report, _ []Part) {
	p.others(func(t *Tracker) { t.ApplyReport(r, p.sim.now) })
}
func (p simPeer) PartsCleared(keys []Key, _ []Part) {
	p.others(func(t *Tracker) {
		for _, k := range keys {
			t.Clear(k)
		}
	})
}
func (p simPeer) PartBlocked(b Block) { p.others(func(t *Tracker) { t.ApplyBlock(b) }) }

func (p simPeer) PartProbed(b Block) { p.others(func(t *Tracker) { t.ApplyBlock(b) }) }

// PartReleased implements Observer; the others decide by themselves.
func (p simPeer) PartReleased(Part, ReleaseCause) {}

func (p simPeer) others(do func(t *Tracker)) {
	p.sim.in(simPeerDelay, func() {
		for i, t := range p.sim.gateways {
			if i != p.from {
				do(t)
			}
		}
	})
}

// in schedules an event.
func (s *fleetSim) in(d time.Duration, do func()) {
	e := simEvent{s.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1 // after the events of the same time
	})
	s.events = slices.Insert(s.events, i, e)
}

// send sends a request from a random gateway to a random engine that is up.
func (s *fleetSim) send() {
	deadly := !s.allSound && s.rnd.Intn(simDeadlyOdds) == 0
	parts := s.prompt(s, deadly)
	if !deadly {
		s.sound++
	}
	d := s.gateways[s.rnd.Intn(len(s.gateways))].Enter(parts, s.now)
	if d.Verdict != Allowed {
		if !deadly {
			s.soundNotServed++
		}
		return
	}
	if deadly {
		s.deadlySent = append(s.deadlySent, s.now)
	}
	e := s.engine()
	if e == nil {
		if !deadly {
			s.soundNotServed++
		}
		d.Pass.End()
		return
	}
	d.Pass.Sent(s.now)
	r := &simRequest{pass: d.Pass, deadly: deadly}
	e.running = append(e.running, r)
	s.in(simStartTime, func() { s.start(e, r) })
}

// engine returns a random engine that is up, or nil if none is.
func (s *fleetSim) engine() *simEngine {
	for _, i := range s.rnd.Perm(simEngines) {
		if !s.now.Before(s.engines[i].downTil) {
			return &s.engines[i]
		}
	}
	return nil
}

// start starts the response to a request, or crashes its engine.
func (s *fleetSim) start(e *simEngine, r *simRequest) {
	switch {
	case r.done:
	case r.deadly:
		s.crash(e)
	default:
		r.done = true
		r.pass.Started(s.now)
	}
}

func (s *fleetSim) crash(e *simEngine) {
	c := Crash{Endpoint: fmt.Sprintf("%p", e), BootID: fmt.Sprint(e.boot)}
	s.crashedAt = append(s.crashedAt, s.now)
	for _, r := range e.running {
		if !r.done {
			r.done = true
			if !r.deadly {
				s.soundNotServed++
			}
			r.pass.Crashed(c, s.now)
		}
	}
	e.boot, e.downTil, e.running = e.boot+1, s.now.Add(simDownTime), nil
}

// run plays the load with a number of gateways.
func (s *fleetSim) run(gateways int) { s.runFor(gateways, simSeconds, simRate) }

// runFor plays a rate of requests a second for some seconds.
func (s *fleetSim) runFor(gateways, seconds, rate int) {
	s.now = at(0)
	for i := range gateways {
		t := New(simPeer{s, i})
		t.ProbeTurn = func(k Key) int { return (i + int(k%Key(gateways))) % gateways }
		s.gateways = append(s.gateways, t)
	}
	for i := range seconds * rate {
		s.in(time.Duration(i)*time.Second/time.Duration(rate), s.send)
	}
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
}

// lateSends counts the deadly requests sent later than simContactTime after the fifth
// crash.
func (s *fleetSim) lateSends() int {
	if len(s.crashedAt) < 5 {
		return 0
	}
	limit := s.crashedAt[4].Add(simContactTime)
	n := 0
	for _, at := range s.deadlySent {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// Guards against requests of one kind that crash one engine after the other while all
// gateways send them, and against sound requests that are held back with them.
func TestDeadlyPartOfFrequentClass(t *testing.T) {
	for _, gateways := range []int{1, 4, 27, 100} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
				is := is.New(t)
				s := &fleetSim{rnd: rand.New(rand.NewSource(seed)), prompt: shortPrompt}
				s.run(gateways)
				t.Logf("%d crashes, %d deadly requests sent, %d of them late; %d of %d sound requests not served",
					len(s.crashedAt), len(s.deadlySent), s.lateSends(), s.soundNotServed, s.sound)
				is.True(s.lateSends() <= simLateSends)
				is.True(len(s.crashedAt) < simEngines/2)          // most engines live
				is.True(s.soundNotServed < s.sound/simDeadlyOdds) // fewer than the deadly requests
			})
		}
	}
}

// Guards against a deadly part far behind in a long prompt that is not remembered: engines
// go on crashing, and sound parts of the same prompt are blocked in its place.
func TestDeadlyPartOfLongPrompt(t *testing.T) {
	for _, tc := range []struct {
		parts, index, gateways int
		deadly                 []string
	}{
		{40, 1, 4, []string{"deadly"}}, {40, 31, 4, []string{"deadly"}}, {40, 32, 4, []string{"deadly"}}, {40, 35, 2, []string{"deadly"}},
		{40, 20, 27, []string{"deadly"}}, {40, 35, 4, []string{"deadly1", "deadly2"}}, {300, 250, 4, []string{"deadly"}}, {longPrompt, 900, 4, []string{"deadly"}},
	} {
		t.Run(fmt.Sprintf("part %d of %d, %d gateways, %d deadly", tc.index+1, tc.parts, tc.gateways, len(tc.deadly)), func(t *testing.T) {
			is := is.New(t)
			s := &fleetSim{rnd: rand.New(rand.NewSource(1)), prompt: conversation(tc.parts, tc.index, tc.deadly...)}
			s.run(tc.gateways)
			t.Logf("%d crashes, %d deadly requests sent, %d of them late; %d of %d sound requests not served",
				len(s.crashedAt), len(s.deadlySent), s.lateSends(), s.soundNotServed, s.sound)
			is.True(s.lateSends() <= simLateSends)
			is.True(len(s.crashedAt) < simEngines/2)            // most engines live
			is.True(s.soundNotServed < s.sound*3/simDeadlyOdds) // all share the suspects
			for _, q := range s.gateways {
				_, blocked := q.Counts()
				is.Equal(blocked, len(tc.deadly))
			}
		})
	}
}

// Guards against probes of a blocked part that crash more endpoints than the few that a block
// is to spare, over a day longer than the intervals between the first ones.
func TestProbesOfDeadlyPartAreFew(t *testing.T) {
	const seconds = 120
	for _, gateways := range []int{1, 4, 27, 100} {
		for seed := range int64(3) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
				is := is.New(t)
				s := &fleetSim{rnd: rand.New(rand.NewSource(seed)), prompt: shortPrompt}
				s.runFor(gateways, seconds, simRate)
				t.Logf("%d crashes, %d deadly requests sent, %d of them late; %d of %d sound requests not served",
					len(s.crashedAt), len(s.deadlySent), s.lateSends(), s.soundNotServed, s.sound)
				is.True(s.lateSends() <= simLateSends)
			})
		}
	}
}

// crashBusy crashes an engine that computes a prompt, as soon as there is one.
func (s *fleetSim) crashBusy() {
	const pause = 5 * time.Millisecond
	for i := range s.engines {
		if slices.ContainsFunc(s.engines[i].running, func(r *simRequest) bool { return !r.done }) {
			s.crash(&s.engines[i])
			return
		}
	}
	s.in(pause, s.crashBusy)
}

// Guards against engines that crash one after the other for another reason: the part that all
// their requests share is blocked at all gateways, and must be served again within seconds.
func TestSharedPartOutlivesPlainCrashes(t *testing.T) {
	const (
		seconds, rate = 40, 2
		firstCrash    = 5 * time.Second
		crashPause    = 300 * time.Millisecond
		// recoveryTime is the time after the second crash from which requests must be served.
		recoveryTime = 2 * simContactTime
	)
	for _, gateways := range []int{1, 3, 27} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
				is := is.New(t)
				s := &fleetSim{rnd: rand.New(rand.NewSource(seed)), allSound: true, prompt: func(*fleetSim, bool) []Part { return prompt("system") }}
				s.now = at(0)
				s.in(firstCrash, s.crashBusy)
				s.in(firstCrash+crashPause+settleTime, s.crashBusy)
				before := 0
				s.in(firstCrash+crashPause+recoveryTime+time.Second, func() { before = s.soundNotServed })
				s.runFor(gateways, seconds, rate)
				t.Logf("%d crashes, %d of %d requests not served", len(s.crashedAt), s.soundNotServed, s.sound)
				is.Equal(len(s.crashedAt), 2)
				is.True(s.soundNotServed > 2) // the part was blocked
				is.Equal(s.soundNotServed, before)
			})
		}
	}
}
