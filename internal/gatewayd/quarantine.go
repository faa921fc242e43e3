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
	"github.com/citrontiller/citrontiller/peer"
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
	// Crashes are the endpoints' crashes from which the block was decided.
	Crashes []quarantine.Crash `json:"crashes"`
}

// blockKey returns the key of a blocked part. The ids of parts come from callers and may be
// too long for a key.
func blockKey(p quarantine.Part) string {
	return fmt.Sprintf("%s%016x", blockPrefix, xxhash.Sum64String(p.Service+"/"+p.ID))
}

// quarantineObserver logs what this gateway observes, tells the others and writes blocks to
// the store.
type quarantineObserver struct{ *gatewayProcess }

// CrashObserved implements quarantine.Observer.
func (p quarantineObserver) CrashObserved(r quarantine.Report, named []quarantine.Part) {
	trials := 0
	for _, s := range r.Suspects {
		if s.Trial {
			trials++
		}
	}
	p.log.Warn("prompt parts suspected", zap.String("endpoint", r.Crash.Endpoint), zap.String("boot", r.Crash.BootID), zap.Int("suspects", len(r.Suspects)),
		zap.Int("trials", trials), zap.String("parts", partList(named)))
	p.peerServer.PublishSuspicion(peer.Suspicion{Reports: []quarantine.Report{r}})
}

// PartsCleared implements quarantine.Observer.
func (p quarantineObserver) PartsCleared(keys []quarantine.Key, named []quarantine.Part) {
	p.log.Info("prompt parts cleared", zap.Int("cleared", len(keys)), zap.String("parts", partList(named)))
	p.peerServer.PublishSuspicion(peer.Suspicion{Cleared: keys})
}

// partList returns parts as service/id, separated by commas.
func partList(parts []quarantine.Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, p.Service+"/"+p.ID)
	}
	return strings.Join(out, ",")
}

// PartBlocked implements quarantine.Observer.
func (p quarantineObserver) PartBlocked(b quarantine.Block) {
	p.log.Error("prompt part blocked", zap.String("service", b.Service), zap.String("part", b.ID), zap.String("crashes", crashList(b.Crashes)),
		zap.Time("until", b.Until), zap.String("key", blockKey(b.Part)))
	p.peerServer.PublishSuspicion(peer.Suspicion{Blocks: []quarantine.Block{b}})
	go p.storeBlock(b)
}

// PartReleased implements quarantine.Observer. The other gateways end the block when they
// learn of the one that supersedes it.
func (p quarantineObserver) PartReleased(part quarantine.Part) {
	p.logReleased(part)
	go p.removeBlock(part)
}

func (p *gatewayProcess) logReleased(part quarantine.Part) {
	p.log.Warn("prompt part no longer blocked, another part explains its crashes", zap.String("service", part.Service), zap.String("part", part.ID))
}

// crashList returns the crashes as endpoint/boot, separated by commas.
func crashList(crashes []quarantine.Crash) string {
	var out []string
	for _, c := range crashes {
		out = append(out, c.Endpoint+"/"+c.BootID)
	}
	return strings.Join(out, ",")
}

// storeBlock writes a block to the store, so that it outlives this process and reaches
// gateways that start later. It retries until the block ends or another gateway has written
// it.
func (p *gatewayProcess) storeBlock(b quarantine.Block) {
	ctx, cancel := context.WithDeadline(context.Background(), b.Until)
	defer cancel()
	value, err := json.Marshal(newBlockRecord(b, time.Now()))
	if err != nil {
		p.log.Error("cannot encode block", zap.String("part", b.ID), zap.Error(err))
		return
	}
	key := blockKey(b.Part)
	for ctx.Err() == nil && p.quarantine.IsBlocked(b.Part, time.Now()) {
		known := p.mirror.StoredRevision(key)
		_, err := p.store.CompareAndSwap(ctx, key, known, value, 0)
		if err == nil {
			return
		}
		p.log.Info("block not stored", zap.String("key", key), zap.Error(err))
		wait.Sleep(ctx, blockRetryDelay)
		if errors.Is(err, infra.ErrConflict) && p.mirror.StoredRevision(key) > known {
			return // another gateway has decided the same
		}
	}
}

// maxRemoveAttempts bounds the attempts to remove the key of a block that another part has
// superseded. A key that stays ends with the block; gateways that start later ignore it.
const maxRemoveAttempts = 5

// removeBlock removes the key of a block that has ended early.
func (p *gatewayProcess) removeBlock(part quarantine.Part) {
	key := blockKey(part)
	for range maxRemoveAttempts {
		time.Sleep(blockRetryDelay) // the write of the key may be in progress
		known := p.mirror.StoredRevision(key)
		if known == 0 {
			continue
		}
		err := p.store.Delete(context.Background(), key, known)
		if err == nil {
			return
		}
		p.log.Info("superseded block not removed", zap.String("key", key), zap.Error(err))
	}
}

// newBlockRecord returns the value of a blocked part's key. The end is by the present clock,
// whatever the clock showed when the block was decided.
func newBlockRecord(b quarantine.Block, now time.Time) blockRecord {
	return blockRecord{Service: b.Service, Part: b.ID, UntilMs: now.UnixMilli() + b.Until.Sub(now).Milliseconds(), Crashes: b.Crashes}
}

// decodeBlock decodes the value of a blocked part's key at a time. The time of day is read
// once: the block ends by the monotonic clock, at most BlockTime from now.
func decodeBlock(value []byte, now time.Time) (quarantine.Block, error) {
	var r blockRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return quarantine.Block{}, fmt.Errorf("decode block: %w", err)
	}
	left := min(max(0, r.UntilMs-now.UnixMilli()), quarantine.BlockTime.Milliseconds())
	return quarantine.Block{Part: quarantine.Part{Service: r.Service, ID: r.Part}, Crashes: r.Crashes, Until: now.Add(time.Duration(left) * time.Millisecond)}, nil
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
		go p.storeBlock(b)
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
	p.blockedKeys.Store(ev.Key, b.Part)
	p.applyBlock(b)
	time.AfterFunc(time.Until(b.Until), func() { p.removeExpiredBlock(ev.Pair) })
}

// applyBlock applies a block that another gateway has decided, and reports whether it was
// new.
func (p *gatewayProcess) applyBlock(b quarantine.Block) bool {
	fresh, released := p.quarantine.ApplyBlock(b)
	for _, part := range released {
		p.logReleased(part)
	}
	if !fresh {
		return false
	}
	p.log.Info("prompt part blocked by another gateway", zap.String("service", b.Service), zap.String("part", b.ID), zap.Time("until", b.Until))
	return true
}

// unblock ends the block of the part that a key held.
func (p *gatewayProcess) unblock(key string) {
	part, ok := p.blockedKeys.LoadAndDelete(key)
	if !ok {
		return
	}
	blocked := part.(quarantine.Part)
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

// SuspicionReceived implements peer.Receiver. Only what is new is passed on, since relays
// hear what other relays pass on.
func (p peerReceiver) SuspicionReceived(u peer.Suspicion, sameRegion bool) {
	now := time.Now()
	fresh := peer.Suspicion{
		Reports: filter(u.Reports, func(r quarantine.Report) bool { return p.quarantine.ApplyReport(r, now) }),
		Cleared: filter(u.Cleared, p.quarantine.Clear),
		Blocks:  filter(u.Blocks, p.applyBlock),
	}
	if !fresh.Empty() && p.peers.IsRelay() {
		p.peerServer.RelaySuspicion(fresh, sameRegion)
	}
}
