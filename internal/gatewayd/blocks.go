package gatewayd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/quarantine"
)

const (
	// blockPrefix is the prefix of the keys that hold blocked parts of prompts. A hash of
	// the part follows it.
	blockPrefix = "citrontiller/blocked/"
	// blockRetryDelay is the delay before a failed write of a block is retried.
	blockRetryDelay = time.Second
)

// blockRecord is the value of a blocked part's key. Operators may remove the key to end
// the block.
type blockRecord struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	// UntilMs is the end of the block in Unix milliseconds.
	UntilMs int64 `json:"until_ms"`
	// ProbeAtMs is when the next request with the part may be sent, in Unix milliseconds, and
	// ProbeIntervalMs the time from the last one or from the decision to then, in milliseconds.
	// Records of an earlier release lack them.
	ProbeAtMs       int64 `json:"probe_at_ms,omitempty"`
	ProbeIntervalMs int64 `json:"probe_interval_ms,omitempty"`
	// Crashes are the endpoints' crashes from which the block was decided.
	Crashes []quarantine.Crash `json:"crashes"`
}

// blockKey returns the key of a blocked part. The ids of parts come from callers and may be
// too long for a key.
func blockKey(p quarantine.Part) string {
	return fmt.Sprintf("%s%016x", blockPrefix, xxhash.Sum64String(p.Service+"/"+p.ID))
}

// storeBlock writes the present state of a part's block to the store, so that it outlives this
// process and reaches gateways that start later. It retries until the block ends or another
// gateway has written the same.
func (p *gatewayProcess) storeBlock(part quarantine.Part) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantine.BlockTime)
	defer cancel()
	key := blockKey(part)
	for ctx.Err() == nil {
		block, ok := p.quarantine.BlockOf(part, time.Now())
		if !ok {
			return
		}
		value, err := json.Marshal(newBlockRecord(block, time.Now()))
		if err != nil {
			p.log.Error("cannot encode block", zap.String("part", part.ID), zap.Error(err))
			return
		}
		known := p.mirror.StoredRevision(key)
		_, err = p.store.CompareAndSwap(ctx, key, known, value, 0)
		if err == nil {
			return
		}
		p.log.Info("block not stored", zap.String("key", key), zap.Error(err))
		wait.Sleep(ctx, blockRetryDelay)
		if errors.Is(err, infra.ErrConflict) && p.mirror.StoredRevision(key) > known && p.isStored(key, block) {
			return // another gateway has decided the same
		}
	}
}

// isStored reports whether the last value read of a blocked part's key is at least as new as
// a state of the block.
func (p *gatewayProcess) isStored(key string, b quarantine.Block) bool {
	stored, ok := p.storedBlocks.Load(key)
	return ok && stored.(quarantine.Block).ProbeInterval >= b.ProbeInterval
}

// maxRemoveAttempts bounds the attempts to remove the key of a block that has ended early. A key
// that stays ends with the block; gateways that start later probe the part.
const maxRemoveAttempts = 5

// removeBlock removes the key of a block that has ended early.
func (p *gatewayProcess) removeBlock(part quarantine.Part) {
	key := blockKey(part)
	for range maxRemoveAttempts {
		time.Sleep(blockRetryDelay) // the write of the key may be in progress
		if p.quarantine.IsBlocked(part, time.Now()) {
			return // blocked again
		}
		known := p.mirror.StoredRevision(key)
		if known == 0 {
			continue
		}
		err := p.store.Delete(context.Background(), key, known)
		if err == nil {
			return
		}
		p.log.Info("ended block not removed", zap.String("key", key), zap.Error(err))
	}
}

// newBlockRecord returns the value of a blocked part's key. The end is by the present clock,
// whatever the clock showed when the block was decided.
func newBlockRecord(b quarantine.Block, now time.Time) blockRecord {
	r := blockRecord{Service: b.Service, Part: b.ID, UntilMs: now.UnixMilli() + b.Until.Sub(now).Milliseconds(), Crashes: b.Crashes}
	if b.ProbeInterval > 0 {
		r.ProbeAtMs, r.ProbeIntervalMs = now.UnixMilli()+b.ProbeAt.Sub(now).Milliseconds(), b.ProbeInterval.Milliseconds()
	}
	return r
}

