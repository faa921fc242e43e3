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

// Guards against a late response, of a request that was meanwhile retried
// elsewhere, which reaches its caller a second time or reaches another caller.
func TestLateResponses(t *testing.T) {
	for name, delay := range map[string]func(f *Fleet, n *MemoryNetwork) (release func()){
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
			runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				for i := range 20 {
					checkChat(t, f, i, 3, i%2 == 0)
				}
				release := delay(f, n)
				for i := range 20 {
					checkChat(t, f, i, 30, i%2 == 0)
				}
				go func() { time.Sleep(5 * time.Millisecond); release() }()
				for i := range 60 { // the late responses arrive during these requests
					checkChat(t, f, i, 5, i%2 == 0)
				}
			})
		})
	}
}

// Guards against a response on the wrong stream when connections to endpoints are
// reused after cancelled requests.
func TestNoMisroutedResponseAfterCancel(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		var wg sync.WaitGroup
		for w := range 16 {
			wg.Go(func() {
				for i := range 20 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(w+i)*time.Millisecond)
					abandoned, _ := chatRequest(1000*w+i, 30, i%2 == 0)
					req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.Entries[0].Address+"/v1/chat/completions", strings.NewReader(abandoned))
					req.Header.Set("Authorization", "Bearer secret")
					if resp, err := f.Client().Do(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					cancel()
					checkChat(t, f, 100_000+1000*w+i, 5, i%2 == 0)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against a stream that ends early without an error at a slow caller,
// whether the caller blocks for less or for longer than the write timeout.
func TestSlowReader(t *testing.T) {
	const tokens = 5000 // 900 kB, more than all buffers on the path hold
	for _, c := range []struct {
		pause time.Duration
		whole bool
	}{{5 * time.Second, true}, {2 * time.Minute, false}} {
		runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
			is := is.New(t)
			resp, r, want := openStream(t, f, t.Context(), 1, tokens)
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

// mixedRequest sends request i of a random run, a booking or a completion, and
// returns a description of the error in its response, or an empty string.
func mixedRequest(f *Fleet, i int) (wrong string) {
	if i%4 == 0 {
		body := fmt.Sprintf("van-%d", i)
		code, got, err := tryPost(f, 0, "/book", body, "")
		n := f.Plains["desk-0"].Bookings(body) + f.Plains["desk-1"].Bookings(body)
		r := response{code, got, err}
		if n > 1 || (r.runIs("not_run") && n > 0) || (err == nil && code == 200 && !r.isBooking(body)) {
			return fmt.Sprintf("booking %d: counted %d, response %+v", i, n, r)
		}
		return ""
	}
	streamed := i%2 == 0
	body, want := chatRequest(i, 20, streamed)
	code, got, err := f.postChat("secret", body)
	switch text, done := StreamedText(got); {
	case err != nil || code != 200: // an explicit failure
	case streamed && done && text == want, streamed && strings.Contains(got, "event: error\n") && strings.HasPrefix(want, text):
	case !streamed && strings.Contains(got, `"content":"`+want+`"`):
	default:
		return fmt.Sprintf("completion %d: got %q, want %q", i, got, want)
	}
	return ""
}

// Guards against a misrouted, spliced or silently truncated response to any of 200
// concurrent callers under random faults of connections and endpoints.
func TestNoMisroutedResponseUnderRandomFaults(t *testing.T) {
	is := is.New(t)
	is.NoErr(flag.Set("rapid.seed", "1"))
	is.NoErr(flag.Set("rapid.checks", "6"))
	defer func() { is.NoErr(flag.Set("rapid.checks", "100")) }()
	targets := []string{"agent-0:80", "agent-1:80", "engine-0:80", "engine-1:80", "desk-0:80", "desk-1:80"}
	passed, checked := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[string]Fault{}
		for _, target := range targets {
			faults[target] = Fault{Direction: Direction(rapid.IntRange(1, 3).Draw(rt, "direction")),
				AfterOps: rapid.IntRange(0, 400).Draw(rt, "after"), Close: rapid.Bool().Draw(rt, "close")}
		}
		crashAfterTokens := rapid.IntRange(0, 25).Draw(rt, "crash_after_tokens")
		misroutedResponses := rapid.IntRange(0, 3).Draw(rt, "misrouted_responses")
		var found firstFailure
		runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			f.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: crashAfterTokens})
			f.Plains["desk-0"].SetFaults(plain.Faults{Delay: 20 * time.Millisecond, MisroutedResponses: misroutedResponses})
			for target, fault := range faults {
				n.SetFault(target, fault)
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range 200 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Millisecond)
					wrong := mixedRequest(f, i)
					mu.Lock()
					defer mu.Unlock()
					checked++
					if wrong != "" {
						found.Fatalf("%s", wrong)
					} else {
						passed++
					}
				})
			}
			wg.Wait()
		})
		if found.text != "" {
			rt.Fatalf("%s", found.text)
		}
	})
	t.Logf("%d of %d responses passed the check", passed, checked)
}
