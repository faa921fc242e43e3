package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/internal/testcpu"
)

// recorder is an Observer that records what it is told.
type recorder struct {
	reports  []Report
	cleared  []Key
	blocks   []Block
	probes   []Block
	released []Part
}

func (r *recorder) CrashObserved(report Report, _ []Part) { r.reports = append(r.reports, report) }
func (r *recorder) PartsCleared(keys []Key, _ []Part)     { r.cleared = append(r.cleared, keys...) }
func (r *recorder) PartBlocked(b Block)                   { r.blocks = append(r.blocks, b) }
func (r *recorder) PartProbed(b Block)                    { r.probes = append(r.probes, b) }
func (r *recorder) PartReleased(p Part, _ ReleaseCause)   { r.released = append(r.released, p) }

// at returns a time of the test.
func at(ms int) time.Time { return time.UnixMilli(1e9 + int64(ms)) }

// prompt returns the parts of a prompt.
func prompt(ids ...string) []Part {
	var out []Part
	for _, id := range ids {
		out = append(out, Part{Service: "s", ID: id})
	}
	return out
}

func crash(n int) Crash { return Crash{Endpoint: fmt.Sprint("i-", n), BootID: "1"} }

// crashWith sends a request at a time and reports a crash 100 ms later.
func crashWith(t *Tracker, n, ms int, ids ...string) {
	t.Enter(prompt(ids...), at(ms)).Pass.Crashed(crash(n), at(ms+100))
}

// Guards against requests that crash one endpoint after the other: the second crash, that
// of the trial, must be the last.
func TestPartIsBlockedAfterTrialCrashes(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	crashWith(q, 1, 0, "shop", "deadly")
	is.Equal(q.Enter(prompt("shop", "deadly"), at(200)).Verdict, Wait) // the crash may not be known everywhere
	q.Enter(prompt("shop", "guide"), at(310)).Pass.Started(at(400))
	crashWith(q, 2, 400, "shop", "deadly")
	d := q.Enter(prompt("shop", "deadly"), at(800))
	is.Equal(d.Verdict, Blocked)
	is.Equal(d.Part, Part{"s", "deadly"})
	is.Equal(q.Enter(prompt("shop", "guide"), at(800)).Verdict, Allowed)
	is.Equal(len(seen.blocks), 1)
	is.Equal(seen.blocks[0].Crashes, []Crash{crash(1), crash(2)})
}

// Guards against blocking a part that many requests share because several endpoints crash
// together for another reason.
func TestCrashesForOtherReasonsBlockNothing(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	var passes []*Pass
	for range 6 {
		passes = append(passes, q.Enter(prompt("shop", "guide"), at(0)).Pass)
	}
	for i, p := range passes {
		p.Crashed(crash(i), at(50+i))
	}
	d := q.Enter(prompt("shop", "guide"), at(400))
	is.Equal(d.Verdict, Allowed)
	d.Pass.Started(at(500))
	is.Equal(seen.cleared, []Key{Part{"s", "shop"}.Key(), Part{"s", "guide"}.Key()})
	is.Equal(len(seen.blocks), 0)
	suspects, _ := q.Counts()
	is.Equal(suspects, 0)
}

// Guards against holding back all requests of a hot part after a crash that it can't have
// caused: other responses to it have started meanwhile.
func TestPartWithOtherResponsesIsNoSuspect(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	victim := q.Enter(prompt("shop", "rare"), at(0)).Pass
	q.Enter(prompt("shop"), at(10)).Pass.Started(at(50))
	victim.Crashed(crash(1), at(100))
	is.Equal(q.Enter(prompt("shop"), at(110)).Verdict, Allowed)
	is.Equal(q.Enter(prompt("rare"), at(110)).Verdict, Wait)
}

