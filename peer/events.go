package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// maxAge bounds a received age, so that it can't overflow.
const maxAge = 10000 * time.Hour

// eventCount returns the number of events and rate limits in a batch.
func eventCount(b *pb.Batch) int {
	return len(b.Dispatches) + len(b.Starts) + len(b.Ends) + len(b.RateLimits)
}

// encode adds an event to a batch.
func encode(b *pb.Batch, e route.Event) {
	switch e.Kind {
	case route.Dispatched:
		d := &pb.Dispatch{Endpoint: e.Endpoint, Seq: e.Seq, Rank: int32(e.Rank), TravelMs: uint32(e.TransitTime.Milliseconds()), Prompt: uint32(e.PromptTokens), Missing: uint32(max(0, e.UncachedTokens))}
		for _, l := range e.Levels {
			d.Levels = append(d.Levels, l.Hash)
			d.Tokens = append(d.Tokens, uint32(l.Tokens))
		}
		b.Dispatches = append(b.Dispatches, d)
	case route.Started:
		b.Starts = append(b.Starts, &pb.Start{Endpoint: e.Endpoint, Seq: e.Seq, SlowdownPercent: uint32(e.Slowdown * 100)})
	case route.Ended:
		b.Ends = append(b.Ends, &pb.End{Endpoint: e.Endpoint, Seq: e.Seq})
	}
}

// decode calls f for each event of a batch: first the dispatches, then the starts,
// then the ends, because a batch may hold several events of one request.
func decode(b *pb.Batch, f func(e route.Event)) {
	for _, d := range b.Dispatches {
		e := route.Event{Kind: route.Dispatched, Endpoint: d.Endpoint, Seq: d.Seq, Rank: int(d.Rank), PromptTokens: int64(d.Prompt),
			TransitTime: time.Duration(d.TravelMs) * time.Millisecond, UncachedTokens: float64(d.Missing)}
		for i, hash := range d.Levels[:min(len(d.Levels), len(d.Tokens))] {
			e.Levels = append(e.Levels, prefix.Level{Hash: hash, Tokens: int64(d.Tokens[i])})
		}
		f(e)
	}
	for _, s := range b.Starts {
		f(route.Event{Kind: route.Started, Endpoint: s.Endpoint, Seq: s.Seq, Slowdown: float64(s.SlowdownPercent) / 100})
	}
	for _, d := range b.Ends {
		f(route.Event{Kind: route.Ended, Endpoint: d.Endpoint, Seq: d.Seq})
	}
}

func encodePlan(p rollout.Plan, now time.Time) *pb.Plan {
	out := &pb.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs, Fence: p.Fence, Number: p.Number}
	if !p.Named.IsZero() {
		out.NamedMs = rollout.ClockMs(p.Named, now)
	}
	if p.Witnessed {
		out.NamedAgeMs = encodeAge(p.Named, now)
	}
	return out
}

func decodePlan(p *pb.Plan, now time.Time) rollout.Plan {
	out := rollout.Plan{Model: p.Model, Version: p.Version, Updating: p.Updating, Current: p.Current, NamedMs: p.NamedMs, Fence: p.Fence, Number: p.Number}
	if p.NamedAgeMs != nil {
		out.Named, out.Witnessed = decodeAge(*p.NamedAgeMs, now), true
	}
	return out
}

// encodeNamings encodes when the versions of a model were named, as far as a process that
// starts must know it.
func encodeNamings(targets *rollout.Targets, model string, now time.Time) []*pb.Target {
	var out []*pb.Target
	for _, n := range targets.Namings(model, now) {
		out = append(out, encodeTarget(n, now))
	}
	return out
}

// encodeTarget encodes when a version was named. Its age is told only if a process has seen
// it being named.
func encodeTarget(n rollout.Naming, now time.Time) *pb.Target {
	out := &pb.Target{Model: n.Model, Version: n.Version, NamedMs: rollout.ClockMs(n.Named, now)}
	if n.Witnessed {
		out.NamedAgeMs = encodeAge(n.Named, now)
	}
	return out
}

// applyTarget tells targets what another process knows of a version. A process of an earlier
// release tells no age.
func applyTarget(targets *rollout.Targets, t *pb.Target, now time.Time) {
	want := catalog.Target{Model: t.Model, Version: t.Version}
	if t.NamedAgeMs != nil {
		targets.Backdate(want, decodeAge(*t.NamedAgeMs, now))
		return
	}
	targets.BackdateByClock(want, t.NamedMs, now)
}

// encodeAge returns the age of a past time in milliseconds.
func encodeAge(at, now time.Time) *int64 {
	return proto.Int64(max(0, now.Sub(at).Milliseconds()))
}

// decodeAge returns the time of an age in milliseconds by this process's clock.
func decodeAge(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond)
}

func encodeHoldings(holdings []route.Holding) []*pb.Holding {
	out := make([]*pb.Holding, 0, len(holdings))
	for _, h := range holdings {
		out = append(out, &pb.Holding{Level: h.Level, Endpoint: h.Endpoint})
	}
	return out
}

func decodeHoldings(holdings []*pb.Holding) []route.Holding {
	out := make([]route.Holding, 0, len(holdings))
	for _, h := range holdings {
		out = append(out, route.Holding{Level: h.Level, Endpoint: h.Endpoint})
	}
	return out
}

func encodeSummaries(summaries []route.Summary) []*pb.Summary {
	out := make([]*pb.Summary, 0, len(summaries))
	for _, m := range summaries {
		out = append(out, &pb.Summary{Endpoint: m.Endpoint, WaitMs: uint32(max(0, m.Wait.Milliseconds())), KvTokens: uint32(max(0, m.KVUsedTokens))})
	}
	return out
}

func decodeSummaries(summaries []*pb.Summary) []route.Summary {
	out := make([]route.Summary, 0, len(summaries))
	for _, m := range summaries {
		out = append(out, route.Summary{Endpoint: m.Endpoint, Wait: time.Duration(m.WaitMs) * time.Millisecond, KVUsedTokens: int64(m.KvTokens)})
	}
	return out
}
