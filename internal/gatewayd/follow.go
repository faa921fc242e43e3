package gatewayd

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/rollout"
)

// changed takes a change of the store into the gateway's state.
func (p *gatewayProcess) changed(ev infra.Event) {
	switch {
	case ev.Key == platform.ConfigKey && !ev.Deleted:
		p.takeConfig(ev.Pair)
	case strings.HasPrefix(ev.Key, platform.TargetPrefix) && !ev.Deleted:
		p.takeTarget(ev.Pair)
	case strings.HasPrefix(ev.Key, platform.EndpointPrefix):
		p.takeEndpoint(ev)
	case strings.HasPrefix(ev.Key, peerPrefix):
		p.takePeer(ev)
	case strings.HasPrefix(ev.Key, rollout.PlanPrefix) && !ev.Deleted:
		p.takePlan(ev.Pair)
	}
}

func (p *gatewayProcess) takeConfig(pair infra.Pair) {
	c, err := platform.DecodeConfig(pair.Value)
	if err != nil {
		p.log.Error("configuration not readable", zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	if p.gateway.Config.SetIfNewer(c) {
		p.gateway.Directory.SetKVCapacityTokens(c.KVCapacityTokens)
		p.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("revision", pair.Revision),
			zap.Int("routes", len(c.Routes)), zap.Int("credentials", len(c.Accounts)))
	}
}

func (p *gatewayProcess) takeTarget(pair infra.Pair) {
	t, err := platform.DecodeTarget(pair.Value)
	if err != nil {
		p.log.Error("weights version not readable", zap.String("key", pair.Key), zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	if p.gateway.Targets.SetIfNewer(t, time.Now()) {
		p.log.Info("weights version named", zap.String("model", t.Model), zap.Int64("version", t.Version), zap.Int64("revision", pair.Revision))
	}
}

func (p *gatewayProcess) takeEndpoint(ev infra.Event) {
	id := strings.TrimPrefix(ev.Key, platform.EndpointPrefix)
	if ev.Deleted {
		p.gateway.Directory.Remove(id, ev.Revision)
		return
	}
	e, err := platform.DecodeEndpoint(ev.Key, ev.Value, p.host.Regions)
	if err != nil {
		p.log.Warn("endpoint entry not readable", zap.Int64("revision", ev.Revision), zap.Error(err))
		p.gateway.Directory.Remove(id, ev.Revision)
		return
	}
	p.gateway.Directory.Put(e, ev.Revision)
}

func (p *gatewayProcess) takePlan(pair infra.Pair) {
	plan, err := rollout.ParsePlan(pair.Value)
	if err != nil {
		p.log.Warn("plan not readable", zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	p.applyPlan(plan)
}

// applyPlan takes another process's plan.
func (p *gatewayProcess) applyPlan(plan rollout.Plan) {
	p.gateway.Targets.Backdate(catalog.Target{Model: plan.Model, Version: plan.Version}, time.UnixMilli(plan.NamedMs))
	p.gateway.Directory.ApplyPlan(plan)
}

// hint takes the revision of another process's copy of the store.
func (p *gatewayProcess) hint(revision int64) { p.mirror.NotePeerRevision(revision) }

func (p *gatewayProcess) takePeer(ev infra.Event) {
	if ev.Deleted {
		p.peers.Remove(strings.TrimPrefix(ev.Key, peerPrefix))
		return
	}
	r, err := peer.ParseRecord(ev.Value)
	if err != nil {
		p.log.Warn("peer record not readable", zap.Int64("revision", ev.Revision), zap.Error(err))
		return
	}
	p.peers.Put(r)
}

// deferred names the keys whose owners write them again after an outage.
func deferred(key string) bool {
	return strings.HasPrefix(key, platform.EndpointPrefix) || strings.HasPrefix(key, peerPrefix)
}
