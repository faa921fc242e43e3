package fleet

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/kv"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// answer is what a caller received.
type answer struct {
	code int
	body string
	err  error
}

func ask(f *Fleet, entry int, body, key string) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		code, b, err := tryPost(f, entry, "/book", body, key)
		out <- answer{code, b, err}
	}()
	return out
}

func (a answer) says(run string) bool { return strings.Contains(a.body, `"run":"`+run+`"`) }

// booked reports whether the answer is a whole booking of the body.
func (a answer) booked(body string) bool {
	return a.err == nil && a.code == 200 && strings.Contains(a.body, `"body":"`+body+`"`) && strings.HasSuffix(a.body, "}\n")
}

// addEntry starts a second entry.
func addEntry(t *testing.T, f *Fleet) {
	opts := entry.DefaultOptions()
	opts.Region = "r1"
	_, err := f.AddEntry("entry-1", opts)
	is.New(t).NoErr(err)
	time.Sleep(2 * time.Second)
}

// checkOnce holds the answers against the endpoints' own count: at most one
// booking, a booking behind every success, and none behind "not run" answers
// when no other answer could account for it.
func checkOnce(t interface{ Fatalf(string, ...any) }, f *Fleet, body, when string, answers ...answer) {
	n := 0
	for _, p := range f.Plains {
		n += p.Bookings(body)
	}
	notRun := 0
	for _, a := range answers {
		if a.says("not_run") {
			notRun++
		}
		if a.err == nil && a.code == 200 && !a.booked(body) {
			t.Fatalf("%s: cut or foreign answer: %+v", when, a)
		}
		if a.booked(body) && n != 1 {
			t.Fatalf("%s: answered with a booking, endpoints counted %d", when, n)
		}
	}
	if n > 1 || (n == 1 && notRun == len(answers)) {
		t.Fatalf("%s: endpoints counted %d, answers %+v", when, n, answers)
	}
}

// maxStep is the last write that a fault is tried at; calls of these tests
// write less often on any connection, so the enumeration ends before it.
const maxStep = 24

// Guards against a second booking, a false "not run" and a cut answer when a
// connection is cut or falls silent at any single step of a call: every write
// in each direction to the agent, the endpoint, the store and the entry, for
// calls with and without a key, each followed by repeats at another entry.
func TestOnceAtEveryStep(t *testing.T) {
	struck := map[string]int{}
	for _, target := range []string{"agent-0:80", "desk-0:80", "kv:80", "entry-0:80"} {
		for _, d := range []Direction{ToServer, ToClient} {
			for _, cut := range []bool{true, false} {
				for _, key := range []string{"", "k"} {
					for step := range maxStep {
						var hit bool
						simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
							addEntry(t, f)
							setFaults(f, plain.Faults{Delay: 300 * time.Millisecond})
							when := fmt.Sprintf("%s direction %d cut %v key %q step %d", target, d, cut, key, step)
							n.SetFault(target, Fault{Direction: d, AfterOps: step, Close: cut})
							first := ask(f, 0, "van", key)
							time.Sleep(400 * time.Millisecond)
							hit = n.FaultTriggered(target)
							answers := collect(first)
							n.SetFault(target, Fault{})
							if key != "" {
								answers = append(answers, <-ask(f, 1, "van", key))
								last := <-ask(f, 1, "van", key)
								checkOnce(t, f, "van", when, append(answers, last)...)
							}
							checkOnce(t, f, "van", when, answers...)
						})
						if !hit {
							break
						}
						struck[target]++
					}
				}
			}
		}
	}
	for target, n := range struck {
		t.Logf("%s: %d steps struck", target, n)
		is.New(t).True(n > 0)
	}
}

// collect waits for an answer for at most a minute; a caller whose connection
// to the entry is silent gets none.
func collect(c <-chan answer) []answer {
	select {
	case a := <-c:
		return []answer{a}
	case <-time.After(time.Minute):
		return nil
	}
}

