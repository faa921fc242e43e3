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

// response is the result of a call at its caller.
type response struct {
	code int
	body string
	err  error
}

// postAsync is tryPost of a booking in a goroutine.
func postAsync(f *Fleet, entry int, body, idempotencyKey string) <-chan response {
	out := make(chan response, 1)
	go func() {
		code, b, err := tryPost(f, entry, "/book", body, idempotencyKey)
		out <- response{code, b, err}
	}()
	return out
}

// runIs reports whether the response carries an error with the given run state.
func (r response) runIs(run string) bool { return strings.Contains(r.body, `"run":"`+run+`"`) }

// isBooking reports whether the response is a complete booking of the body.
func (r response) isBooking(body string) bool {
	return r.err == nil && r.code == 200 && strings.Contains(r.body, `"body":"`+body+`"`) && strings.HasSuffix(r.body, "}\n")
}

// addEntry starts a second entry and gives it 2 s to connect to the agents.
func addEntry(t *testing.T, f *Fleet) {
	opts := entry.DefaultOptions()
	opts.Region = "r1"
	_, err := f.AddEntry("entry-1", opts)
	is.New(t).NoErr(err)
	time.Sleep(2 * time.Second)
}

// checkAtMostOnce compares the responses with the bookings that the endpoints
// counted. It fails unless there is at most one booking, exactly one if a response
// reports success, and none if all responses are "not run".
func checkAtMostOnce(t interface{ Fatalf(string, ...any) }, f *Fleet, body, label string, responses ...response) {
	n := 0
	for _, p := range f.Plains {
		n += p.Bookings(body)
	}
	notRun := 0
	for _, r := range responses {
		if r.runIs("not_run") {
			notRun++
		}
		if r.err == nil && r.code == 200 && !r.isBooking(body) {
			t.Fatalf("%s: truncated or misrouted response: %+v", label, r)
		}
		if r.isBooking(body) && n != 1 {
			t.Fatalf("%s: a response reports a booking, endpoints counted %d", label, n)
		}
	}
	if n > 1 || (n == 1 && notRun == len(responses)) {
		t.Fatalf("%s: endpoints counted %d bookings, responses %+v", label, n, responses)
	}
}

// maxStep bounds the positions at which a fault is injected. No connection of
// these tests has as many writes or reads, so the enumeration ends earlier.
const maxStep = 24

// Guards against a second booking, a false "not run" and a truncated response when
// one connection is closed or starts to drop traffic at any step of a call. A step
// is a write or read on a connection to the agent, the endpoint, the store or the
// entry. Calls run with and without an idempotency key; keyed calls are repeated at
// another entry.
func TestOnceAtEveryStep(t *testing.T) {
	triggeredSteps := map[string]int{}
	for _, target := range []string{"agent-0:80", "desk-0:80", "kv:80", "entry-0:80"} {
		for _, d := range []Direction{ToServer, ToClient} {
			for _, closeConn := range []bool{true, false} {
				for _, key := range []string{"", "k"} {
					for step := range maxStep {
						var triggered bool
						runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
							addEntry(t, f)
							setPlainFaults(f, plain.Faults{Delay: 300 * time.Millisecond})
							label := fmt.Sprintf("%s direction %d close %v key %q step %d", target, d, closeConn, key, step)
							n.SetFault(target, Fault{Direction: d, AfterOps: step, Close: closeConn})
							first := postAsync(f, 0, "van", key)
							time.Sleep(400 * time.Millisecond)
							triggered = n.FaultTriggered(target)
							responses := collect(first)
							n.SetFault(target, Fault{})
							if key != "" {
								responses = append(responses, <-postAsync(f, 1, "van", key))
								last := <-postAsync(f, 1, "van", key)
								checkAtMostOnce(t, f, "van", label, append(responses, last)...)
							}
							checkAtMostOnce(t, f, "van", label, responses...)
						})
						if !triggered {
							break
						}
						triggeredSteps[target]++
					}
				}
			}
		}
	}
	for target, n := range triggeredSteps {
		t.Logf("%s: faults triggered at %d steps", target, n)
		is.New(t).True(n > 0)
	}
}

// collect waits for a response for at most a minute. A caller gets none when its
// connection to the entry drops traffic.
func collect(c <-chan response) []response {
	select {
	case r := <-c:
		return []response{r}
	case <-time.After(time.Minute):
		return nil
	}
}

