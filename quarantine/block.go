package quarantine

import (
	"slices"
	"time"
)

const (
	// BlockTime is how long a part is blocked at most. Engines may have been mended by then.
	BlockTime = 10 * time.Minute
	// FirstProbeInterval is the time from a decision to block a part to its first probe.
	FirstProbeInterval = 3 * time.Second
	// probeBackoff is the factor by which the interval between probes grows with each probe, and
	// crashBackoff that by which it grows again if the probe crashes an endpoint. A part that
	// does crash endpoints reaches few more.
	probeBackoff = 2
	crashBackoff = 4
	// probeTurnTime is the time for which a gateway leaves a probe to the one before it in the
	// order. All gateways have heard of that one's probe by then.
	probeTurnTime = settleTime
	// knownMargin is the time by which the end of a block may differ between processes. A part
	// whose block has ended isn't blocked again as soon.
	knownMargin = time.Second
	// maxBlocked bounds the blocked parts.
	maxBlocked = 256
)

// Block is a decision to block a part.
type Block struct {
	Part
	// Crashes are those that the part explains; empty if unknown.
	Crashes []Crash
	// Until is when the block ends.
	Until time.Time
	// ProbeAt is when the next request with the part may be sent, the zero time for never.
	ProbeAt time.Time
	// ProbeInterval is the time from the last probe, or from the decision, to ProbeAt. It grows
	// with each probe, so that of two states of a block the one with the longer interval is newer.
	ProbeInterval time.Duration
}

// ReleaseCause is why a block has ended early.
type ReleaseCause string

// Causes.
const (
	// PartSuperseded means that another part explains the block's crashes and later ones.
	PartSuperseded ReleaseCause = "another part explains its crashes"
	// PartStarted means that a response to the part has started.
	PartStarted ReleaseCause = "a response to it has started"
)

// blockState is a block with this process's probe.
type blockState struct {
	Block
	// probe is the request that this process has admitted as a probe, nil for none.
	probe *Pass
}

// newBlock returns the block of a part whose last crash was at a time.
func newBlock(p Part, crashes []Crash, crashedAt, now time.Time) Block {
	return Block{Part: p.clone(), Crashes: crashes, Until: now.Add(BlockTime), ProbeAt: crashedAt.Add(FirstProbeInterval), ProbeInterval: FirstProbeInterval}
}

// WithProbes returns the block with a first probe after FirstProbeInterval, if its origin
// doesn't name one.
func (b Block) WithProbes(now time.Time) Block {
	if b.ProbeInterval == 0 {
		b.ProbeInterval, b.ProbeAt = FirstProbeInterval, now.Add(FirstProbeInterval)
	}
	return b
}

// NextTry returns when a request with the part may be sent again.
func (b Block) NextTry() time.Time {
	if b.ProbeAt.IsZero() || b.Until.Before(b.ProbeAt) {
		return b.Until
	}
	return b.ProbeAt
}

// backOff puts the next probe off by the interval times a factor.
func (b *Block) backOff(factor time.Duration, now time.Time) {
	b.ProbeInterval = min(factor*b.ProbeInterval, BlockTime)
	b.ProbeAt = now.Add(b.ProbeInterval)
}

// merge returns what two states of a part's block tell together.
func (b Block) merge(other Block) Block {
	for _, c := range other.Crashes {
		if !slices.Contains(b.Crashes, c) {
			b.Crashes = append(slices.Clip(b.Crashes), c)
		}
	}
	if other.Until.After(b.Until) {
		b.Until = other.Until
	}
	longer := other.ProbeInterval > b.ProbeInterval
	if longer || other.ProbeInterval == b.ProbeInterval && other.ProbeAt.After(b.ProbeAt) {
		b.ProbeInterval, b.ProbeAt = other.ProbeInterval, other.ProbeAt
	}
	return b
}

// supersedes reports whether b's part explains all crashes of another block and more.
func (b Block) supersedes(other Block) bool {
	if len(other.Crashes) == 0 || len(b.Crashes) <= len(other.Crashes) {
		return false
	}
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return !slices.Contains(b.Crashes, c) })
}