// Guards against several requests with the same suspect that crash several endpoints at
// once, and against a trial without an end that holds back all others.
func TestTrialsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	crashWith(q, 1, 0, "deadly")
	trial := q.Enter(prompt("deadly"), at(400))
	is.Equal(trial.Verdict, Allowed)
	is.Equal(q.Enter(prompt("deadly"), at(500)).Verdict, Wait)
	trial.Pass.End() // refused by the endpoint
	is.Equal(q.Enter(prompt("deadly"), at(600)).Verdict, Allowed)
	is.Equal(q.Enter(prompt("deadly"), at(700)).Verdict, Wait)
	is.Equal(q.Enter(prompt("deadly"), at(600).Add(trialTime)).Verdict, Allowed)
}

// Guards against blocking the part that many requests share when two parts have been in
// the same crashes, and against crashes without end if it was that part after all.
func TestDeepestOfEqualSuspectsIsBlockedFirst(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	crashWith(q, 1, 0, "shop", "deadly", "a")
	crashWith(q, 2, 1000, "shop", "deadly", "a")
	is.Equal(q.Enter(prompt("shop", "deadly", "a"), at(2000)).Part, Part{"s", "a"})
	q.Enter(prompt("shop", "guide"), at(2000)).Pass.Started(at(2100))
	crashWith(q, 3, 3000, "shop", "deadly", "b")
	is.Equal(q.Enter(prompt("shop", "deadly", "b"), at(4000)).Part, Part{"s", "deadly"})
	is.Equal(q.Enter(prompt("shop", "b"), at(4000)).Verdict, Allowed) // its only crash is explained
	is.Equal(len(seen.blocks), 2)
}

// Guards against a sound part that is blocked because its trial ran at an endpoint that a
// deadly one crashed: responses to it have been seen before.
func TestTrialBesideDeadlyOneIsNotBlocked(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	q.Enter(prompt("sound"), at(0)).Pass.Started(at(100))
	sound, deadly := q.Enter(prompt("sound"), at(200)).Pass, q.Enter(prompt("deadly"), at(200)).Pass
	sound.Crashed(crash(1), at(300))
	deadly.Crashed(crash(1), at(300))
	sound, deadly = q.Enter(prompt("sound"), at(600)).Pass, q.Enter(prompt("deadly"), at(600)).Pass
	sound.Crashed(crash(2), at(700))
	deadly.Crashed(crash(2), at(700))
	is.Equal(q.Enter(prompt("sound"), at(1000)).Verdict, Allowed)
	is.Equal(q.Enter(prompt("deadly"), at(1000)).Verdict, Blocked)
}

// Guards against a block without an end, and against one that an operator can't end.
func TestBlockEnds(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	fresh, _ := q.ApplyBlock(Block{Part: Part{"s", "a"}, Until: at(1000)})
	is.True(fresh)
	fresh, _ = q.ApplyBlock(Block{Part: Part{"s", "a"}, Until: at(1000)})
	is.True(!fresh) // known already
	is.Equal(q.Enter(prompt("a"), at(999)).Verdict, Blocked)
	is.Equal(q.Enter(prompt("a"), at(1000)).Verdict, Allowed)
	q.ApplyBlock(Block{Part: Part{"s", "b"}, Until: at(9000)})
	q.Unblock(Part{"s", "b"})
	is.Equal(q.Enter(prompt("b"), at(0)).Verdict, Allowed)
}

// Guards against unbounded memory when callers send many parts that crash endpoints.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	for i := range 3 * maxSuspects / longPrompt {
		crashWith(q, i, i, partIDs("p", i*longPrompt, longPrompt)...)
	}
	suspects, _ := q.Counts()
	is.Equal(suspects, maxSuspects)
}

// longPrompt is about the number of parts that fit 16 KiB of headers.
const longPrompt = 1024

// partIDs returns n ids of parts.
func partIDs(prefix string, from, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(prefix, from+i))
	}
	return out
}

// Guards against a block that rests on crashes of which suspects were forgotten: one of
// those may have caused them, and the parts that happen to be remembered are sound.
func TestIncompleteEvidenceBlocksNothing(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	for i := range 2 * undecidedCrashes {
		crashWith(q, i, 1000*i, "sound", "guide")
		// The crash ends other requests as well, and has more suspects than are remembered.
		for j := range 1 + maxSuspects/longPrompt {
			q.ApplyReport(Report{Crash: crash(i), Suspects: reported(partIDs(fmt.Sprint(i, "-", j, "-"), 0, longPrompt))}, at(1000*i+150))
		}
	}
	is.Equal(q.Enter(prompt("sound", "guide"), at(1e5)).Verdict, Allowed)
	is.Equal(len(seen.blocks), 0)
}

