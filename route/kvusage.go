package route

import (
	"time"

	"github.com/citrontiller/citrontiller/prefix"
)

const (
	// initialRunTime is the assumed run time of requests until one has ended.
	initialRunTime = 3 * time.Second
	// runTimeWeight is the weight of a new observation in the average run time.
	runTimeWeight = 0.05
	// maxRunTime is the time after which a request is released if its end has not
	// been reported.
	maxRunTime = 30 * time.Second
	// usableKVShare is the fraction of an engine's KV cache memory that running
	// requests may occupy before further requests have to wait.
	usableKVShare = 0.95
)

// kvUsage tracks the KV cache memory of an engine that running requests occupy, in
// tokens. A prefix that several requests share is counted once.
type kvUsage struct {
	running map[dispatchKey]kvAllocation
	// shared counts the running requests per hash of a shared prefix level.
	shared map[uint64]int
	// tokens is the memory that all running requests occupy.
	tokens float64
	// meanRunTime is the moving average of the run time of requests, 0 when unknown.
	meanRunTime time.Duration
	// staleCheckedAt is the time of the last search for stale requests.
	staleCheckedAt time.Time
}

// kvAllocation is the memory that one request occupies: the shared levels, and the
// tokens of its prompt beyond them.
type kvAllocation struct {
	levels   []prefix.Level
	unshared float64
	since    time.Time
}

// add adds a request with its shared levels and its prompt length in tokens.
func (u *kvUsage) add(key dispatchKey, levels []prefix.Level, prompt float64, now time.Time) {
	u.releaseStale(now)
	if u.running == nil {
		u.running, u.shared = map[dispatchKey]kvAllocation{}, map[uint64]int{}
	}
	h := kvAllocation{levels: levels, unshared: prompt, since: now}
	var before int64
	for _, l := range levels {
		h.unshared -= float64(l.Tokens - before)
		u.shared[l.Hash]++
		if u.shared[l.Hash] == 1 {
			u.tokens += float64(l.Tokens - before)
		}
		before = l.Tokens
	}
	h.unshared = max(0, h.unshared)
	u.tokens += h.unshared
	u.running[key] = h
}

// release removes a request that has ended and records its run time.
func (u *kvUsage) release(key dispatchKey, now time.Time) {
	h, ok := u.running[key]
	if !ok {
		return
	}
	delete(u.running, key)
	u.tokens -= h.unshared
	var before int64
	for _, l := range h.levels {
		u.shared[l.Hash]--
		if u.shared[l.Hash] == 0 {
			u.tokens -= float64(l.Tokens - before)
			delete(u.shared, l.Hash)
		}
		before = l.Tokens
	}
	if u.meanRunTime == 0 {
		u.meanRunTime = initialRunTime
	}
	u.meanRunTime += time.Duration(runTimeWeight * float64(now.Sub(h.since)-u.meanRunTime))
}

// releaseSender releases the requests that a process has dispatched.
func (u *kvUsage) releaseSender(sender string, now time.Time) {
	for key := range u.running {
		if key.sender == sender {
			u.release(key, now)
		}
	}
}

// releaseStale releases requests whose end was not reported within maxRunTime.
func (u *kvUsage) releaseStale(now time.Time) {
	if now.Sub(u.staleCheckedAt) < maxRunTime/10 {
		return
	}
	u.staleCheckedAt = now
	for key, h := range u.running {
		if now.Sub(h.since) > maxRunTime {
			u.release(key, now)
		}
	}
}

// wait returns the expected time in milliseconds until a request fits into KV cache
// memory of the given size in tokens. It assumes that running requests end at a
// constant rate.
func (u *kvUsage) wait(levels []prefix.Level, prompt, size float64) float64 {
	if size <= 0 || u.tokens <= 0 {
		return 0
	}
	excess := u.tokens + u.additional(levels, prompt) - usableKVShare*size
	if excess <= 0 {
		return 0
	}
	runTime := u.meanRunTime
	if runTime == 0 {
		runTime = initialRunTime
	}
	return min(1, excess/u.tokens) * ms(runTime)
}

// additional returns the tokens that a request would add to the usage.
func (u *kvUsage) additional(levels []prefix.Level, prompt float64) float64 {
	var before int64
	for _, l := range levels {
		if u.shared[l.Hash] > 0 {
			prompt -= float64(l.Tokens - before)
		}
		before = l.Tokens
	}
	return max(0, prompt)
}
