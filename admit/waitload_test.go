package admit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crest is 30 s of both kinds in which the long kind comes at twice its rate for 12 s.
func crest(seed uint64) []*arrival {
	r := rand.New(rand.NewPCG(seed, 0))
	load := poisson(r, &shortKind, "a", 0, 30*time.Second, 0.4)
	load = append(load, poisson(r, &longKind, "a", 0, 30*time.Second, 0.45)...)
	load = append(load, poisson(r, &longKind, "a", 8*time.Second, 20*time.Second, 0.45)...)
	for _, a := range load {
		a.behaviour, a.repeats = repeatsAsTold, 1
	}
	return load
}

// Guards against long prompts that are refused in a crest although their callers would wait,
// against a queue in which all of them wait until they are late, and against short ones that
// are served later for that. Callers repeat a refused request once. The crest brings 0.9 of the
// servers' work in long prompts for 12 s, of which they can do 0.6 beside the short ones. Long
// prompts wait for up to 3 s, so that up to 15 s of the servers' time are left for them.
func TestCrestOfLongPromptsOverShortOnes(t *testing.T) {
	is := is.New(t)
	between := func(k *kind, from, to time.Duration) func(*arrival) bool {
		return func(a *arrival) bool {
			return a.kind == k && !a.first.Before(queueStart.Add(from)) && a.first.Before(queueStart.Add(to))
		}
	}
	short := between(&shortKind, 0, 30*time.Second)
	inCrest := between(&longKind, 8*time.Second, 20*time.Second)
	for seed := range uint64(5) {
		before, with := serve(crest(seed), nil), serve(crest(seed), noneUsed)
		longBefore, longTimelyBefore, _ := served(before, inCrest)
		long, longTimely, _ := served(with, inCrest)
		shortBefore, timelyBefore, lateBefore := served(before, short)
		shortWith, timely, late := served(with, short)
		possible := (15*loadServers - work(with, between(&shortKind, 8*time.Second, 23*time.Second))) / work(with, inCrest)
		t.Logf("seed %d: long served %.3f, %.3f with the queue of %.3f possible, on time %.3f, %.3f; short served %.3f, %.3f, on time %.3f, %.3f, p95 %v, %v",
			seed, longBefore, long, possible, longTimelyBefore, longTimely, shortBefore, shortWith, timelyBefore, timely, lateBefore, late)
		is.True(long > 0.5)
		is.True(long >= min(1, possible)-0.05)
		is.True(long >= longBefore+0.1)
		is.True(longTimely >= longTimelyBefore)
		is.True(shortWith >= shortBefore-0.005)
		is.True(timely >= timelyBefore-0.005)
		is.True(late <= lateBefore+loadTick)
	}
}

// Guards against urgent requests that are sent although they are late then, and make the next
// ones late: in a crest, they bring 1.2 of the servers' work for 12 s.
func TestCrestOfShortRequests(t *testing.T) {
	is := is.New(t)
	inCrest := func(a *arrival) bool {
		return a.kind == &shortKind && a.first.After(queueStart.Add(8*time.Second)) && a.first.Before(queueStart.Add(20*time.Second))
	}
	for seed := range uint64(5) {
		load := func() []*arrival {
			r := rand.New(rand.NewPCG(seed, 0))
			load := poisson(r, &shortKind, "a", 0, 30*time.Second, 0.6)
			load = append(load, poisson(r, &shortKind, "a", 8*time.Second, 20*time.Second, 0.6)...)
			load = append(load, poisson(r, &longKind, "a", 0, 30*time.Second, 0.3)...)
			for _, a := range load {
				a.behaviour, a.repeats = repeatsAsTold, 1
			}
			return load
		}
		shareBefore, timelyBefore, lateBefore := served(serve(load(), nil), inCrest)
		share, timely, late := served(serve(load(), noneUsed), inCrest)
		t.Logf("seed %d: served %.3f, %.3f with the queue, on time %.3f, %.3f, p95 of the waits %v, %v", seed, shareBefore, share, timelyBefore, timely, lateBefore, late)
		is.True(timely >= timelyBefore)
		is.True(timely >= 0.9/1.2) // of the servers' work, nearly all is on time
	}
}

// Guards against an account that takes the capacity of the others: at 5 times its demand it
// brings a load of 0.8 of the servers to 1.2.
func TestHotAccountWaitsBehindItsOwnRequests(t *testing.T) {
	is := is.New(t)
	accounts := func(hotDemand float64) []*arrival {
		var load []*arrival
		for i := range 8 {
			r := rand.New(rand.NewPCG(uint64(i), 0))
			demand := 0.1
			if i == 0 {
				demand *= hotDemand
			}
			load = append(load, poisson(r, &longKind, strconv.Itoa(i), 0, time.Minute, demand)...)
		}
		return load
	}
	used := func(account string) float64 {
		if account == "0" {
			return 0.95
		}
		return 0.2
	}
	others := func(a *arrival) bool { return a.account != "0" }
	before, _, lateBefore := served(serve(accounts(1), used), others)
	share, _, late := served(serve(accounts(5), used), others)
	unordered, _, _ := served(serve(accounts(5), noneUsed), others)
	t.Logf("others served %.3f, %.3f with the hot account, %.3f if used shares don't count; p95 %v, %v", before, share, unordered, lateBefore, late)
	is.True(unordered < share-0.05) // the load tells the order from another
	is.True(share >= before-0.05)
	is.True(late <= longKind.Target)
}

// Guards against callers that get ahead of others by sending a refused request again at
// once, up to five times, instead of when they are told to. A third of the callers does so,
// a third returns when told, also up to five times, and a third doesn't return.
func TestCallersThatRepeatAtOnceGainNothing(t *testing.T) {
	is := is.New(t)
	shares := map[behaviour]float64{}
	for seed := range uint64(5) {
		load := poisson(rand.New(rand.NewPCG(seed, 0)), &longKind, "a", 0, time.Minute, 1.4)
		for i, a := range load {
			a.behaviour = behaviour(i % 3)
			a.repeats = 5
		}
		serve(load, noneUsed)
		for b := range behaviour(3) {
			share, _, _ := served(load, func(a *arrival) bool { return a.behaviour == b })
			shares[b] += share / 5
		}
	}
	t.Logf("served of those that repeat at once %.3f, as told %.3f, never %.3f", shares[repeatsAtOnce], shares[repeatsAsTold], shares[neverRepeats])
	is.True(shares[repeatsAtOnce] <= shares[repeatsAsTold])
	is.True(shares[neverRepeats] >= 0.5) // they aren't displaced
}
