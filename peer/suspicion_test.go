package peer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/quarantine"
)

// Guards against observations that lose fields on their way to another gateway, and
// against a message without them that stops the receiver.
func TestSuspicionRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1e12)
	part := quarantine.Part{Service: "s", ID: "p"}
	crash := quarantine.Crash{Endpoint: "i-1", BootID: "7"}
	in := Suspicion{
		Reports: []quarantine.Report{{Crash: crash, Suspects: []quarantine.Suspect{{Key: part.Key(), Trial: true}, {Key: quarantine.Part{Service: "s", ID: "q"}.Key()}}}},
		Cleared: []quarantine.Key{part.Key()},
		Blocks: []quarantine.Block{{Part: part, Crashes: []quarantine.Crash{crash}, Until: now.Add(time.Minute)},
			{Part: part, Until: now.Add(time.Minute), ProbeAt: now.Add(-time.Second), ProbeInterval: 3 * time.Second}},
	}
	is.Equal(decodeSuspicion(in.batch(now), now), in)
	earlier := &pb.Batch{Crashes: []*pb.CrashReport{{Endpoint: "i-1", BootId: "7", Suspects: []*pb.Suspect{{Part: encodePart(part), Trial: true}}}},
		Cleared: []*pb.PromptPart{encodePart(part)}}
	is.Equal(decodeSuspicion(earlier, now), Suspicion{Cleared: in.Cleared,
		Reports: []quarantine.Report{{Crash: crash, Suspects: []quarantine.Suspect{{Key: part.Key(), Trial: true}}}}}) // of an earlier release
	far := decodeBlock(&pb.BlockedPart{RemainingMs: math.MaxInt64, ProbeInMs: math.MaxInt64, ProbeIntervalMs: math.MaxInt64}, now)
	is.Equal(far, quarantine.Block{Until: now.Add(quarantine.BlockTime), ProbeAt: now.Add(quarantine.BlockTime), ProbeInterval: quarantine.BlockTime})
	malformed := &pb.Batch{Crashes: []*pb.CrashReport{{Suspects: []*pb.Suspect{{}}}}, Blocked: []*pb.BlockedPart{{}}}
	is.True(!decodeSuspicion(malformed, now).Empty())
}
