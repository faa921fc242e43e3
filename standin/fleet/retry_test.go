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

// virtual runs a test on the in-memory network with virtual time. Before the
// fleet closes, revocations of cancelled attempts get time to finish.
func virtual(t *testing.T, test func(*testing.T, *Fleet, *MemoryNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		f := start(t, n)
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		test(t, f, n)
	})
}

// chat returns a request with its own prefix and the answer to expect.
func chat(i, tokens int, stream bool) (body, want string) {
	text := fmt.Sprintf("question %d", i)
	body = fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, text)
	return body, engine.Answer(fmt.Sprintf("<user>%q", text), tokens)
}

func answered(t *testing.T, f *Fleet, i, tokens int, stream bool) {
	t.Helper()
	is := is.New(t)
	body, want := chat(i, tokens, stream)
	code, got := post(t, f, "/v1/chat/completions", body)
	is.Equal(code, 200)
	if stream {
		is.Equal(streamedText(t, got), want)
		return
	}
	is.True(strings.Contains(got, want))
}

// Guards against an agent that is silent for longer than every timeout: a
// caller waits for the hedge delay and one normal answer.
func TestPausedAgentCostsHedgeDelay(t *testing.T) {
	virtual(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		for i := range 50 {
			answered(t, f, i, 3, true)
			answered(t, f, i, 3, false)
		}
		n.Pause(f.Agents[0].Address)
		var worst time.Duration
		for i := range 200 {
			begin := time.Now()
			answered(t, f, i, 3, i%2 == 0)
			worst = max(worst, time.Since(begin))
		}
		t.Logf("worst answer with one of two agents paused: %s", worst)
		if worst > 100*time.Millisecond {
			t.Errorf("an answer took %s", worst)
		}
		n.Resume(f.Agents[0].Address)
	})
}

// Guards against idempotent requests failing with an endpoint that crashes
// before it answers, and against whole answers that are delivered half.
func TestRetryOnCrash(t *testing.T) {
	virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		f.Engines["engine-0"].SetFaults(engine.Faults{Down: true})
		for i := range 40 {
			answered(t, f, i, 3, i%2 == 0)
		}
		f.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: 2})
		for i := range 40 {
			answered(t, f, i, 8, false)
		}
	})
}

// Guards against a frozen engine whose agent still answers.
func TestFrozenEngine(t *testing.T) {
	virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		f.Engines["engine-0"].SetFaults(engine.Faults{Frozen: true})
		for i := range 40 {
			answered(t, f, i, 3, true)
		}
		f.Engines["engine-0"].SetFaults(engine.Faults{})
	})
}
