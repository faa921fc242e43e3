package gateway

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/quarantine"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// ejectAfter is the number of consecutive failures that ejects an endpoint.
	ejectAfter = 2
	// probeInterval is the time until the first probe of an ejected endpoint.
	probeInterval = 700 * time.Millisecond
	// blockLifetime is the assumed time that an engine caches an unused part of a prompt.
	blockLifetime = 15 * time.Second
	// regionPriceMsPerMiB is the latency in milliseconds that sending one MiB to another
	// region must save.
	regionPriceMsPerMiB = 1500
	// dedicatedGroup is the group in the cache scopes of dedicated accounts, which no
	// catalog.SharingGroup is equal to.
	dedicatedGroup = "dedicated"
)

// choice is a chosen endpoint with the attempt that reports back to the tracker.
type choice struct {
	endpoint route.Endpoint
	attempt  *route.Attempt
	// source is the endpoint from which the chosen one may fetch cached parts of the prompt.
	source route.Source
	// pass reports the result to the quarantine; nil for prompts without shared parts.
	pass *quarantine.Pass
}

// chooseAllowed is choose for a request that the quarantine allows.
func (x *exchange) chooseAllowed() (choice, bool) {
	x.availableIn, x.overloadWait = 0, 0
	x.quarantine = x.enterQuarantine()
	if x.quarantine.Verdict != quarantine.Allowed {
		return choice{}, false
	}
	c, ok := x.choose()
	if !ok {
		x.quarantine.Pass.End()
		return choice{}, false
	}
	c.pass = x.quarantine.Pass
	return c, true
}

// choose selects an endpoint and records the dispatch. It returns false when no
// endpoint is available or the request is shed.
func (x *exchange) choose() (choice, bool) {
	now := time.Now()
	r := x.routeRequest(now)
	members := x.g.Members.Service(x.service)
	candidates := x.snapshot(r, members, now)
	d := x.g.Scheduler.Choose(r, candidates)
	x.reason, x.score = d.Reason, d.Score
	if d.Chosen == "" {
		x.availableIn = availableIn(r.Exclude, candidates)
	}
	if ce := x.g.Log.Check(zap.DebugLevel, "route"); ce != nil || d.Chosen == "" && !x.inQueue {
		x.g.Log.Info("route", zap.String("request", x.info.ID), zap.String("service", x.service), zap.String("chosen", d.Chosen),
			zap.String("reason", d.Reason), zap.Int("total", d.Total), zap.Stringer("candidates", d))
	}
	e := x.admit(d, candidates)
	if e == nil {
		return choice{}, false
	}
	x.endpoint = e.ID
	c := choice{endpoint: *e}
	if len(r.Levels) > 0 {
		home := func(l prefix.Level) string { return prefixcache.Home(l, candidates) }
		c.source, _ = x.g.Tracker.Source(r, members, e, home, now)
	}
	c.attempt = x.g.Tracker.Dispatch(r, e, d, now)
	return c, true
}

// snapshot returns the candidates for a request.
func (x *exchange) snapshot(r *route.Request, members []member.Endpoint, now time.Time) []route.Endpoint {
	local, sampled := x.g.candidates(x.service, members)
	out := x.g.Tracker.AppendSnapshot(nil, r, local, sampled, noReport, now)
	if loading := x.g.Directory.loading(r.Model); len(loading) > 0 {
		markLoading(out, loading)
	}
	return out
}

// markLoading marks the candidates that load weights of the request's model. Those without
// another model are marked by their state already.
func markLoading(candidates []route.Endpoint, loading map[string]bool) {
	for i := range candidates {
		if e := &candidates[i]; loading[e.ID] && e.State == member.Ready {
			e.State = member.Updating
		}
	}
}

// reopensIn returns the time until an endpoint of the service takes requests from this
// process again, 0 if one may take them now.
func (x *exchange) reopensIn() time.Duration {
	now := time.Now()
	return availableIn(nil, x.snapshot(x.routeRequest(now), x.g.Members.Service(x.service), now))
}

