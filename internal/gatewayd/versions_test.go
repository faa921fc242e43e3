package gatewayd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/rollout"
)

// Guards against a gateway that knows only the newest version of weights, because it started or
// was cut off while an earlier one was named: a peer tells the age of the earlier one when the two
// connect, and with each plan of a rollout.
func TestPeersTellOfEarlierVersions(t *testing.T) {
	earlier, newest := catalog.Target{Model: "m", Version: 2}, catalog.Target{Model: "m", Version: 3}
	for _, connectedBefore := range []bool{true, false} {
		is := is.New(t)
		f := newAnnouncedFleet(t, 1)
		f.process.gateway.Targets.Deadline = 12 * time.Second
		name := func() {
			f.process.gateway.Targets.SetIfNewer(earlier, time.Now().Add(-8*time.Second))
			f.process.gateway.Targets.SetIfNewer(newest, time.Now().Add(-4*time.Second))
		}
		if !connectedBefore {
			name()
		}
		other := f.another()
		if connectedBefore {
			f.endpoints[0].announce(0, "Server-Leaving", "1")
			f.callUntil(0, 1)
			other.waitForState(0, member.Leaving)
			name()
		}
		other.put(platform.TargetPrefix+"m", `{"model":"m","version":3}`)
		if connectedBefore {
			f.process.announcePlan(rollout.Plan{Model: "m", Version: 3, Fence: 1, Number: 1})
		}
		age := func(want catalog.Target) time.Duration {
			named, _ := other.process.gateway.Targets.NamedAt(want)
			return time.Since(named)
		}
		waitUntil(t, "age of the earlier version", func() bool { return age(earlier) < time.Minute })
		is.True(age(earlier) >= 8*time.Second)
		is.True(age(newest) >= 4*time.Second)
	}
}
