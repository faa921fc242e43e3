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

	mu     sync.Mutex
	models map[string]*modelVersions
}

// maxModels bounds the models of which another process has told and whose version the store
// has not named to this one.
const maxModels = 1024

// SetIfNewer adds a wanted version if it is newer than the known ones, and reports
// whether it was. now counts as its naming time: the process has seen it being named.
func (t *Targets) SetIfNewer(want catalog.Target, now time.Time) bool {
	return t.setIfNewer(want, naming{foundAt: now, witnessedAt: now})
}

// SetFoundIfNewer is SetIfNewer for a version that the process found when it started, or
// after it was cut off from the store: it was named earlier. now counts as its naming time
// until another process tells its age, or the store the time of day.
func (t *Targets) SetFoundIfNewer(want catalog.Target, now time.Time) bool {
	return t.setIfNewer(want, naming{foundAt: now})
}

// SetIfNewerAfterPause is SetIfNewer for a version that the process sees after a pause in which
// it didn't run: it was named since then. The pause, 3 s at most, counts as the version's age
// until another process tells its age.
func (t *Targets) SetIfNewerAfterPause(want catalog.Target, pause time.Duration, now time.Time) bool {
	return t.setIfNewer(want, naming{foundAt: now, pausedAt: now.Add(-pause)})
}

func (t *Targets) setIfNewer(want catalog.Target, n naming) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.model(want.Model)
	if want.Version <= m.newest {
		return false
	}
	m.newest = want.Version
	m.add(want.Version, n)
	return true
}

// model returns the versions of a model. The caller holds mu.
func (t *Targets) model(name string) *modelVersions {
	m := t.models[name]
	if m == nil {
		if t.models == nil {
			t.models = map[string]*modelVersions{}
		}
		m = &modelVersions{}
		t.models[name] = m
	}
	return m
}

// Backdate sets the time at which a version was named, as a process that has seen it tells
// it by its age. A time after the known one is ignored.
func (t *Targets) Backdate(want catalog.Target, named time.Time) {
	t.report(want, naming{witnessedAt: named})
}

// BackdateByClock sets the time at which a version was named from a time of day in Unix
// milliseconds, as the store and processes of an earlier release tell it; 0 and less is not
// known. now is the present time. It counts only for a version of which no process that has
// seen it being named has told the age. The clocks of two hosts may differ by seconds: the
// result is then wrong by as much, but never later than now, nor earlier by more than
// maxClockAge.
func (t *Targets) BackdateByClock(want catalog.Target, namedMs int64, now time.Time) {
	if namedMs <= 0 {
		return
	}
	age := time.Duration(min(max(0, now.UnixMilli()-namedMs), maxClockAge.Milliseconds())) * time.Millisecond
	t.report(want, naming{clockAt: now.Add(-age)})
}

// report adds what another process, or the store, tells of a version's naming. It may be one
// that this process hasn't seen, because it started or was cut off when the version was named.
func (t *Targets) report(want catalog.Target, n naming) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if want.Model == "" || want.Version <= 0 || t.models[want.Model] == nil && len(t.models) >= maxModels {
		return
	}
	t.model(want.Model).add(want.Version, n)
}

// NamedAt returns when a version was named as far as it is known, the zero time for an
// unknown version. witnessed is true if the time comes from a process that has seen it.
func (t *Targets) NamedAt(want catalog.Target) (named time.Time, witnessed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.models[want.Model].inForce() {
		if v.version == want.Version {
			return v.at(), v.witnessed()
		}
	}
	return time.Time{}, false
}

// Naming is a version with what NamedAt returns for it.
type Naming struct {
	catalog.Target
	Named     time.Time
	Witnessed bool
}

// Namings returns the versions of a model that a process that starts now must know, the oldest
// first: those whose deadline is still to come, and the last one whose deadline has passed.
func (t *Targets) Namings(model string, now time.Time) []Naming {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Naming
	for _, v := range t.models[model].inForce() {
		if v.witnessed() && now.Sub(v.at()) > max(t.Deadline, preferAfter) {
			out = out[:0] // this version replaces the earlier ones
		}
		out = append(out, Naming{catalog.Target{Model: model, Version: v.version}, v.at(), v.witnessed()})
	}
	return out
}

// Latest returns the newest wanted version of each model.
func (t *Targets) Latest() []catalog.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]catalog.Target, 0, len(t.models))
	for name, m := range t.models {
		if m.newest > 0 {
			out = append(out, catalog.Target{Model: name, Version: m.newest})
		}
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
	for _, v := range t.models[model].inForce() {
		age := now.Sub(v.at())
		if age > preferAfter {
			preferred = v.version
		}
		if t.Deadline > 0 && min(age, now.Sub(settled)) > t.Deadline-requireMargin {
			required = v.version
		}
	}
	return required, preferred
}
