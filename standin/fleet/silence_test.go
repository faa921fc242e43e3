package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/engine"
)

// maxTokenGap bounds the time between two tokens at the caller when a stream moves:
// the minimum token timeout of 128 ms and the time to first token at another engine.
const maxTokenGap = 200 * time.Millisecond

// longestGap reads a stream of the given length, calls inject with the index of its
// engine after the tenth token, and returns the longest time between two lines of
// the stream. It checks the complete text.
func longestGap(t *testing.T, f *Fleet, i, tokens int, inject func(engine int)) time.Duration {
	t.Helper()
	is := is.New(t)
	resp, r, want := openStream(t, f, t.Context(), i, tokens)
	defer resp.Body.Close()
	var n int
	_, err := fmt.Sscanf(resp.Header.Get("X-Citrontiller-Endpoint"), "engine-%d", &n)
	is.NoErr(err)
	var body string
	var longest time.Duration
	last := time.Now()
	for lines := 0; ; lines++ {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		longest = max(longest, time.Since(last))
		last = time.Now()
		body += line
		if lines == 20 {
			inject(n)
		}
	}
	is.Equal(completeText(t, body), want)
	return longest
}

// Guards against a stream that stalls, or loses or repeats tokens, when its agent,
// its engine or its link stops responding after the first token.
func TestSilenceMidStream(t *testing.T) {
	type fault struct {
		name         string
		inject, undo func(f *Fleet, n *MemoryNetwork, i int)
	}
	dropTraffic := func(d Direction) func(*Fleet, *MemoryNetwork, int) {
		return func(f *Fleet, n *MemoryNetwork, i int) { n.DropTraffic(f.Agents[i].Address, d) }
	}
	none := func(*Fleet, *MemoryNetwork, int) {}
	for _, c := range []fault{
		{"agent paused", func(f *Fleet, n *MemoryNetwork, i int) { n.Pause(f.Agents[i].Address) }, func(f *Fleet, n *MemoryNetwork, i int) { n.Resume(f.Agents[i].Address) }},
		{"engine frozen", func(f *Fleet, _ *MemoryNetwork, i int) {
			f.Engines[fmt.Sprintf("engine-%d", i)].SetFaults(engine.Faults{Frozen: true})
		}, func(f *Fleet, _ *MemoryNetwork, i int) {
			f.Engines[fmt.Sprintf("engine-%d", i)].SetFaults(engine.Faults{})
		}},
		{"link drops traffic to the entry", dropTraffic(ToClient), none},
		{"link drops traffic to the agent", dropTraffic(ToServer), none},
		{"link drops traffic both ways", dropTraffic(BothWays), none},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				checkChat(t, f, 0, 1500, true) // the entry has samples of the service's token gaps
				target := 0
				timer := time.AfterFunc(time.Minute, func() { c.undo(f, n, target) }) // otherwise a frozen engine blocks the stream indefinitely
				gap := longestGap(t, f, 1, 1500, func(i int) { target = i; c.inject(f, n, i) })
				if timer.Stop() {
					c.undo(f, n, target)
				}
				t.Logf("longest gap at the caller: %s", gap)
				if gap > maxTokenGap {
					t.Errorf("longest gap at the caller: %s", gap)
				}
			})
		})
	}
}

// Guards against an engine that freezes often and causes more moves of streams than
// the hedge budget allows, and against streams that wait for a paused agent.
func TestStreamMovesStayWithinBudget(t *testing.T) {
	const streams = 130 // the budget holds at most 96 moves and is refilled with 5 per 100 requests
	countStalled := func(t *testing.T, f *Fleet, inject, undo func(i int)) (n int) {
		checkChat(t, f, 0, 1500, true)
		for i := range streams {
			target := 0
			timer := time.AfterFunc(time.Second, func() { undo(target) })
			if longestGap(t, f, i, 30, func(i int) { target = i; inject(i) }) > maxTokenGap {
				n++
			}
			if timer.Stop() {
				undo(target)
			}
		}
		return n
	}
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		freeze := func(on bool) func(int) {
			return func(i int) { f.Engines[fmt.Sprintf("engine-%d", i)].SetFaults(engine.Faults{Frozen: on}) }
		}
		n := countStalled(t, f, freeze(true), freeze(false))
		t.Logf("engine frozen: %d of %d streams stalled", n, streams)
		is.New(t).True(n >= streams-96-streams/10)
	})
	runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		stalled := countStalled(t, f, func(i int) { n.Pause(f.Agents[i].Address) }, func(i int) { n.Resume(f.Agents[i].Address) })
		t.Logf("agent paused: %d of %d streams stalled", stalled, streams)
		is.New(t).Equal(stalled, 0)
	})
}