// Guards against each named way in which a keyed call could run twice, or lose
// its answer: see the cases.
func TestClaims(t *testing.T) {
	keyed := func(f *Fleet, e int) answer { return <-ask(f, e, "van", "k") }
	for _, tc := range []struct {
		name string
		run  func(is *is.I, f *Fleet, n *MemoryNetwork) []answer
	}{
		{"repeat later", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			a, b := keyed(f, 0), keyed(f, 1)
			is.True(a.booked("van"))
			is.Equal(a.body, b.body)
			return []answer{a, b}
		}},
		{"result outlives the agents", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			a := keyed(f, 0)
			time.Sleep(time.Hour)
			b := keyed(f, 1)
			is.Equal(a.body, b.body)
			return []answer{a, b}
		}},
		{"race of two entries", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			setFaults(f, plain.Faults{Delay: time.Second})
			c, d := ask(f, 0, "van", "k"), ask(f, 1, "van", "k")
			a, b := <-c, <-d
			is.True(a.booked("van"))
			is.Equal(a.body, b.body)
			return []answer{a, b}
		}},
		{"another body under the key", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			a := keyed(f, 0)
			b := <-ask(f, 1, "bike", "k")
			is.Equal(b.code, 422)
			is.Equal(total(f), 1)
			return []answer{a}
		}},
		{"lost answers of the store", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			for i := range 3 {
				f.KV.SetFaults(kv.Faults{LoseWriteResponses: i + 1})
				a := <-ask(f, 0, fmt.Sprint("van", i), fmt.Sprint("k", i))
				time.Sleep(10 * time.Second)
				is.True(a.booked(fmt.Sprint("van", i)))
			}
			is.Equal(total(f), 3)
			return nil
		}},
		{"store down", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			f.KV.SetFaults(kv.Faults{Down: true})
			a := keyed(f, 0)
			is.Equal(a.code, 503)
			is.True(a.says("not_run"))
			is.Equal(total(f), 0)
			f.KV.SetFaults(kv.Faults{Delay: time.Minute})
			b := keyed(f, 0)
			is.True(b.says("not_run"))
			f.KV.SetFaults(kv.Faults{})
			is.True(keyed(f, 1).booked("van"))
			return nil
		}},
		{"agents out of reach until the revoke", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			setFaults(f, plain.Faults{Delay: time.Second})
			c := ask(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			for _, ag := range f.Agents {
				n.Stop(ag.Address)
				time.AfterFunc(10*time.Second, func() { n.Restore(ag.Address) })
			}
			a := <-c
			is.True(!a.says("not_run")) // the revoke finds the attempt finished
			b := keyed(f, 1)
			is.True(b.booked("van"))
			return []answer{a, b}
		}},
		{"agents gone", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			setFaults(f, plain.Faults{Delay: time.Second})
			c := ask(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			for _, ag := range f.Agents {
				n.Stop(ag.Address)
			}
			a, b := <-c, keyed(f, 1)
			is.True(a.says("unknown"))
			is.True(b.says("unknown"))
			is.Equal(b.code, 409)
			return []answer{a, b}
		}},
		{"answer dropped by the endpoint", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			setFaults(f, plain.Faults{DropResponses: 1})
			a, b := keyed(f, 0), keyed(f, 1)
			is.True(a.says("unknown") && b.says("unknown"))
			return []answer{a, b}
		}},
		{"crossed answers", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			// Each endpoint needs an earlier answer to give to the next call.
			for i := 0; f.Plains["desk-0"].Total() == 0 || f.Plains["desk-1"].Total() == 0; i++ {
				is.True(i < 64)
				<-ask(f, 0, fmt.Sprint("warm", i), "")
			}
			setFaults(f, plain.Faults{MisroutedResponses: 1})
			a := keyed(f, 0)
			is.True(a.says("unknown"))
			return []answer{a, keyed(f, 1)}
		}},
		{"caller gone before the answer", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			setFaults(f, plain.Faults{Delay: time.Second})
			ask(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			n.CloseConnections(f.Entries[0].Address)
			time.Sleep(time.Hour)
			b := keyed(f, 1)
			is.True(b.booked("van"))
			return []answer{b}
		}},
		{"too many claims", func(is *is.I, f *Fleet, n *MemoryNetwork) []answer {
			refused := 0
			for i := range 40 {
				if a := <-ask(f, 0, "van", fmt.Sprint("k", i)); a.says("not_run") {
					is.Equal(a.code, 503)
					refused++
				}
			}
			is.True(refused > 0)
			is.Equal(total(f)+refused, 40)
			return nil
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				addEntry(t, f)
				if answers := tc.run(is.New(t), f, n); answers != nil {
					checkOnce(t, f, "van", tc.name, answers...)
				}
			})
		})
	}
}

