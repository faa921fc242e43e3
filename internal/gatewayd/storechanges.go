package gatewayd

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/catalog/check"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/rollout"
)

// onStoreChange applies a change of the store to the gateway's state.
func (p *gatewayProcess) onStoreChange(ev infra.Event) {
	switch {
	case ev.Key == platform.ConfigKey && !ev.Deleted:
		p.applyConfig(ev.Pair)
	case strings.HasPrefix(ev.Key, platform.TargetPrefix) && !ev.Deleted:
		p.applyTarget(ev.Pair)
	case strings.HasPrefix(ev.Key, platform.EndpointPrefix):
		p.applyEndpoint(ev)
	case strings.HasPrefix(ev.Key, peerPrefix):
		p.applyPeer(ev)
	case strings.HasPrefix(ev.Key, rollout.PlanPrefix) && !ev.Deleted:
		p.applyStoredPlan(ev.Pair)
	case strings.HasPrefix(ev.Key, blockPrefix):
		p.applyStoredBlock(ev)
	}
}

func (p *gatewayProcess) applyConfig(pair infra.Pair) {
	findings, _ := platform.CheckConfig(pair.Value) // what can't be decoded is a finding too
	if errs := check.Errors(findings); len(errs) > 0 {
		p.log.Error("configuration has errors; the one before stays in force", zap.Int64("revision", pair.Revision),
			zap.Int("errors", len(errs)), zap.String("first", findingList(errs)))
		return
	}
	c, err := platform.DecodeConfig(pair.Value)
	if err != nil {
		p.log.Error("cannot decode configuration", zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	current := p.gateway.Config.Current()
	if current == nil || current.Version < c.Version {
		// Before requests are accepted under the configuration.
		p.quotas.setLimits(c.Quotas(), time.Now())
		p.gateway.Directory.NameServices(c.ServiceNames())
	}
	if p.gateway.Config.SetIfNewer(c) {
		p.gateway.Directory.SetKVCapacityTokens(c.KVCapacityTokens)
		p.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("revision", pair.Revision),
			zap.Int("routes", len(c.Routes)), zap.Int("credentials", len(c.Accounts)), zap.Int("dedicated_accounts", len(c.DedicatedAccounts)),
			zap.Int("warnings", len(findings)))
		p.logSharingGroup(current, c)
	}
}

// logSharingGroup logs that the accounts that share cached prompts have changed, which makes
// engines read these prompts again. before is nil for the first configuration.
func (p *gatewayProcess) logSharingGroup(before, after *catalog.Config) {
	if before == nil || before.SharingGroup() == after.SharingGroup() {
		return
	}
	p.log.Info("dedicated accounts changed; shared prompts are cached anew", zap.Int64("version", after.Version),
		zap.Strings("before", before.DedicatedAccounts), zap.Strings("after", after.DedicatedAccounts))
}

// maxLoggedFindings bounds the findings of a configuration in a log line.
const maxLoggedFindings = 4

// findingList returns the first findings as field: message, separated by semicolons.
func findingList(findings []check.Finding) string {
	var out []string
	for _, f := range findings[:min(len(findings), maxLoggedFindings)] {
		out = append(out, platform.FieldName(f.Field)+": "+f.Message)
	}
	return strings.Join(out, "; ")
}

func (p *gatewayProcess) applyTarget(pair infra.Pair) {
	t, err := platform.DecodeTarget(pair.Value)
	if err != nil {
		p.log.Error("cannot decode weights version", zap.String("key", pair.Key), zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	if p.setTarget(t, time.Now()) {
		p.log.Info("weights version named", zap.String("model", t.Model), zap.Int64("version", t.Version), zap.Int64("revision", pair.Revision))
	}
}

// setTarget adds a version of weights with what this process knows of its naming, and reports
// whether it is new.
func (p *gatewayProcess) setTarget(t catalog.Target, now time.Time) bool {
	targets := p.gateway.Targets
	if pause := p.pulse.Uncertainty(); pause > 0 {
		return targets.SetIfNewerAfterPause(t, pause, now)
	}
	if p.mirror.IsLive() {
		return targets.SetIfNewer(t, now)
	}
	return targets.SetFoundIfNewer(t, now)
}

func (p *gatewayProcess) applyEndpoint(ev infra.Event) {
	id := strings.TrimPrefix(ev.Key, platform.EndpointPrefix)
	if ev.Deleted {
		p.gateway.Directory.Remove(id, ev.Revision)
		return
	}
	e, err := platform.DecodeEndpoint(ev.Key, ev.Value, p.hostSettings.Regions)
	if err != nil {
		p.log.Warn("cannot decode endpoint; removing it", zap.Int64("revision", ev.Revision), zap.Error(err))
		p.gateway.Directory.Remove(id, ev.Revision)
		return
	}
	p.gateway.Directory.Put(e, ev.Revision)
}

func (p *gatewayProcess) applyStoredPlan(pair infra.Pair) {
	plan, err := rollout.ParsePlan(pair.Value)
	if err != nil {
		p.log.Warn("cannot decode rollout plan", zap.Int64("revision", pair.Revision), zap.Error(err))
		return
	}
	p.applyPlan(plan)
}

// applyPlan applies a rollout plan of another gateway. It returns false if the plan
// is not newer than the last one.
func (p *gatewayProcess) applyPlan(plan rollout.Plan) bool {
	plan.Backdate(p.gateway.Targets, time.Now())
	return p.gateway.Directory.ApplyPlan(plan)
}

func (p *gatewayProcess) applyPeer(ev infra.Event) {
	if ev.Deleted {
		p.peers.Remove(strings.TrimPrefix(ev.Key, peerPrefix))
		return
	}
	r, err := peer.ParseRecord(ev.Value)
	if err != nil {
		p.log.Warn("cannot decode peer record", zap.Int64("revision", ev.Revision), zap.Error(err))
		return
	}
	p.peers.Put(r)
}

// deferRemoval reports whether a key's removal after an outage of the store is
// deferred, because the key's owner will write it again.
func deferRemoval(key string) bool {
	return strings.HasPrefix(key, platform.EndpointPrefix) || strings.HasPrefix(key, peerPrefix)
}
