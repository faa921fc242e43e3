package gateway

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/plugins/prefixcache"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// ejectAfter is the number of consecutive failures that ejects an endpoint.
	ejectAfter = 2
	// probeInterval is the time to the first request to an ejected endpoint.
	probeInterval = 700 * time.Millisecond
	// blockLifetime is how long an engine keeps an unused part of a prompt.
	blockLifetime = 15 * time.Second
	// regionPriceMsPerMiB is the time that a MiB between regions must save.
	regionPriceMsPerMiB = 1500
)

// choice is an endpoint with the feedback that its attempt owes the tracker.
type choice struct {
	endpoint route.Endpoint
	attempt  *route.Attempt
	// source is where the endpoint fetches cached parts of the prompt from.
	source route.Source
}

// choose picks an endpoint and records the dispatch; ok is false without one.
func (x *exchange) choose() (choice, bool) {
	now := time.Now()
	r := x.routeRequest(now)
	members := x.g.Members.Service(x.service)
	candidates := x.g.Tracker.AppendSnapshot(nil, r, members, unreported, now)
	d := x.g.Scheduler.Choose(r, candidates)
	x.reason, x.score = d.Reason, d.Score
	if ce := x.g.Log.Check(zap.DebugLevel, "route"); ce != nil || d.Chosen == "" {
		x.g.Log.Info("route", zap.String("request", x.call.ID), zap.String("service", x.service), zap.String("chosen", d.Chosen),
			zap.String("reason", d.Reason), zap.Int("total", d.Total), zap.Stringer("candidates", d))
	}
	for i := range candidates {
		if candidates[i].ID == d.Chosen {
			if x.late(d, &candidates[i], candidates) {
				return choice{}, false
			}
			x.endpoint = d.Chosen
			c := choice{endpoint: candidates[i]}
			if len(r.Levels) > 0 {
				home := func(l prefix.Level) string { return prefixcache.Home(l, candidates) }
				c.source, _ = x.g.Tracker.Source(r, candidates, &candidates[i], home, now)
			}
			c.attempt = x.g.Tracker.Dispatch(r, &candidates[i], d, now)
			return c, true
		}
	}
	return choice{}, false
}

// late reports whether the request is refused because its answer would come
// too late; one that has been sent already goes on. The time to compute its own
// prompt doesn't count: else the longest prompts would be refused always.
func (x *exchange) late(d route.Decision, e *route.Endpoint, candidates []route.Endpoint) bool {
	if x.call.Model == "" || x.sends > 0 {
		return false
	}
	own := e.PrefillMs(max(0, float64(x.call.PromptTokens)-e.CachedTokens)) * max(1, e.Residual)
	x.overload = time.Duration(max(0, d.Score-own) * float64(time.Millisecond))
	usual := usualWait(candidates)
	standing := x.g.observeQueue(x.service, usual)
	if x.g.Admission.Admit(x.route.Priority, x.overload, x.route.TargetLatency, standing) {
		x.overload = 0
		return false
	}
	x.g.Log.Info("overload", zap.String("request", x.call.ID), zap.String("endpoint", e.ID), zap.Duration("wait", x.overload),
		zap.Duration("usual_wait", usual), zap.Bool("standing_queue", standing), zap.Duration("target", x.route.TargetLatency),
		zap.Int("priority", x.route.Priority), zap.Float64("held_tokens", e.KVUsedTokens), zap.Int64("memory_tokens", e.Load.KVCapacityTokens))
	return true
}

// observeQueue takes the usual wait at a service's endpoints, and reports whether
// they have a standing queue.
func (g *Gateway) observeQueue(service string, usual time.Duration) bool {
	present, changed := g.StandingQueues.Observe(service, usual, time.Now())
	if changed {
		g.Log.Info("standing queue", zap.String("service", service), zap.Bool("present", present), zap.Duration("usual_wait", usual))
	}
	return present
}

// maxWaits bounds the endpoints that tell the usual wait.
const maxWaits = 64

// usualWait returns the wait, for a request of any rank, that half of the
// endpoints exceed.
func usualWait(candidates []route.Endpoint) time.Duration {
	var waits [maxWaits]float64
	n, step := 0, 1+len(candidates)/maxWaits
	for i := 0; i < len(candidates); i += step {
		if e := &candidates[i]; e.State == member.Ready && !e.Ejected {
			waits[n] = e.BacklogMs
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(waits[:n])
	return time.Duration(waits[n/2] * float64(time.Millisecond))
}

// unreported stands for endpoints that have not been reported.
func unreported(member.Endpoint) route.Report { return route.Report{} }

func (x *exchange) routeRequest(now time.Time) *route.Request {
	r := &route.Request{ID: x.call.ID, Service: x.service, Account: x.accountName(), Model: x.call.Model, Region: x.g.Region,
		Idempotent: x.route.Repeatable(), Stream: x.call.Model != "", Rank: x.priority(), Levels: x.levels(), Tokens: x.call.PromptTokens,
		Bytes: int64(len(x.body)), Seed: xxhash.Sum64String(x.call.ID), Exclude: x.excluded,
		Policy: route.Policy{PriceMsPerMiB: regionPriceMsPerMiB, EjectAfter: ejectAfter, ProbeInterval: probeInterval, BlockLifetime: blockLifetime}}
	r.MinWeightsVersion, r.PreferredWeightsVersion = x.g.Targets.Version(x.call.Model, now)
	return r
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// salt separates the cached prompts of a dedicated account from all others, and
// those of one version of the weights from those of another.
func (x *exchange) salt(weights int64) string {
	if x.call.Model == "" {
		return ""
	}
	return prefix.Scope{Account: x.cacheAccount(), Model: x.call.Model, Version: strconv.FormatInt(weights, 10)}.Salt()
}

// cacheAccount returns the account whose cached prompts are its own; "" for the
// accounts that share theirs.
func (x *exchange) cacheAccount() string {
	if x.account == nil || !x.account.Dedicated {
		return ""
	}
	return x.account.Name
}

// levels returns the prompt's prefixes at the ends of its parts.
func (x *exchange) levels() []prefix.Level {
	if len(x.call.PromptParts) == 0 {
		return nil
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(x.call.Model + "/" + x.cacheAccount())
	out := make([]prefix.Level, 0, len(x.call.PromptParts))
	var tokens int64
	for _, p := range x.call.PromptParts[:min(len(x.call.PromptParts), prefix.MaxLevels)] {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(p.ID)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(p.ID)
		tokens += p.Tokens
		out = append(out, prefix.Level{Hash: d.Sum64(), Tokens: tokens})
	}
	return out
}

// priority returns the rank of the request at the endpoint.
func (x *exchange) priority() int {
	if x.call.Model == "" {
		return -1
	}
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}