// availableIn returns the time until the first of the candidates that are not in exclude
// takes another request from this process. It is 0 if none is ready, or if one is
// unavailable for another reason, whose end is not known.
func availableIn(exclude map[string]bool, candidates []route.Endpoint) time.Duration {
	var soonest time.Duration
	for i := range candidates {
		e := &candidates[i]
		switch {
		case e.State != member.Ready || exclude[e.ID]:
		case e.UnavailableFor() == 0:
			return 0
		case soonest == 0 || e.UnavailableFor() < soonest:
			soonest = e.UnavailableFor()
		}
	}
	return soonest
}

// candidates returns those of a service's members among which a request's endpoint is
// chosen. In a fleet whose regions don't exchange the events of requests, these are
// the members of the own region and a sample of the others.
func (g *Gateway) candidates(service string, members []member.Endpoint) (local, sampled []member.Endpoint) {
	if g.RegionsApart == nil || !g.RegionsApart() {
		return members, nil
	}
	return g.split.split(service, g.Region, members)
}

// noReport returns the empty report. AppendSnapshot calls it for endpoints whose
// load Directory has not reported.
func noReport(member.Endpoint) route.Report { return route.Report{} }

// routeRequest returns the request as the scheduler sees it.
func (x *exchange) routeRequest(now time.Time) *route.Request {
	r := &route.Request{ID: x.info.ID, Service: x.service, Account: x.accountName(), Model: x.info.Model, Region: x.g.Region,
		Idempotent: x.route.Repeatable(), Stream: x.info.Model != "", Rank: x.priority(), Levels: x.prefixLevels(), Tokens: x.info.PromptTokens,
		Bytes: int64(len(x.body)), Seed: xxhash.Sum64String(x.info.ID), Exclude: x.excluded,
		Policy: route.Policy{PriceMsPerMiB: regionPriceMsPerMiB, EjectAfter: ejectAfter, ProbeInterval: probeInterval, BlockLifetime: blockLifetime}}
	r.MinWeightsVersion, r.PreferredWeightsVersion = x.g.Targets.Version(x.info.Model, now)
	return r
}

// accountName returns the client account's name, empty for requests without one.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// salt returns the cache salt, which separates the cached prompts of a dedicated
// account from all others, and those of different weights versions.
func (x *exchange) salt(weightsVersion int64) string {
	if x.info.Model == "" {
		return ""
	}
	scope := x.cacheScope()
	scope.Version = strconv.FormatInt(weightsVersion, 10)
	return scope.Salt()
}

// cacheScope returns the scope of the request's cached prompts for all weights versions. It
// follows the configuration in force, since other requests will find what this one leaves in
// the cache. An account that was dedicated when the request was accepted still counts as such.
func (x *exchange) cacheScope() prefix.Scope {
	c := x.g.Config.Current()
	if x.account != nil && (x.account.Dedicated || c.IsDedicated(x.account.Name)) {
		return prefix.Scope{Account: x.account.Name, Group: dedicatedGroup, Model: x.info.Model}
	}
	return prefix.Scope{Group: string(c.SharingGroup()), Model: x.info.Model}
}

// prefixLevels returns the hash and the length of the prompt's prefix up to the
// end of each part, for at most prefix.MaxLevels parts.
func (x *exchange) prefixLevels() []prefix.Level {
	if len(x.info.PromptParts) == 0 {
		return nil
	}
	var d xxhash.Digest
	d.Reset()
	scope := x.cacheScope()
	_, _ = d.WriteString(scope.Model + "/" + scope.Account + scope.Group)
	out := make([]prefix.Level, 0, len(x.info.PromptParts))
	var tokens int64
	for _, p := range x.info.PromptParts[:min(len(x.info.PromptParts), prefix.MaxLevels)] {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(p.ID)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(p.ID)
		tokens += p.Tokens
		out = append(out, prefix.Level{Hash: d.Sum64(), Tokens: tokens})
	}
	return out
}

// priority returns the request's priority at the endpoint: the account's if it
// has one, else the route's; -1 for requests to plain services.
func (x *exchange) priority() int {
	if x.info.Model == "" {
		return -1
	}
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}