// reported returns parts as they are reported.
func reported(ids []string) []Suspect {
	var out []Suspect
	for _, p := range prompt(ids...) {
		out = append(out, Suspect{Key: p.Key()})
	}
	return out
}

// Guards against a sound part that stays blocked although crashes went on: the part that
// explains those and its own ends its block, also at other gateways.
func TestBlockEndsWhenAnotherPartExplainsMore(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	crashWith(q, 1, 0, "shop", "deadly", "a")
	crashWith(q, 2, 1000, "shop", "deadly", "a")
	is.Equal(q.Enter(prompt("shop", "deadly", "a"), at(2000)).Part, Part{"s", "a"}) // the deepest
	q.Enter(prompt("shop", "guide"), at(2000)).Pass.Started(at(2100))
	crashWith(q, 3, 3000, "shop", "deadly", "b")
	is.Equal(q.Enter(prompt("shop", "deadly", "b"), at(4000)).Part, Part{"s", "deadly"})
	is.Equal(seen.released, prompt("a"))
	is.Equal(q.Enter(prompt("shop", "a"), at(4000)).Verdict, Allowed)

	var other recorder
	peer := New(&other)
	_, _ = peer.ApplyBlock(seen.blocks[0])
	_, released := peer.ApplyBlock(seen.blocks[1])
	is.Equal(released, prompt("a"))
	fresh, _ := peer.ApplyBlock(seen.blocks[0]) // read from the store late
	is.True(!fresh)
	is.Equal(peer.Enter(prompt("shop", "a"), at(4000)).Verdict, Allowed)
}

// Guards against evidence that is lost when a block is learnt once more, such as the own one
// from the store, with an end that was rounded: the part that explains its crashes as well was
// no suspect any more, and crashed another endpoint before it was blocked.
func TestBlockLearntAgainKeepsEvidence(t *testing.T) {
	is := is.New(t)
	var seen recorder
	q := New(&seen)
	crashWith(q, 1, 0, "deadly", "sound")
	crashWith(q, 2, 1000, "deadly", "sound")
	is.Equal(q.Enter(prompt("deadly", "sound"), at(2000)).Part.ID, "sound") // the deepest
	again := seen.blocks[0]
	again.Until = again.Until.Add(time.Millisecond)
	fresh, released := q.ApplyBlock(again)
	is.True(!fresh)
	is.Equal(len(released), 0)
	is.True(q.IsBlocked(again.Part, again.Until.Add(-1))) // the later end counts
	crashWith(q, 3, 3000, "deadly", "other")
	d := q.Enter(prompt("deadly", "other"), at(4000))
	is.Equal(d.Verdict, Blocked)
	is.Equal(d.Part.ID, "deadly")
}

// Guards against decisions that take long while many parts are suspects: all requests wait
// for them.
func TestManySuspectsAreDecidedFast(t *testing.T) {
	is := is.New(t)
	q := New(&recorder{})
	for i := range maxSuspects / longPrompt {
		ids := partIDs(fmt.Sprint(i, "-"), 0, longPrompt)
		for n := range undecidedCrashes - 1 { // parts of different prompts explain them as well
			q.ApplyReport(Report{Crash: crash(n), Suspects: trials(ids)}, at(1000*n))
		}
	}
	const entries = 20
	parts := prompt(partIDs("0-", 0, longPrompt)...)
	const limit = entries * 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) { // where time passes only in waits
		start, before := time.Now(), testcpu.Used(t)
		for i := range entries {
			is.Equal(q.Enter(parts, at(10000+i)).Verdict == Blocked, false)
		}
		is.True(testcpu.Used(t)-before+time.Since(start) < limit)
	})
}

// trials returns parts as they are reported of a trial.
func trials(ids []string) []Suspect {
	out := reported(ids)
	for i := range out {
		out[i].Trial = true
	}
	return out
}
