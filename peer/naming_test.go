package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/rollout"
)

// Guards against a version whose age is wrong at a gateway whose clock differs from that of
// the sender, by the first batch or by a plan: the sender's monotonic clock decides.
func TestAgeOfVersionBetweenGateways(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	want := catalog.Target{Model: "m", Version: 4}
	named := now.Add(-8 * time.Second)
	target := encodeTarget(rollout.Naming{Target: want, Named: named, Witnessed: true}, now)
	plan := encodePlan(rollout.Plan{Model: "m", Version: 4, Named: named, Witnessed: true}, now)
	for _, ahead := range []int64{-7000, 0, 7000} {
		target.NamedMs, plan.NamedMs = now.UnixMilli()-8000+ahead, now.UnixMilli()-8000+ahead
		for _, apply := range []func(*rollout.Targets){
			func(t *rollout.Targets) { applyTarget(t, target, now) },
			func(t *rollout.Targets) { decodePlan(plan, now).Backdate(t, now) },
		} {
			targets := &rollout.Targets{}
			targets.SetFoundIfNewer(want, now)
			apply(targets)
			at, witnessed := targets.NamedAt(want)
			is.Equal(at, named)
			is.True(witnessed)
		}
	}
}

// Guards against gateways of an earlier release that don't understand this one, and against
// an age that is told although no process has seen the version being named.
func TestAgeOfVersionAcrossReleases(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	want := catalog.Target{Model: "m", Version: 4}
	named := now.Add(-8 * time.Second)
	is.Equal(encodeTarget(rollout.Naming{Target: want, Named: named, Witnessed: true}, now).NamedMs, now.UnixMilli()-8000)
	is.Equal(encodePlan(rollout.Plan{Named: named}, now).NamedMs, now.UnixMilli()-8000)
	is.True(encodePlan(rollout.Plan{Named: named}, now).NamedAgeMs == nil)
	unseen := encodeTarget(rollout.Naming{Target: want, Named: named}, now)
	is.True(unseen.NamedAgeMs == nil)

	for _, apply := range []func(*rollout.Targets){
		func(t *rollout.Targets) { applyTarget(t, unseen, now) },
		func(t *rollout.Targets) {
			decodePlan(&pb.Plan{Model: "m", Version: 4, NamedMs: unseen.NamedMs}, now).Backdate(t, now)
		},
	} {
		targets := &rollout.Targets{}
		targets.SetFoundIfNewer(want, now)
		apply(targets)
		at, witnessed := targets.NamedAt(want)
		is.Equal(at, named)
		is.True(!witnessed)
	}
}

// Guards against a relay that makes a version younger or older than the sender said.
func TestRelayedPlanKeepsAge(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := encodePlan(rollout.Plan{Model: "m", Version: 4, Named: now.Add(-8 * time.Second), Witnessed: true}, now)
	relayed := encodePlan(decodePlan(sent, now), now.Add(50*time.Millisecond))
	is.Equal(relayed.GetNamedAgeMs(), int64(8050))
}
