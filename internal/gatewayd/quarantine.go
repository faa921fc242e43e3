package gatewayd

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/quarantine"
)

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
		zap.Time("until", b.Until), zap.Time("next_probe", b.ProbeAt), zap.String("key", blockKey(b.Part)))
	p.peerServer.PublishSuspicion(peer.Suspicion{Blocks: []quarantine.Block{b}})
	go p.storeBlock(b.Part)
}

// PartProbed implements quarantine.Observer.
func (p quarantineObserver) PartProbed(b quarantine.Block) {
	p.log.Warn("prompt part probed", zap.String("service", b.Service), zap.String("part", b.ID), zap.Time("next_probe", b.ProbeAt))
	p.peerServer.PublishSuspicion(peer.Suspicion{Blocks: []quarantine.Block{b}})
	go p.storeBlock(b.Part)
}

// PartReleased implements quarantine.Observer. The other gateways end the block when they
// learn of the one that supersedes it, or that the part is cleared.
func (p quarantineObserver) PartReleased(part quarantine.Part, cause quarantine.ReleaseCause) {
	p.logReleased(part, cause)
	go p.removeBlock(part)
}

func (p *gatewayProcess) logReleased(part quarantine.Part, cause quarantine.ReleaseCause) {
	p.log.Warn("prompt part no longer blocked, "+string(cause), zap.String("service", part.Service), zap.String("part", part.ID))
}

// crashList returns the crashes as endpoint/boot, separated by commas.
func crashList(crashes []quarantine.Crash) string {
	var out []string
	for _, c := range crashes {
		out = append(out, c.Endpoint+"/"+c.BootID)
	}
	return strings.Join(out, ",")
}

// SuspicionReceived implements peer.Receiver. Only what is new is passed on, since relays
// hear what other relays pass on.
func (p peerReceiver) SuspicionReceived(u peer.Suspicion, sameRegion bool) {
	now := time.Now()
	fresh := peer.Suspicion{
		Reports: filter(u.Reports, func(r quarantine.Report) bool { return p.quarantine.ApplyReport(r, now) }),
		Cleared: filter(u.Cleared, p.clearPart),
		Blocks:  filter(u.Blocks, p.applyBlock),
	}
	if !fresh.Empty() && p.peers.IsRelay() {
		p.peerServer.RelaySuspicion(fresh, sameRegion)
	}
}

// clearPart applies that another gateway has seen a response to a part start, and reports
// whether the part was a suspect or blocked.
func (p *gatewayProcess) clearPart(k quarantine.Key) bool {
	known, released := p.quarantine.Clear(k)
	for _, part := range released {
		p.logReleased(part, quarantine.PartStarted)
	}
	return known
}

// probeTurn returns this gateway's place in the order in which the registered gateways may
// probe a part. The order differs between parts, so that no gateway sends all probes.
func (p *gatewayProcess) probeTurn(k quarantine.Key) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", name, k)) }
	own, turn := weight(p.hostSettings.Name), 0
	for _, name := range p.peers.Gateways() {
		if weight(name) < own {
			turn++
		}
	}
	return turn
}
