package peer

import (
	"time"

	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/quarantine"
)

// Suspicion is what gateways tell each other of parts of prompts that crash endpoints.
type Suspicion struct {
	Reports []quarantine.Report
	Cleared []quarantine.Key
	Blocks  []quarantine.Block
}

// Empty reports whether there is nothing to tell.
func (s Suspicion) Empty() bool { return len(s.Reports)+len(s.Cleared)+len(s.Blocks) == 0 }

// PublishSuspicion sends what this process has observed to all followers. It never
// blocks.
func (s *Server) PublishSuspicion(u Suspicion) {
	s.broadcast(u.batch(time.Now()))
}

// RelaySuspicion passes on what another process has observed. It never blocks.
func (s *Server) RelaySuspicion(u Suspicion, sameRegion bool) {
	s.relay(u.batch(time.Now()), sameRegion)
}

func (s Suspicion) batch(now time.Time) *pb.Batch {
	b := &pb.Batch{}
	for _, r := range s.Reports {
		b.Crashes = append(b.Crashes, encodeReport(r))
	}
	for _, k := range s.Cleared {
		b.ClearedKeys = append(b.ClearedKeys, uint64(k))
	}
	for _, block := range s.Blocks {
		b.Blocked = append(b.Blocked, encodeBlock(block, now))
	}
	return b
}

// decodeSuspicion returns what a batch tells.
func decodeSuspicion(b *pb.Batch, now time.Time) Suspicion {
	var s Suspicion
	for _, r := range b.Crashes {
		s.Reports = append(s.Reports, decodeReport(r))
	}
	for _, k := range b.ClearedKeys {
		s.Cleared = append(s.Cleared, quarantine.Key(k))
	}
	for _, p := range b.Cleared {
		s.Cleared = append(s.Cleared, decodePart(p).Key())
	}
	for _, block := range b.Blocked {
		s.Blocks = append(s.Blocks, decodeBlock(block, now))
	}
	return s
}

func encodeBlock(b quarantine.Block, now time.Time) *pb.BlockedPart {
	out := &pb.BlockedPart{Part: encodePart(b.Part), RemainingMs: b.Until.Sub(now).Milliseconds()}
	if b.ProbeInterval > 0 {
		out.ProbeInMs, out.ProbeIntervalMs = b.ProbeAt.Sub(now).Milliseconds(), b.ProbeInterval.Milliseconds()
	}
	for _, c := range b.Crashes {
		out.Crashes = append(out.Crashes, encodeReport(quarantine.Report{Crash: c}))
	}
	return out
}

// decodeBlock returns a block. Its times are at most BlockTime from now, whatever the sender
// has written.
func decodeBlock(b *pb.BlockedPart, now time.Time) quarantine.Block {
	out := quarantine.Block{Part: decodePart(b.Part), Until: now.Add(boundedMs(b.RemainingMs))}
	if b.ProbeIntervalMs > 0 {
		out.ProbeAt, out.ProbeInterval = now.Add(boundedMs(b.ProbeInMs)), boundedMs(b.ProbeIntervalMs)
	}
	for _, c := range b.Crashes {
		out.Crashes = append(out.Crashes, decodeReport(c).Crash)
	}
	return out
}

// boundedMs returns a number of milliseconds that is at most quarantine.BlockTime either way.
func boundedMs(ms int64) time.Duration {
	limit := quarantine.BlockTime.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

func encodePart(p quarantine.Part) *pb.PromptPart {
	return &pb.PromptPart{Service: p.Service, Id: p.ID}
}

// decodePart accepts a missing part, whose fields are then empty.
func decodePart(p *pb.PromptPart) quarantine.Part {
	return quarantine.Part{Service: p.GetService(), ID: p.GetId()}
}

func encodeReport(r quarantine.Report) *pb.CrashReport {
	out := &pb.CrashReport{Endpoint: r.Crash.Endpoint, BootId: r.Crash.BootID}
	for _, s := range r.Suspects {
		if s.Trial {
			out.TrialKeys = append(out.TrialKeys, uint64(s.Key))
		} else {
			out.SuspectKeys = append(out.SuspectKeys, uint64(s.Key))
		}
	}
	return out
}

func decodeReport(r *pb.CrashReport) quarantine.Report {
	out := quarantine.Report{Crash: quarantine.Crash{Endpoint: r.Endpoint, BootID: r.BootId}}
	for _, k := range r.TrialKeys {
		out.Suspects = append(out.Suspects, quarantine.Suspect{Key: quarantine.Key(k), Trial: true})
	}
	for _, k := range r.SuspectKeys {
		out.Suspects = append(out.Suspects, quarantine.Suspect{Key: quarantine.Key(k)})
	}
	for _, s := range r.Suspects {
		out.Suspects = append(out.Suspects, quarantine.Suspect{Key: decodePart(s.Part).Key(), Trial: s.Trial})
	}
	return out
}