// decodeBlock decodes the value of a blocked part's key at a time. The time of day is read
// once: the block ends by the monotonic clock, at most BlockTime from now, and its next probe is
// at most its interval from now.
func decodeBlock(value []byte, now time.Time) (quarantine.Block, error) {
	var r blockRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return quarantine.Block{}, fmt.Errorf("decode block: %w", err)
	}
	limit := quarantine.BlockTime.Milliseconds()
	interval := min(max(0, r.ProbeIntervalMs), limit)
	return quarantine.Block{Part: quarantine.Part{Service: r.Service, ID: r.Part}, Crashes: r.Crashes, Until: now.Add(msUntil(r.UntilMs, now, limit)),
		ProbeAt: now.Add(msUntil(r.ProbeAtMs, now, interval)), ProbeInterval: time.Duration(interval) * time.Millisecond}.WithProbes(now), nil
}

// msUntil returns the time from now until a time in Unix milliseconds, from 0 to a limit in
// milliseconds.
func msUntil(unixMs int64, now time.Time, limit int64) time.Duration {
	return time.Duration(min(max(0, unixMs-now.UnixMilli()), limit)) * time.Millisecond
}

// retainLost reports whether a pair that a restored store lacks stays in force: a block that
// hasn't ended. Only gateways write blocks.
func retainLost(pair infra.Pair) bool {
	if !strings.HasPrefix(pair.Key, blockPrefix) {
		return false
	}
	now := time.Now()
	b, err := decodeBlock(pair.Value, now)
	return err == nil && now.Before(b.Until)
}

// onStoreRestored writes again what a restored store has lost of this system's own keys:
// this gateway's registration, and the blocks, which the first gateway of each region
// writes. The plan and the lock are written by the next holder of the lock.
func (p *gatewayProcess) onStoreRestored(lost []infra.Pair) {
	select {
	case p.restored <- struct{}{}:
	default: // not yet taken from the last time
	}
	if !p.peers.IsFirst() {
		return
	}
	for _, pair := range lost {
		b, err := decodeBlock(pair.Value, time.Now())
		if err != nil {
			p.log.Warn("cannot decode block", zap.String("key", pair.Key), zap.Int64("revision", pair.Revision), zap.Error(err))
			continue
		}
		p.log.Info("writing again a block that the store lost", zap.String("key", pair.Key))
		go p.storeBlock(b.Part)
	}
}

// applyStoredBlock applies a change of a blocked part's key. The removal of a key ends the
// block of the part that it held.
func (p *gatewayProcess) applyStoredBlock(ev infra.Event) {
	if ev.Deleted {
		p.unblock(ev.Key)
		return
	}
	b, err := decodeBlock(ev.Value, time.Now())
	if err != nil {
		p.log.Warn("cannot decode block", zap.String("key", ev.Key), zap.Int64("revision", ev.Revision), zap.Error(err))
		return
	}
	p.storedBlocks.Store(ev.Key, b)
	p.applyBlock(b)
	time.AfterFunc(time.Until(b.Until), func() { p.removeExpiredBlock(ev.Pair) })
}

// applyBlock applies a block that another gateway has decided, and reports whether it was
// new.
func (p *gatewayProcess) applyBlock(b quarantine.Block) bool {
	fresh, released := p.quarantine.ApplyBlock(b.WithProbes(time.Now()))
	for _, part := range released {
		p.logReleased(part, quarantine.PartSuperseded)
	}
	if !fresh {
		return false
	}
	p.log.Info("prompt part blocked by another gateway", zap.String("service", b.Service), zap.String("part", b.ID), zap.Time("until", b.Until),
		zap.Time("next_probe", b.ProbeAt))
	return true
}

// unblock ends the block of the part that a key held.
func (p *gatewayProcess) unblock(key string) {
	stored, ok := p.storedBlocks.LoadAndDelete(key)
	if !ok {
		return
	}
	blocked := stored.(quarantine.Block).Part
	p.quarantine.Unblock(blocked)
	p.log.Info("prompt part no longer blocked", zap.String("service", blocked.Service), zap.String("part", blocked.ID))
}

// removeExpiredBlock removes the key of a block that has ended. The first gateway of each
// region does so; the conditional write keeps a newer block.
func (p *gatewayProcess) removeExpiredBlock(pair infra.Pair) {
	if !p.peers.IsFirst() || p.mirror.StoredRevision(pair.Key) != pair.Revision {
		return
	}
	if err := p.store.Delete(context.Background(), pair.Key, pair.Revision); err != nil {
		p.log.Info("expired block not removed", zap.String("key", pair.Key), zap.Error(err))
	}
}
