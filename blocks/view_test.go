package blocks

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var prompt = []Level{{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: 200}}

// stored returns the event that a request with prompt causes at an empty cache.
func stored(seq uint64, boot string) Event {
	return Event{Seq: seq, BootID: boot, Kind: Stored, RequestID: "r", Blocks: []Block{{11, 64}, {12, 128}, {13, 192}}}
}

// Guards against a wrong mapping of levels to blocks, and against removed blocks
// that stay in the view.
func TestLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := NewView()
		v.RegisterRequest("r", prompt)
		v.Apply(stored(1, "b"))
		is.Equal(v.CachedTokens(prompt), int64(192))
		is.Equal(v.CachedTokens(prompt[:1]), int64(64))
		time.Sleep(4 * time.Second)
		v.Apply(Event{Seq: 2, BootID: "b", Kind: Removed, Blocks: []Block{{Hash: 13}}})
		is.Equal(v.CachedTokens(prompt), int64(64))
		is.Equal(v.Stats().Lifetime, 4*time.Second)
	})
}

// Guards against a confidence that ignores gaps in the stream or is not restored by
// reports of the engine, and against events that are applied twice.
func TestGapsAndDuplicates(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.RegisterRequest("r", prompt)
	v.Apply(stored(1, "b"))
	v.Apply(Event{Seq: 2, BootID: "b", Kind: Removed, Blocks: []Block{{Hash: 13}}})
	v.Apply(stored(1, "b")) // a late duplicate must not restore block 13
	is.Equal(v.CachedTokens(prompt), int64(64))
	v.Apply(Event{Seq: 9, BootID: "b", Kind: Removed})
	is.Equal(v.CachedTokens(prompt), int64(57))
	for range 50 {
		v.Reconcile(prompt, v.CachedTokens(prompt), 64)
	}
	is.True(v.CachedTokens(prompt) >= 63)
	v.Reconcile(prompt, v.CachedTokens(prompt), 0) // the event of its removal was lost
	is.Equal(v.CachedTokens(prompt), int64(0))
	is.Equal(v.Stats().Gaps, uint64(1))
	is.Equal(v.Stats().Duplicates, uint64(1))
}

// Guards against expecting blocks that an earlier run of the engine stored or that
// were computed with other weights.
func TestRestartAndVersion(t *testing.T) {
	is := is.New(t)
	change := map[string]func(*View){
		"new boot id in an event":                func(v *View) { v.Apply(Event{Seq: 1, BootID: "c", Kind: Removed}) },
		"new boot id in a report":                func(v *View) { v.SetEngine("c", "v1") },
		"new version in a report":                func(v *View) { v.SetEngine("b", "v2") },
		"cleared cache":                          func(v *View) { v.Apply(Event{Seq: 2, BootID: "b", Kind: Cleared}) },
		"restart after a higher sequence number": func(v *View) { v.Apply(stored(50, "b")); v.SetEngine("c", "v1") },
	}
	late := func(v *View) {
		v.SetEngine("c", "v1")
		v.Apply(stored(9, "b"))
		v.SetEngine("b", "v1")
		v.Apply(stored(10, "b"))
	}
	change["late event and report of an earlier run"] = late
	for name, f := range change {
		v := NewView()
		v.SetEngine("b", "v1")
		v.RegisterRequest("r", prompt)
		v.Apply(stored(1, "b"))
		is.Equal(v.CachedTokens(prompt), int64(192))
		f(v)
		if got := v.CachedTokens(prompt); got != 0 {
			t.Errorf("%s: %d tokens expected, want 0", name, got)
		}
	}
}

// Measures the memory per block of a view at the design size of one engine.
func BenchmarkMemory(b *testing.B) {
	const count = 36_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := NewView()
		for i := range uint64(count) {
			v.Apply(Event{Seq: i + 1, BootID: "b", Kind: Stored, Blocks: []Block{{i * 0x9e3779b97f4a7c15, int64(i)}}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/block")
		runtime.KeepAlive(v)
	}
}
