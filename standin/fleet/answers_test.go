package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// Guards against an answer that arrives after its request was repeated
// elsewhere and reaches its caller a second time, or another caller.
func TestLateAnswers(t *testing.T) {
	for name, hold := range map[string]func(f *Fleet, n *MemoryNetwork) (release func()){
		"frozen engine": func(f *Fleet, _ *MemoryNetwork) func() {
			f.Engines["engine-0"].SetFaults(engine.Faults{Frozen: true})
			return func() { f.Engines["engine-0"].SetFaults(engine.Faults{}) }
		},
		"paused agent": func(f *Fleet, n *MemoryNetwork) func() {
			n.Pause(f.Agents[0].Address)
			return func() { n.Resume(f.Agents[0].Address) }
		},
		"paused path to the engine": func(_ *Fleet, n *MemoryNetwork) func() {
			n.Pause("engine-0:80")
			return func() { n.Resume("engine-0:80") }
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				for i := range 20 {
					answered(t, f, i, 3, i%2 == 0)
				}
				release := hold(f, n)
				for i := range 20 {
					answered(t, f, i, 30, i%2 == 0)
				}
				go func() { time.Sleep(5 * time.Millisecond); release() }()
				for i := range 60 { // the late answers arrive among these
					answered(t, f, i, 5, i%2 == 0)
				}
			})
		})
	}
}

// Guards against an answer on the wrong stream when connections to endpoints
// are used again after cancelled requests.
func TestNoCrossingAfterCancel(t *testing.T) {
	virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		var wg sync.WaitGroup
		for w := range 16 {
			wg.Go(func() {
				for i := range 20 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(w+i)*time.Millisecond)
					left, _ := chat(1000*w+i, 30, i%2 == 0)
					req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.Entries[0].Address+"/v1/chat/completions", strings.NewReader(left))
					req.Header.Set("Authorization", "Bearer secret")
					if resp, err := f.Client().Do(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					cancel()
					answered(t, f, 100_000+1000*w+i, 5, i%2 == 0)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against a stream that ends early without an error at a caller that
// reads slowly, be it within the time a caller may block or beyond.
func TestSlowReader(t *testing.T) {
	const tokens = 5000 // 900 kB, beyond every buffer on the way
	for _, c := range []struct {
		pause time.Duration
		whole bool
	}{{5 * time.Second, true}, {2 * time.Minute, false}} {
		virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
			is := is.New(t)
			resp, r, want := stream(t, f, t.Context(), 1, tokens)
			defer resp.Body.Close()
			time.Sleep(c.pause)
			body, err := io.ReadAll(r)
			text, done := StreamedText(string(body))
			is.True(strings.HasPrefix(want, text))
			is.Equal(done && text == want, c.whole)
			is.Equal(err == nil, c.whole) // a short stream must end with a broken connection
		})
	}
}

// mixed is one of the requests of a random run; check returns what is wrong
// with its answer.
func mixed(f *Fleet, i int) (wrong string) {
	if i%4 == 0 {
		body := fmt.Sprintf("van-%d", i)
		code, got, err := tryPost(f, 0, "/book", body, "")
		n := f.Plains["desk-0"].Bookings(body) + f.Plains["desk-1"].Bookings(body)
		a := answer{code, got, err}
		if n > 1 || (a.says("not_run") && n > 0) || (err == nil && code == 200 && !a.booked(body)) {
			return fmt.Sprintf("booking %d: counted %d, answer %+v", i, n, a)
		}
		return ""
	}
	streamed := i%2 == 0
	body, want := chat(i, 20, streamed)
	code, got, err := f.ask("secret", body)
	switch text, done := StreamedText(got); {
	case err != nil || code != 200: // an explicit failure
	case streamed && done && text == want, streamed && strings.Contains(got, "event: error\n") && strings.HasPrefix(want, text):
	case !streamed && strings.Contains(got, `"content":"`+want+`"`):
	default:
		return fmt.Sprintf("completion %d: got %q, want %q", i, got, want)
	}
	return ""
}

// Guards against a foreign, spliced or silently short answer at any of 200
// concurrent callers under random faults of every connection and endpoint.
func TestOwnAnswerUnderRandomFaults(t *testing.T) {
	is := is.New(t)
	is.NoErr(flag.Set("rapid.seed", "1"))
	is.NoErr(flag.Set("rapid.checks", "6"))
	defer func() { is.NoErr(flag.Set("rapid.checks", "100")) }()
	targets := []string{"agent-0:80", "agent-1:80", "engine-0:80", "engine-1:80", "desk-0:80", "desk-1:80"}
	good, all := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[string]Fault{}
		for _, target := range targets {
			faults[target] = Fault{Direction: Direction(rapid.IntRange(1, 3).Draw(rt, "direction")),
				AfterOps: rapid.IntRange(0, 400).Draw(rt, "after"), Close: rapid.Bool().Draw(rt, "cut")}
		}
		crash := rapid.IntRange(0, 25).Draw(rt, "crash_after_tokens")
		cross := rapid.IntRange(0, 3).Draw(rt, "crossed")
		var found failure
		simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			f.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: crash})
			f.Plains["desk-0"].SetFaults(plain.Faults{Delay: 20 * time.Millisecond, MisroutedResponses: cross})
			for target, fault := range faults {
				n.SetFault(target, fault)
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range 200 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Millisecond)
					wrong := mixed(f, i)
					mu.Lock()
					defer mu.Unlock()
					all++
					if wrong != "" {
						found.Fatalf("%s", wrong)
					} else {
						good++
					}
				})
			}
			wg.Wait()
		})
		if found.text != "" {
			rt.Fatalf("%s", found.text)
		}
	})
	t.Logf("%d of %d answers checked without a fault", good, all)
}
