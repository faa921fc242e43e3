// Package rollout brings engines to the version of weights that the operator
// names: one process at a time holds a lease, announces which engines are about
// to load, orders them a few at a time, and follows each until it is done.
package rollout

import (
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
)

const (
	// preferAfter is the age of a version from which answers made with older
	// weights are worth less.
	preferAfter = time.Second
	// requireMargin is the time before the deadline from which older weights are
	// no longer used: a request takes a moment to start.
	requireMargin = 800 * time.Millisecond
)

// Targets holds the wanted version of each model's weights. It is safe for
// concurrent use.
type Targets struct {
	// Deadline is the age of a version at which older weights must not serve
	// any more; 0 means never.
	Deadline time.Duration

	mu     sync.Mutex
	models map[string][]target
	// early are the times at which versions were named that have not been offered
	// yet: a starting process reads the store's keys in any order.
	early map[catalog.Target]time.Time
}

// target is a version with the time at which it was named; a model's targets
// are in the order of their versions.
type target struct {
	version int64
	since   time.Time
}

// maxTargets bounds the versions remembered of a model. Of older ones all
// deadlines have passed.
const maxTargets = 32

// Offer takes a wanted version, and reports whether it is newer than before.
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
	if named, ok := t.early[want]; ok {
		delete(t.early, want)
		if named.Before(now) {
			now = named
		}
	}
	t.models[want.Model] = append(known, target{want.Version, now})
	return true
}

// Backdate takes from another source when a version was named, for a process
// that has started since. A later time than the known one is ignored.
func (t *Targets) Backdate(want catalog.Target, named time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.models[want.Model]
	for i := range known {
		if known[i].version == want.Version {
			if named.Before(known[i].since) {
				known[i].since = named
			}
			return
		}
	}
	if len(known) > 0 && known[len(known)-1].version > want.Version {
		return // an older version that was never wanted here
	}
	t.remember(want, named)
}

// remember keeps the time of a version that has not been offered yet; the caller
// holds mu.
func (t *Targets) remember(want catalog.Target, named time.Time) {
	if t.early == nil || len(t.early) >= maxTargets {
		t.early = map[catalog.Target]time.Time{}
	}
	if old, ok := t.early[want]; !ok || named.Before(old) {
		t.early[want] = named
	}
}

// Named returns when a version was named, as far as this process knows.
func (t *Targets) NamedAt(want catalog.Target) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.models[want.Model] {
		if v.version == want.Version {
			return v.since
		}
	}
	return time.Time{}
}

// Each calls f for each known version with the time at which it was named.
func (t *Targets) Each(f func(want catalog.Target, named time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for model, known := range t.models {
		for _, v := range known {
			f(catalog.Target{Model: model, Version: v.version}, v.since)
		}
	}
}

// All returns the wanted versions.
func (t *Targets) Latest() []catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]catalog.Target, 0, len(t.models))
	for m, known := range t.models {
		out = append(out, catalog.Target{Model: m, Version: known[len(known)-1].version})
	}
	return out
}

// Version returns the least version that a request to a model may be served
// with, and the one that it should be served with; 0 means any.
func (t *Targets) Version(model string, now time.Time) (required, preferred int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.models[model] {
		age := now.Sub(v.since)
		if age > preferAfter {
			preferred = v.version
		}
		if t.Deadline > 0 && age > t.Deadline-requireMargin {
			required = v.version
		}
	}
	return required, preferred
}