// Guards against calls with an idempotency key that run twice or lose their response
// in the situation that each case names.
func TestClaims(t *testing.T) {
	keyed := func(f *Fleet, e int) response { return <-postAsync(f, e, "van", "k") }
	for _, tc := range []struct {
		name string
		run  func(is *is.I, f *Fleet, n *MemoryNetwork) []response
	}{
		{"repeat later", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			a, b := keyed(f, 0), keyed(f, 1)
			is.True(a.isBooking("van"))
			is.Equal(a.body, b.body)
			return []response{a, b}
		}},
		{"result outlives the agents' retention", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			a := keyed(f, 0)
			time.Sleep(time.Hour)
			b := keyed(f, 1)
			is.Equal(a.body, b.body)
			return []response{a, b}
		}},
		{"race of two entries", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			setPlainFaults(f, plain.Faults{Delay: time.Second})
			c, d := postAsync(f, 0, "van", "k"), postAsync(f, 1, "van", "k")
			a, b := <-c, <-d
			is.True(a.isBooking("van"))
			is.Equal(a.body, b.body)
			return []response{a, b}
		}},
		{"different body with the same key", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			a := keyed(f, 0)
			b := <-postAsync(f, 1, "bike", "k")
			is.Equal(b.code, 422)
			is.Equal(totalCalls(f), 1)
			return []response{a}
		}},
		{"store responses lost", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			for i := range 3 {
				f.KV.SetFaults(kv.Faults{LoseWriteResponses: i + 1})
				a := <-postAsync(f, 0, fmt.Sprint("van", i), fmt.Sprint("k", i))
				time.Sleep(10 * time.Second)
				is.True(a.isBooking(fmt.Sprint("van", i)))
			}
			is.Equal(totalCalls(f), 3)
			return nil
		}},
		{"store down", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			f.KV.SetFaults(kv.Faults{Down: true})
			a := keyed(f, 0)
			is.Equal(a.code, 503)
			is.True(a.runIs("not_run"))
			is.Equal(totalCalls(f), 0)
			f.KV.SetFaults(kv.Faults{Delay: time.Minute})
			b := keyed(f, 0)
			is.True(b.runIs("not_run"))
			f.KV.SetFaults(kv.Faults{})
			is.True(keyed(f, 1).isBooking("van"))
			return nil
		}},
		{"agents unreachable until the revocation", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			setPlainFaults(f, plain.Faults{Delay: time.Second})
			c := postAsync(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			for _, ag := range f.Agents {
				n.Stop(ag.Address)
				time.AfterFunc(10*time.Second, func() { n.Restore(ag.Address) })
			}
			a := <-c
			is.True(!a.runIs("not_run")) // the revocation finds the attempt finished
			b := keyed(f, 1)
			is.True(b.isBooking("van"))
			return []response{a, b}
		}},
		{"agents unreachable for good", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			setPlainFaults(f, plain.Faults{Delay: time.Second})
			c := postAsync(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			for _, ag := range f.Agents {
				n.Stop(ag.Address)
			}
			a, b := <-c, keyed(f, 1)
			is.True(a.runIs("unknown"))
			is.True(b.runIs("unknown"))
			is.Equal(b.code, 409)
			return []response{a, b}
		}},
		{"response dropped by the endpoint", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			setPlainFaults(f, plain.Faults{DropResponses: 1})
			a, b := keyed(f, 0), keyed(f, 1)
			is.True(a.runIs("unknown") && b.runIs("unknown"))
			return []response{a, b}
		}},
		{"misrouted responses", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			// An endpoint misroutes the response of its previous call, so each one needs
			// a previous call.
			for i := 0; f.Plains["desk-0"].Total() == 0 || f.Plains["desk-1"].Total() == 0; i++ {
				is.True(i < 64)
				<-postAsync(f, 0, fmt.Sprint("warm", i), "")
			}
			setPlainFaults(f, plain.Faults{MisroutedResponses: 1})
			a := keyed(f, 0)
			is.True(a.runIs("unknown"))
			return []response{a, keyed(f, 1)}
		}},
		{"caller disconnects before the response", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			setPlainFaults(f, plain.Faults{Delay: time.Second})
			postAsync(f, 0, "van", "k")
			time.Sleep(500 * time.Millisecond)
			n.CloseConnections(f.Entries[0].Address)
			time.Sleep(time.Hour)
			b := keyed(f, 1)
			is.True(b.isBooking("van"))
			return []response{b}
		}},
		{"too many claims", func(is *is.I, f *Fleet, n *MemoryNetwork) []response {
			refused := 0
			for i := range 40 {
				if a := <-postAsync(f, 0, "van", fmt.Sprint("k", i)); a.runIs("not_run") {
					is.Equal(a.code, 503)
					refused++
				}
			}
			is.True(refused > 0)
			is.Equal(totalCalls(f)+refused, 40)
			return nil
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				addEntry(t, f)
				if responses := tc.run(is.New(t), f, n); responses != nil {
					checkAtMostOnce(t, f, "van", tc.name, responses...)
				}
			})
		})
	}
}

