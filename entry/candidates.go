package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// routeRequest returns the input of endpoint selection for a request.
func (s *Server) routeRequest(r *Request) *route.Request {
	return &route.Request{ID: r.ID, Service: r.Service, Account: r.Account, Model: r.Model, Version: s.rollouts.required(r.Service, r.Document.Version, time.Now()),
		Region: s.opts.Region, Idempotent: r.Idempotent, Stream: r.Stream, Levels: prefix.ChainWithPieceTokens(r.Scope(), r.Segments, r.Document.Engine.PrefixPieceTokens),
		Tokens: prefix.Tokens(r.Segments), Bytes: int64(len(r.Body)), Seed: s.opts.Random(), Exclude: map[string]bool{}, Policy: policyOf(r.Document)}
}

// policyOf returns a document's settings for endpoint selection.
func policyOf(d *config.Document) route.Policy {
	return route.Policy{PriceMsPerMiB: float64(d.Routing.CrossRegionPriceMsPerMiB), EjectAfter: d.Routing.EjectAfterFailures,
		ProbeInterval: time.Duration(d.Routing.ProbeIntervalMs) * time.Millisecond,
		BlockLifetime: time.Duration(d.Engine.PrefixBlockLifetimeMs) * time.Millisecond}
}

// choose selects an endpoint, records the decision and registers the dispatch with
// the tracker. The feedback is nil when no endpoint was chosen.
func (s *Server) choose(r *route.Request) (route.Decision, *feedback) {
	now := time.Now()
	buf := s.buffers.Get().(*[]route.Endpoint)
	defer s.buffers.Put(buf)
	candidates := s.candidates((*buf)[:0], r, now)
	*buf = candidates
	d := s.scheduler.Choose(r, candidates)
	s.logDecision(d)
	for i := range candidates {
		if candidates[i].ID == d.Chosen {
			return d, &feedback{attempt: s.tracker.Dispatch(r, &candidates[i], d, now)}
		}
	}
	return d, nil
}

// logDecision keeps a decision for explain and logs it, subject to sampling.
func (s *Server) logDecision(d route.Decision) {
	s.decisions.add(d)
	if d.Chosen != "" && !s.sampled() {
		return
	}
	s.log.Info("route", zap.String("request", d.RequestID), zap.String("service", d.Service), zap.String("chosen", d.Chosen),
		zap.String("reason", d.Reason), zap.Float64("score_ms", d.Score), zap.Int("total", d.Total), zap.Stringer("candidates", d))
}

// sampled counts a decision and reports whether it is to be logged.
func (s *Server) sampled() bool {
	every := int64(s.opts.DecisionLogSample)
	return every > 0 && (s.decided.Add(1)-1)%every == 0
}

// candidates appends a snapshot of the endpoints of the request's service to out.
func (s *Server) candidates(out []route.Endpoint, r *route.Request, now time.Time) []route.Endpoint {
	return s.tracker.AppendSnapshot(out, r, s.Members.Service(r.Service), nil, s.report, now)
}

// report returns the last load report received over the agent's link. The
// tracker uses it for an endpoint whose reports arrived before its host was
// listed.
func (s *Server) report(m member.Endpoint) route.Report {
	l := s.linkTo(m.Agent)
	if l == nil {
		return route.Report{}
	}
	st := l.State()
	return reportOf(st.Loads[m.ID], st.RTT)
}

func (s *Server) linkTo(agent string) *wire.Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[agent]
}

// loadOf returns the last load report of an endpoint, or nil if there is none.
func (s *Server) loadOf(m member.Endpoint) *pb.EndpointLoad {
	if l := s.linkTo(m.Agent); l != nil {
		return l.State().Loads[m.ID]
	}
	return nil
}

// onLoad forwards a load report to the tracker.
func (s *Server) onLoad(l *pb.EndpointLoad, rtt time.Duration) {
	s.tracker.Report(l.EndpointId, reportOf(l, rtt), time.Now())
}

// reportOf converts a load report. The message pointer serves as the report's
// key, because the link replaces the message with each reply.
func reportOf(l *pb.EndpointLoad, rtt time.Duration) route.Report {
	if l == nil {
		return route.Report{RTT: rtt}
	}
	return route.Report{Key: l, RTT: rtt, Load: route.Load{BootID: l.BootId, Version: l.Version, Running: l.Running, Queued: l.Queued,
		Limit: l.Limit, Wait: time.Duration(l.PredictedWaitMs) * time.Millisecond, PrefillTokensPerSecond: float64(l.PrefillTokensPerSecond),
		BlockLifetime: time.Duration(l.BlockLifetimeMs) * time.Millisecond}}
}

// pruneTracker removes endpoints that are no longer listed from the tracker.
func (s *Server) pruneTracker(hosts []infra.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
	}
	s.tracker.Prune(listed)
}
