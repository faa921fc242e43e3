package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
)

// deadlineTest is the deadline of versions in tests, requireMargin included.
const deadlineTest = 12 * time.Second

// Guards against a process that starts and knows the deadline of the newest version only:
// engines with weights that were replaced twice must not serve, once the first of the two
// versions is due. It learns of that version before or after the newest one.
func TestStartedProcessKnowsEarlierVersion(t *testing.T) {
	now := time.Now()
	earlier, newest := catalog.Target{Model: model, Version: 2}, catalog.Target{Model: model, Version: 3}
	holder := &Targets{Deadline: deadlineTest}
	holder.SetIfNewer(earlier, now.Add(-8*time.Second))
	holder.SetIfNewer(newest, now.Add(-4*time.Second))
	named, witnessed := holder.NamedAt(newest)
	plan := Plan{Model: model, Version: 3, Named: named, Witnessed: witnessed}.Stored(holder, now)
	for name, tell := range map[string]func(*Targets){
		"age": func(t *Targets) { t.Backdate(earlier, now.Add(-8*time.Second)) },
		"plan": func(t *Targets) {
			Plan{Model: model, Version: 3, NamedMs: plan.NamedMs, Earlier: plan.Earlier}.Backdate(t, now)
		},
		"plan of the earlier version": func(t *Targets) {
			Plan{Model: model, Version: 2, NamedMs: ClockMs(now.Add(-8*time.Second), now)}.Backdate(t, now)
		},
	} {
		for _, first := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				targets := &Targets{Deadline: deadlineTest}
				if first {
					tell(targets)
				}
				is.True(targets.SetFoundIfNewer(newest, now))
				if !first {
					tell(targets)
				}
				required, _ := targets.Version(model, now.Add(3*time.Second))
				is.Equal(required, int64(0))
				required, preferred := targets.Version(model, now.Add(3300*time.Millisecond))
				is.Equal([]int64{required, preferred}, []int64{2, 3})
			})
		}
	}
}

// Guards against a version that counts before the store has named it, and against gateways that
// are told of it although the sender doesn't know yet that it is in force.
func TestVersionToldBeforeStoreDoesNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := &Targets{Deadline: deadlineTest}
	targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, now.Add(-time.Minute))
	targets.Backdate(catalog.Target{Model: model, Version: 3}, now.Add(-time.Minute))
	required, preferred := targets.Version(model, now)
	is.Equal([]int64{required, preferred}, []int64{2, 2})
	is.Equal(targets.Latest(), []catalog.Target{{Model: model, Version: 2}})
	is.Equal(len(targets.Namings(model, now)), 1)
	targets.Backdate(catalog.Target{Model: "other", Version: 3}, now)
	is.Equal(len(targets.Latest()), 1)
}

// Guards against a starting process that is told of ever more versions: those from before the
// last one whose deadline has passed decide nothing.
func TestNamingsAreThoseThatBind(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := &Targets{Deadline: deadlineTest}
	for i := range 40 {
		targets.SetIfNewer(catalog.Target{Model: model, Version: int64(i + 1)}, now.Add(time.Duration(i-40)*5*time.Second))
	}
	var versions []int64
	for _, n := range targets.Namings(model, now) {
		versions = append(versions, n.Version)
	}
	is.Equal(versions, []int64{38, 39, 40})
	targets.Deadline = 0 // then versions are only preferred
	is.Equal(len(targets.Namings(model, now)), 1)
}

// Guards against memory without bound, and against the loss of what is in force, when a process
// tells of many models and versions or of ones that make no sense.
func TestToldVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := &Targets{Deadline: deadlineTest}
	targets.SetIfNewer(catalog.Target{Model: model, Version: 100}, now.Add(-time.Minute))
	for i := range int64(2 * maxModels) {
		targets.Backdate(catalog.Target{Model: model, Version: i % 90}, now)
		targets.Backdate(catalog.Target{Model: time.Duration(i).String(), Version: 1}, now)
	}
	targets.Backdate(catalog.Target{Version: 1}, now)
	targets.Backdate(catalog.Target{Model: model, Version: -1}, now)
	is.Equal(len(targets.models), maxModels)
	is.Equal(len(targets.models[model].known), maxVersions)
	required, _ := targets.Version(model, now)
	is.Equal(required, int64(100))
	is.True(targets.SetFoundIfNewer(catalog.Target{Model: "late", Version: 1}, now)) // the store counts in any case
}