// Guards against a keyed call that needs more than two writes to the store, or a
// read for a first call. A repeat needs a failed write and a read.
func TestClaimCost(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		addEntry(t, f)
		<-postAsync(f, 0, "warm", "w") // the entry obtains its lease
		<-postAsync(f, 1, "warm", "v")
		time.Sleep(time.Second)
		calls := func() (txn, grant int) { return f.KV.Calls("/v3/kv/txn"), f.KV.Calls("/v3/lease/grant") }
		txn, grant := calls()
		is.True((<-postAsync(f, 0, "van", "k")).isBooking("van"))
		time.Sleep(100 * time.Millisecond)
		first, leases := calls()
		is.Equal(first-txn, 2)
		is.Equal(leases, grant)
		is.True((<-postAsync(f, 1, "van", "k")).isBooking("van"))
		repeat, _ := calls()
		is.Equal(repeat-first, 1)
		is.True((<-postAsync(f, 1, "bike", "")).isBooking("bike"))
		unkeyed, _ := calls()
		is.Equal(unkeyed, repeat)
	})
}

// Guards against an Open that the agent accepts although the entry was delayed for
// longer than the ticket lifetime after it got the ticket, here by the store.
// Another entry may have run the call in the meantime.
func TestDelayedOpenIsRefused(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
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
		is.True((<-postAsync(f, 1, "warm", "w")).isBooking("warm")) // the entry obtains its lease
		f.KV.SetFaults(kv.Faults{Delay: 1500 * time.Millisecond})
		a := <-postAsync(f, 1, "van", "k")
		is.True(a.runIs("not_run"))
		is.Equal(totalCalls(f), 1)
		f.KV.SetFaults(kv.Faults{})
		is.True((<-postAsync(f, 1, "van", "k")).isBooking("van"))
	})
}

// firstFailure keeps the first failure inside a synctest bubble, so that it can be
// reported to rapid outside.
type firstFailure struct{ text string }

func (f *firstFailure) Fatalf(format string, args ...any) {
	if f.text == "" {
		f.text = fmt.Sprintf(format, args...)
	}
}

// Guards against double bookings under several simultaneous faults.
func TestOnceUnderRandomFaults(t *testing.T) {
	is.New(t).NoErr(flag.Set("rapid.seed", "1"))
	targets := []string{"agent-0:80", "agent-1:80", "desk-0:80", "desk-1:80", "kv:80"}
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[string]Fault{}
		for _, target := range targets {
			faults[target] = Fault{Direction: Direction(rapid.IntRange(1, 3).Draw(rt, "direction")),
				AfterOps: rapid.IntRange(0, 20).Draw(rt, "after"), Close: rapid.Bool().Draw(rt, "close")}
		}
		gap := time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap_ms")) * time.Millisecond
		lostResponses := rapid.IntRange(0, 2).Draw(rt, "lost_responses")
		var found firstFailure
		runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			addEntry(t, f)
			setPlainFaults(f, plain.Faults{Delay: 300 * time.Millisecond})
			f.KV.SetFaults(kv.Faults{LoseWriteResponses: lostResponses})
			for target, fault := range faults {
				n.SetFault(target, fault)
			}
			c := postAsync(f, 0, "van", "k")
			time.Sleep(gap)
			responses := append(collect(c), collect(postAsync(f, 1, "van", "k"))...)
			responses = append(responses, collect(postAsync(f, 1, "van", "k"))...)
			checkAtMostOnce(&found, f, "van", "random", responses...)
		})
		if found.text != "" {
			rt.Fatalf("%s", found.text)
		}
	})
}
