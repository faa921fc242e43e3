package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocked returns a tracker that has blocked the part "a" after crashes at 100 and 1100 ms, and
// what it has told.
func blocked(t *testing.T) (*Tracker, *recorder) {
	t.Helper()
	seen := &recorder{}
	q := New(seen)
	crashWith(q, 1, 0, "a")
	crashWith(q, 2, 1000, "a")
	if v := q.Enter(prompt("a"), at(1400)).Verdict; v != Blocked {
		t.Fatalf("verdict %d", v)
	}
	return q, seen
}

// firstProbe is when the part of blocked may be probed.
var firstProbe = at(1100).Add(FirstProbeInterval)

// Guards against a block that lasts although its part is sound, at the gateway that has sent the
// probe and at others, and against one that a late copy puts in force again.
func TestStartedProbeEndsBlock(t *testing.T) {
	is := is.New(t)
	q, seen := blocked(t)
	peer := New(&recorder{})
	peer.ApplyBlock(seen.blocks[0])
	is.Equal(q.Enter(prompt("a"), firstProbe.Add(-1)).Verdict, Blocked)
	probe := q.Enter(prompt("a", "b"), firstProbe)
	is.Equal(probe.Verdict, Allowed)
	probe.Pass.Sent(firstProbe)
	probe.Pass.Started(firstProbe.Add(time.Second))
	is.Equal(seen.released, prompt("a"))
	is.Equal(seen.cleared, []Key{Part{"s", "a"}.Key()})
	is.Equal(q.Enter(prompt("a"), firstProbe.Add(time.Second)).Verdict, Allowed)

	known, released := peer.Clear(seen.cleared[0])
	is.True(known)
	is.Equal(released, prompt("a"))
	fresh, _ := peer.ApplyBlock(seen.blocks[0]) // read from the store late
	is.True(!fresh)
	is.Equal(peer.Enter(prompt("a"), firstProbe).Verdict, Allowed)
	later := seen.blocks[0]
	later.Until = later.Until.Add(2 * FirstProbeInterval)
	fresh, _ = peer.ApplyBlock(later) // decided anew
	is.True(fresh)
}

// Guards against a block that lasts although a response to a request that was sent before has
// started since.
func TestEarlierRequestEndsBlock(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	slow := q.Enter(prompt("a"), at(0)).Pass
	crashWith(q, 1, 0, "a")
	crashWith(q, 2, 1000, "a")
	is.Equal(q.Enter(prompt("a"), at(1400)).Verdict, Blocked)
	slow.Started(at(1500))
	is.Equal(q.Enter(prompt("a"), at(1500)).Verdict, Allowed)
}

// Guards against several probes at a time, and against a probe that counts although no request
// was sent.
func TestProbesRunOneAtATime(t *testing.T) {
	is := is.New(t)
	q, seen := blocked(t)
	peer := New(&recorder{})
	peer.ApplyBlock(seen.blocks[0])
	probe := q.Enter(prompt("a"), firstProbe)
	is.Equal(q.Enter(prompt("a"), firstProbe).Verdict, Blocked)
	probe.Pass.End() // no endpoint was available
	probe = q.Enter(prompt("a"), firstProbe)
	is.Equal(probe.Verdict, Allowed)
	probe.Pass.Sent(firstProbe)
	is.Equal(len(seen.probes), 1)
	fresh, _ := peer.ApplyBlock(seen.probes[0])
	is.True(fresh)
	probe.Pass.End() // refused by the endpoint, so nothing is known
	second := firstProbe.Add(probeBackoff * FirstProbeInterval)
	for _, gateway := range []*Tracker{q, peer} {
		d := gateway.Enter(prompt("a"), second.Add(-1))
		is.Equal(d.Verdict, Blocked)
		is.Equal(d.Until, second) // callers may return then
		is.Equal(gateway.Enter(prompt("a"), second).Verdict, Allowed)
	}
}

// Guards against probes that go on crashing endpoints at the same rate, and against a late copy
// of a block that brings the next one forward.
func TestCrashedProbeExtendsBlock(t *testing.T) {
	is := is.New(t)
	q, seen := blocked(t)
	probe := q.Enter(prompt("a"), firstProbe)
	probe.Pass.Sent(firstProbe)
	crashedAt := firstProbe.Add(time.Second)
	probe.Pass.Crashed(crash(3), crashedAt)
	is.Equal(len(seen.blocks), 2)
	b := seen.blocks[1]
	is.Equal(b.Crashes, []Crash{crash(1), crash(2), crash(3)})
	is.Equal(b.Until, crashedAt.Add(BlockTime))
	second := crashedAt.Add(probeBackoff * crashBackoff * FirstProbeInterval)
	is.Equal(b.ProbeAt, second)
	suspects, blocks := q.Counts()
	is.Equal(suspects, 0)
	is.Equal(blocks, 1)
	for _, late := range []Block{seen.blocks[0], seen.probes[0]} {
		fresh, _ := q.ApplyBlock(late)
		is.True(!fresh)
	}
	is.Equal(q.Enter(prompt("a"), second.Add(-1)).Verdict, Blocked)
	is.Equal(q.Enter(prompt("a"), second).Verdict, Allowed)
}

// Guards against a probe of each gateway at the same time.
func TestProbesGoByTurn(t *testing.T) {
	is := is.New(t)
	q, _ := blocked(t)
	q.ProbeTurn = func(Key) int { return 3 }
	is.Equal(q.Enter(prompt("a"), firstProbe.Add(3*probeTurnTime-1)).Verdict, Blocked)
	is.Equal(q.Enter(prompt("a"), firstProbe.Add(3*probeTurnTime)).Verdict, Allowed)
}

// Guards against a probe with another part that is blocked and not due.
func TestProbeMustNotCarryBlockedPart(t *testing.T) {
	is := is.New(t)
	q, _ := blocked(t)
	q.ApplyBlock(Block{Part: Part{"s", "b"}, Until: firstProbe.Add(time.Minute), ProbeAt: firstProbe.Add(time.Second), ProbeInterval: time.Second})
	d := q.Enter(prompt("a", "b"), firstProbe)
	is.Equal(d.Verdict, Blocked)
	is.Equal(d.Part, Part{"s", "b"})
	is.Equal(q.Enter(prompt("a"), firstProbe).Verdict, Allowed) // the refused one was no probe
}