// ApplyBlock applies a decision of another process, or the state of its probes. It reports
// whether it was new, and returns the parts whose blocks it has ended.
func (t *Tracker) ApplyBlock(b Block) (fresh bool, released []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := b.Part.Key()
	old, known := t.blocked.Peek(key)
	longer := b.ProbeInterval > old.ProbeInterval
	switch {
	case known && !longer && !b.Until.After(old.Until):
		return false, nil
	case t.hasEnded(key, b), t.isExplained(b):
		return false, nil
	}
	_, released = t.block(b)
	return !known || longer, released
}

// Unblock ends the block of a part.
func (t *Tracker) Unblock(p Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked.Remove(p.Key())
}

// IsBlocked reports whether a part is blocked.
func (t *Tracker) IsBlocked(p Part, now time.Time) bool {
	_, ok := t.BlockOf(p, now)
	return ok
}

// BlockOf returns the block of a part, or false if it is not blocked.
func (t *Tracker) BlockOf(p Part, now time.Time) (Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.blockOf(p.Key(), now)
	return b.Block, ok
}

// block blocks a part and clears others of the crashes that it explains. It returns the
// block with what was known of it before, and the parts whose blocks end, because the part
// explains their crashes and a later one, which they didn't prevent. The caller holds mu.
func (t *Tracker) block(b Block) (merged Block, released []Part) {
	key := b.Part.Key()
	state := blockState{Block: b}
	if old, ok := t.blocked.Peek(key); ok {
		state = blockState{b.merge(old.Block), old.probe}
	}
	for _, k := range t.blocked.Keys() {
		other, _ := t.blocked.Peek(k)
		if k != key && state.supersedes(other.Block) {
			t.blocked.Remove(k)
			released = append(released, other.Part)
		}
	}
	t.blocked.Add(key, state)
	t.suspects.remove(key)
	t.suspects.explain(state.Crashes)
	return state.Block, released
}

// mayProbe reports whether this process may send a request with a blocked part. The caller
// holds mu.
func (t *Tracker) mayProbe(b blockState, now time.Time) bool {
	if b.ProbeAt.IsZero() || now.Before(b.ProbeAt) || b.probe != nil && !b.probe.ended {
		return false
	}
	if t.ProbeTurn == nil {
		return true
	}
	return !now.Before(b.ProbeAt.Add(time.Duration(t.ProbeTurn(b.Part.Key())) * probeTurnTime))
}

// admitProbe records that a request is admitted as the probe of a blocked part. The caller
// holds mu.
func (t *Tracker) admitProbe(k Key, p *Pass) {
	if b, ok := t.blocked.Peek(k); ok {
		b.probe = p
		t.blocked.Add(k, b)
	}
}

// sendProbe puts the next probe of a part off, since one is sent now. The caller holds mu.
func (t *Tracker) sendProbe(k Key, now time.Time) (Block, bool) {
	b, ok := t.blocked.Peek(k)
	if !ok {
		return Block{}, false
	}
	b.backOff(probeBackoff, now)
	b.probe = nil
	t.blocked.Add(k, b)
	return b.Block, true
}

// extend records that the probe of a blocked part has crashed an endpoint. It returns the
// block, and the parts whose blocks end. The caller holds mu.
func (t *Tracker) extend(b Block, c Crash, now time.Time) (extended Block, released []Part) {
	b.Crashes = append(slices.Clip(b.Crashes), c)
	b.Until = now.Add(BlockTime)
	b.backOff(crashBackoff, now)
	return t.block(b)
}

// hasEnded reports whether a response to the part has ended its block, of which b is a copy that
// arrives late, as from the store. The caller holds mu.
func (t *Tracker) hasEnded(k Key, b Block) bool {
	until, ok := t.ended.Peek(k)
	return ok && !b.Until.After(until.Add(knownMargin))
}

// isExplained reports whether the block of another part supersedes b. The caller holds mu.
func (t *Tracker) isExplained(b Block) bool {
	return slices.ContainsFunc(t.blocked.Values(), func(other blockState) bool { return other.Part != b.Part && other.supersedes(b) })
}

// blockOf returns the block of a part, or false if it is not blocked. The caller holds mu.
func (t *Tracker) blockOf(k Key, now time.Time) (blockState, bool) {
	b, ok := t.blocked.Get(k)
	if ok && !now.Before(b.Until) {
		t.blocked.Remove(k)
		return blockState{}, false
	}
	return b, ok
}
