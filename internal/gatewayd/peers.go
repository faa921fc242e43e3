package gatewayd

import (
	"context"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// digestInterval is the time between two digests of the region's engines.
const digestInterval = 200 * time.Millisecond

// peerReceiver passes what peers send to the gateway's state, and relays between
// regions.
type peerReceiver struct{ *gatewayProcess }

// PlanReceived implements peer.Receiver. Plans are passed on once, because a plan that
// arrives again is not newer.
func (p peerReceiver) PlanReceived(plan rollout.Plan, sameRegion bool) {
	if p.applyPlan(plan) && p.peers.IsRelay() {
		p.peerServer.RelayPlan(plan, sameRegion)
	}
}

// RevisionReceived implements peer.Receiver. The mirror uses the revision to detect
// that its own copy is behind.
func (p peerReceiver) RevisionReceived(revision int64) { p.mirror.NotePeerRevision(revision) }

// LeavingReceived implements peer.Receiver. Only what is new is passed on, since relays
// hear what other relays pass on.
func (p peerReceiver) LeavingReceived(from string, leaving []catalog.Incarnation, sameRegion bool) {
	fresh := filter(leaving, func(i catalog.Incarnation) bool { return p.gateway.Directory.MarkLeaving(i, from) })
	if len(fresh) > 0 && p.peers.IsRelay() {
		p.peerServer.RelayLeaving(fresh, sameRegion)
	}
}

// RateLimitsReceived implements peer.Receiver.
func (p peerReceiver) RateLimitsReceived(from string, limits []catalog.RateLimit, sameRegion bool) {
	fresh := filter(limits, func(r catalog.RateLimit) bool { return p.gateway.Directory.ApplyRateLimit(r, from) })
	if len(fresh) > 0 && p.peers.IsRelay() {
		p.peerServer.RelayRateLimits(fresh, sameRegion)
	}
}

// filter returns the items for which keep returns true. It calls keep once for each.
func filter[T any](items []T, keep func(T) bool) []T {
	var kept []T
	for _, item := range items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// DigestReceived implements peer.Receiver.
func (p peerReceiver) DigestReceived(d peer.Digest, sameRegion bool) {
	now := time.Now()
	p.gateway.Tracker.ApplySummaries(d.Summaries, now)
	p.gateway.Tracker.ApplyHoldings(d.Holdings, now)
	if !sameRegion && p.peers.IsRelay() {
		p.peerServer.RelayDigest(d)
	}
}

// publishDigests describes the region's engines to other regions while this gateway
// is a relay, until ctx ends.
func (p *gatewayProcess) publishDigests(ctx context.Context) {
	for ctx.Err() == nil {
		if part, ok := p.peers.RelayPart(); ok {
			if d := p.regionDigest(part); !d.Empty() {
				p.peerServer.PublishDigest(d)
			}
		}
		wait.Sleep(ctx, digestInterval)
	}
}

// regionDigest returns a part of the digest of the region's engines.
func (p *gatewayProcess) regionDigest(part route.Part) peer.Digest {
	region := p.hostSettings.Region
	engines := p.gateway.Directory.RegionEngines(region)
	return peer.Digest{Summaries: p.gateway.Tracker.Summaries(engines, part, time.Now()), Holdings: p.gateway.Tracker.TakeHoldings(region, part)}
}
