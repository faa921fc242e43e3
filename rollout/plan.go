package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
)

// Plan is the state of a model's rollout as announced by the holder of the lock.
type Plan struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Updating holds the ids of the engines that load the version or are about to.
	Updating []string `json:"updating"`
	// Named is when the operator named the version, by this process's monotonic clock.
	// Witnessed is true if a process has seen it; see Targets.NamedAt.
	Named     time.Time `json:"-"`
	Witnessed bool      `json:"-"`
	// NamedMs is the same time of day in Unix milliseconds, for processes that start later
	// or are of an earlier release; 0 when not known.
	NamedMs int64 `json:"named_ms"`
	// Earlier are the versions before whose deadlines a process that starts must know. Only
	// stored plans have them, for a process that finds no other one that knows.
	Earlier []EarlierVersion `json:"earlier,omitempty"`
	// Current holds the ids of the engines that the holder has updated to the version.
	Current []string `json:"current"`
	// Fence is the fencing token of the holder of the lock, 0 when unknown. Number
	// counts the holder's plans for the model.
	Fence  int64 `json:"fence"`
	Number int64 `json:"number"`
}

// EarlierVersion is a version of a plan's model that was named before the plan's own.
type EarlierVersion struct {
	Version int64 `json:"version"`
	// NamedMs is when it was named, a time of day in Unix milliseconds.
	NamedMs int64 `json:"named_ms"`
}

// Stored returns the plan as it is written to the store, for processes that start later. t is
// what the holder knows of the versions, and now the present time.
func (p Plan) Stored(t *Targets, now time.Time) Plan {
	p.Updating, p.Current = nil, nil // valid only while the holder repeats its announcements
	p.Number = 0                     // never newer than an announcement
	p.NamedMs = ClockMs(p.Named, now)
	for _, n := range t.Namings(p.Model, now) {
		if n.Version < p.Version {
			p.Earlier = append(p.Earlier, EarlierVersion{n.Version, ClockMs(n.Named, now)})
		}
	}
	return p
}

// Backdate tells targets when the plan's version and the earlier ones were named. now is the
// present time.
func (p Plan) Backdate(t *Targets, now time.Time) {
	for _, v := range p.Earlier {
		t.BackdateByClock(catalog.Target{Model: p.Model, Version: v.Version}, v.NamedMs, now)
	}
	want := catalog.Target{Model: p.Model, Version: p.Version}
	if p.Witnessed {
		t.Backdate(want, p.Named)
		return
	}
	t.BackdateByClock(want, p.NamedMs, now)
}

// ClockMs returns a past time as a time of day in Unix milliseconds by the present clock,
// whatever the clock showed then; 0 for the zero time.
func ClockMs(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.UnixMilli() - now.Sub(at).Milliseconds()
}

// Newer reports whether p was announced after old. Plans may arrive twice and out of
// order. A plan without a fence, from a process of an older release, counts as newer.
func (p Plan) Newer(old Plan) bool {
	if p.Fence == 0 || p.Fence != old.Fence {
		return p.Fence == 0 || p.Fence > old.Fence
	}
	return p.Number > old.Number
}

// PlanPrefix is the key prefix of plans in the store; the model's name follows.
const PlanPrefix = "citrontiller/rollout/"

// ParsePlan decodes a stored plan.
func ParsePlan(value []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return Plan{}, fmt.Errorf("decode rollout plan: %w", err)
	}
	return p, nil
}
