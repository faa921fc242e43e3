package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/engine"
)

// maxSilence is the longest gap that a caller may see when a stream moves: the
// least predicted silence of 128 ms and a first token elsewhere.
const maxSilence = 200 * time.Millisecond

// longestGap reads a stream of the given length, strikes after the tenth token
// and returns the longest time between two tokens. It checks the whole text.
func longestGap(t *testing.T, f *Fleet, i, tokens int, strike func(engine int)) time.Duration {
	t.Helper()
	is := is.New(t)
	resp, r, want := stream(t, f, t.Context(), i, tokens)
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
			strike(n)
		}
	}
	is.Equal(streamedText(t, body), want)
	return longest
}

// Guards against a stream that stands still, or loses or repeats tokens, when
// its agent, its engine or its link falls silent after the first token.
func TestSilenceMidStream(t *testing.T) {
	type fault struct {
		name         string
		strike, undo func(f *Fleet, n *MemoryNetwork, i int)
	}
	link := func(d Direction) func(*Fleet, *MemoryNetwork, int) {
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
		{"link silent to the entry", link(ToClient), none},
		{"link silent to the agent", link(ToServer), none},
		{"link silent both ways", link(BothWays), none},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtual(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
				answered(t, f, 0, 1500, true) // the service's token gaps are known
				hit := 0
				timer := time.AfterFunc(time.Minute, func() { c.undo(f, n, hit) }) // a frozen engine would hold the stream for good
				gap := longestGap(t, f, 1, 1500, func(i int) { hit = i; c.strike(f, n, i) })
				if timer.Stop() {
					c.undo(f, n, hit)
				}
				t.Logf("longest gap at the caller: %s", gap)
				if gap > maxSilence {
					t.Errorf("longest gap at the caller: %s", gap)
				}
			})
		})
	}
}

// Guards against an engine that freezes often and moves more streams than the
// hedge budget allows, and against a paused agent whose streams wait for it.
func TestMovesKeepToTheBudget(t *testing.T) {
	const streams = 130 // the budget saves 96 moves and earns 5 in 100 requests
	still := func(t *testing.T, f *Fleet, strike, undo func(i int)) (n int) {
		answered(t, f, 0, 1500, true)
		for i := range streams {
			hit := 0
			timer := time.AfterFunc(time.Second, func() { undo(hit) })
			if longestGap(t, f, i, 30, func(i int) { hit = i; strike(i) }) > maxSilence {
				n++
			}
			if timer.Stop() {
				undo(hit)
			}
		}
		return n
	}
	virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		freeze := func(on bool) func(int) {
			return func(i int) { f.Engines[fmt.Sprintf("engine-%d", i)].SetFaults(engine.Faults{Frozen: on}) }
		}
		n := still(t, f, freeze(true), freeze(false))
		t.Logf("engine frozen: %d of %d streams waited", n, streams)
		is.New(t).True(n >= streams-96-streams/10)
	})
	virtual(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		waited := still(t, f, func(i int) { n.Pause(f.Agents[i].Address) }, func(i int) { n.Resume(f.Agents[i].Address) })
		t.Logf("agent paused: %d of %d streams waited", waited, streams)
		is.New(t).Equal(waited, 0)
	})
}
