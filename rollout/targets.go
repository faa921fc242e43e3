// Package rollout updates engines to the version of weights that the operator
// names. One process at a time holds the rollout lock. It announces which engines
// are about to load, sends orders to a few engines at a time, and polls each engine
// until it has the version.
package rollout

import (
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
)

const (
	// preferAfter is the age of a version after which engines with older weights are
	// avoided, because their responses are worth less.
	preferAfter = time.Second
	// requireMargin is how long before the deadline older weights stop being used,
	// because a request needs some time to start.
	requireMargin = 800 * time.Millisecond
)

// Targets holds the wanted version of each model's weights. It is safe for
// concurrent use.
type Targets struct {
	// Deadline is the age of a version from which older weights must not serve
	// requests; 0 means that they always may.
	Deadline time.Duration
	// UnsettledUntil returns a time before which no version's age counts toward the deadline,
	// because the store that names them was being restored; nil for none.
	UnsettledUntil func() time.Time

	mu sync.Mutex
	// models maps each model to its targets in ascending order of version.
	models map[string][]target
	// earlyTimes holds the naming times of versions that are not in models yet,
	// because a starting process reads the store's keys in any order.
	earlyTimes map[catalog.Target]time.Time
}

// target is a version with the time at which it was named.
type target struct {
	version int64
	namedAt time.Time
}

// maxTargets bounds the versions kept for a model, and the entries of earlyTimes.
// The deadlines of older versions have passed.
const maxTargets = 32

// SetIfNewer adds a wanted version if it is newer than the known ones, and reports
// whether it was. now is its naming time unless Backdate has set an earlier one.
func (t *Targets) SetIfNewer(want catalog.Target, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.models == nil {
		t.models = map[string][]target{}
	}
	known := t.models[want.Model]
	if len(known) > 0 && known[len(known)-1].version >= want.Version {
		return false
	}
	if len(known) >= maxTargets {
		known = known[1:]
	}
	if named, ok := t.earlyTimes[want]; ok {
		delete(t.earlyTimes, want)
		if named.Before(now) {
			now = named
		}
	}
	t.models[want.Model] = append(known, target{want.Version, now})
	return true
}

// Backdate sets the time at which a version was named, as another process reports
// it to one that has started since. A time after the known one is ignored.
func (t *Targets) Backdate(want catalog.Target, named time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.models[want.Model]
	for i := range known {
		if known[i].version == want.Version {
			if named.Before(known[i].namedAt) {
				known[i].namedAt = named
			}
			return
		}
	}
	if len(known) > 0 && known[len(known)-1].version > want.Version {
		return // an older version that is not kept here
	}
	t.storeEarlyTime(want, named)
}

// storeEarlyTime keeps the naming time of a version that is not in models yet;
// the caller holds mu.
func (t *Targets) storeEarlyTime(want catalog.Target, named time.Time) {
	if t.earlyTimes == nil || len(t.earlyTimes) >= maxTargets {
		t.earlyTimes = map[catalog.Target]time.Time{}
	}
	if old, ok := t.earlyTimes[want]; !ok || named.Before(old) {
		t.earlyTimes[want] = named
	}
}

// NamedAt returns the earliest known time at which a version was named, the zero
// time for an unknown version.
func (t *Targets) NamedAt(want catalog.Target) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.models[want.Model] {
		if v.version == want.Version {
			return v.namedAt
		}
	}
	return time.Time{}
}

// Each calls f for each known version with the time at which it was named. f must
// not call methods of t.
func (t *Targets) Each(f func(want catalog.Target, named time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for model, known := range t.models {
		for _, v := range known {
			f(catalog.Target{Model: model, Version: v.version}, v.namedAt)
		}
	}
}

// Latest returns the newest wanted version of each model.
func (t *Targets) Latest() []catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]catalog.Target, 0, len(t.models))
	for m, known := range t.models {
		out = append(out, catalog.Target{Model: m, Version: known[len(known)-1].version})
	}
	return out
}

// Version returns the minimum version that may serve a request to a model, and
// the version that is preferred; 0 means any.
func (t *Targets) Version(model string, now time.Time) (required, preferred int64) {
	var settled time.Time
	if t.UnsettledUntil != nil {
		settled = t.UnsettledUntil()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.models[model] {
		age := now.Sub(v.namedAt)
		if age > preferAfter {
			preferred = v.version
		}
		if t.Deadline > 0 && min(age, now.Sub(settled)) > t.Deadline-requireMargin {
			required = v.version
		}
	}
	return required, preferred
}
