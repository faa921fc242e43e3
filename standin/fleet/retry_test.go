package fleet

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/engine"
)

// runInBubble runs a test on an in-memory network in virtual time. It waits 10 s
// before it closes the fleet, so that revocations of cancelled attempts can finish.
func runInBubble(t *testing.T, test func(*testing.T, *Fleet, *MemoryNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		f := start(t, n)
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		test(t, f, n)
	})
}

// chatRequest returns a chat request with a prompt of its own and the expected text.
func chatRequest(i, tokens int, stream bool) (body, want string) {
	text := fmt.Sprintf("question %d", i)
	body = fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, text)
	return body, engine.Output(fmt.Sprintf("<user>%q", text), tokens)
}

// checkChat sends chat request i and fails the test unless the response is complete
// and correct.
func checkChat(t *testing.T, f *Fleet, i, tokens int, stream bool) {
	t.Helper()
	is := is.New(t)
	body, want := chatRequest(i, tokens, stream)
	code, got := post(t, f, "/v1/chat/completions", body)
	is.Equal(code, 200)
	if stream {
		is.Equal(completeText(t, got), want)
		return
	}
	is.True(strings.Contains(got, want))
}

// Guards against an agent that is paused for longer than every timeout and delays
// callers by more than the hedge delay and one normal response.
func TestPausedAgentCostsHedgeDelay(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		for i := range 50 {
			checkChat(t, f, i, 3, true)
			checkChat(t, f, i, 3, false)
		}
		n.Pause(f.Agents[0].Address)
		var worst time.Duration
		for i := range 200 {
			begin := time.Now()
			checkChat(t, f, i, 3, i%2 == 0)
			worst = max(worst, time.Since(begin))
		}
		t.Logf("slowest response with one of two agents paused: %s", worst)
		if worst > 100*time.Millisecond {
			t.Errorf("a response took %s", worst)
		}
		n.Resume(f.Agents[0].Address)
	})
}

// Guards against idempotent requests that fail when their endpoint crashes before it
// responds, and against non-streamed responses that are truncated.
func TestRetryOnCrash(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		f.Engines["engine-0"].SetFaults(engine.Faults{Down: true})
		for i := range 40 {
			checkChat(t, f, i, 3, i%2 == 0)
		}
		f.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: 2})
		for i := range 40 {
			checkChat(t, f, i, 8, false)
		}
	})
}

// Guards against requests that hang at a frozen engine while its agent still
// responds.
func TestFrozenEngine(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		f.Engines["engine-0"].SetFaults(engine.Faults{Frozen: true})
		for i := range 40 {
			checkChat(t, f, i, 3, true)
		}
		f.Engines["engine-0"].SetFaults(engine.Faults{})
	})
}