// Guards against a keyed call that costs the store more than two writes, and
// against a read on the path of a first call. A repeat costs a failed write
// and a read.
func TestClaimCost(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		addEntry(t, f)
		<-ask(f, 0, "warm", "w") // grants the entry's lease
		<-ask(f, 1, "warm", "v")
		time.Sleep(time.Second)
		calls := func() (txn, grant int) { return f.KV.Calls("/v3/kv/txn"), f.KV.Calls("/v3/lease/grant") }
		txn, grant := calls()
		is.True((<-ask(f, 0, "van", "k")).booked("van"))
		time.Sleep(100 * time.Millisecond)
		first, leases := calls()
		is.Equal(first-txn, 2)
		is.Equal(leases, grant)
		is.True((<-ask(f, 1, "van", "k")).booked("van"))
		again, _ := calls()
		is.Equal(again-first, 1)
		is.True((<-ask(f, 1, "bike", "")).booked("bike"))
		plainCall, _ := calls()
		is.Equal(plainCall, again)
	})
}

// Guards against an entry that is held up between ticket and Open for longer
// than the ticket lifetime, here by the store: whatever another entry did
// meanwhile, its Open must be refused.
func TestHeldUpEntry(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		for _, a := range f.Agents {
			n.Stop(a.Address)
		}
		spec := AgentSpec{Name: "agent-2", Region: "r1", Plains: []string{"desk-2"}, Service: func(string) string { return "desk" },
			Options: agent.DefaultOptions()}
		spec.Options.TicketLifetime = time.Second
		_, err := f.AddAgent(spec)
		is.NoErr(err)
		opts := entry.DefaultOptions()
		opts.Wire.TicketLifetime = spec.Options.TicketLifetime
		_, err = f.AddEntry("entry-1", opts)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True((<-ask(f, 1, "warm", "w")).booked("warm")) // grants the lease
		f.KV.SetFaults(kv.Faults{Delay: 1500 * time.Millisecond})
		a := <-ask(f, 1, "van", "k")
		is.True(a.says("not_run"))
		is.Equal(total(f), 1)
		f.KV.SetFaults(kv.Faults{})
		is.True((<-ask(f, 1, "van", "k")).booked("van"))
	})
}

// failure keeps the first failure of a run inside a bubble for rapid.
type failure struct{ text string }

func (f *failure) Fatalf(format string, args ...any) {
	if f.text == "" {
		f.text = fmt.Sprintf(format, args...)
	}
}

// Guards against double bookings under several faults at once.
func TestOnceUnderRandomFaults(t *testing.T) {
	is.New(t).NoErr(flag.Set("rapid.seed", "1"))
	targets := []string{"agent-0:80", "agent-1:80", "desk-0:80", "desk-1:80", "kv:80"}
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[string]Fault{}
		for _, target := range targets {
			faults[target] = Fault{Direction: Direction(rapid.IntRange(1, 3).Draw(rt, "direction")),
				AfterOps: rapid.IntRange(0, 20).Draw(rt, "after"), Close: rapid.Bool().Draw(rt, "cut")}
		}
		gap := time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap_ms")) * time.Millisecond
		lost := rapid.IntRange(0, 2).Draw(rt, "lost_answers")
		var found failure
		simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			addEntry(t, f)
			setFaults(f, plain.Faults{Delay: 300 * time.Millisecond})
			f.KV.SetFaults(kv.Faults{LoseWriteResponses: lost})
			for target, fault := range faults {
				n.SetFault(target, fault)
			}
			c := ask(f, 0, "van", "k")
			time.Sleep(gap)
			answers := append(collect(c), collect(ask(f, 1, "van", "k"))...)
			answers = append(answers, collect(ask(f, 1, "van", "k"))...)
			checkOnce(&found, f, "van", "random", answers...)
		})
		if found.text != "" {
			rt.Fatalf("%s", found.text)
		}
	})
}
