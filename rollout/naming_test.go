package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
)

// Guards against weights that count as too old, or as in time, because the clock of a host
// was ahead or behind when a version was named: an age by a monotonic clock decides wherever
// a process has seen the naming, whichever it learns first.
func TestAgeOfVersionDoesNotDependOnTimeOfDay(t *testing.T) {
	want := catalog.Target{Model: "m", Version: 4}
	for _, ahead := range []time.Duration{-7 * time.Second, 7 * time.Second} {
		for _, clockFirst := range []bool{true, false} {
			is := is.New(t)
			now := time.Now()
			targets := &Targets{Deadline: 12 * time.Second}
			targets.SetFoundIfNewer(want, now)
			if clockFirst {
				targets.BackdateByClock(want, now.Add(-8*time.Second-ahead).UnixMilli(), now)
			}
			targets.Backdate(want, now.Add(-8*time.Second))
			if !clockFirst {
				targets.BackdateByClock(want, now.Add(-8*time.Second-ahead).UnixMilli(), now)
			}
			at, witnessed := targets.NamedAt(want)
			is.Equal(at, now.Add(-8*time.Second))
			is.True(witnessed)
		}
	}
}

// Guards against a process that has seen a version being named itself, and takes the time of
// day of another host's plan for its age.
func TestPlanWithoutAgeDoesNotReplaceOwnObservation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	want := catalog.Target{Model: "m", Version: 4}
	targets := &Targets{Deadline: 12 * time.Second}
	targets.SetIfNewer(want, now)
	Plan{Model: "m", Version: 4, NamedMs: now.Add(-20 * time.Second).UnixMilli()}.Backdate(targets, now)
	required, preferred := targets.Version("m", now.Add(500*time.Millisecond))
	is.Equal([]int64{required, preferred}, []int64{0, 0})
}

// Guards against a time of day out of all reason where only that is left: in the future, long
// past, or not known.
func TestTimeOfDayIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	want := catalog.Target{Model: "m", Version: 4}
	for namedMs, at := range map[int64]time.Time{
		now.Add(time.Hour).UnixMilli(): now,
		now.UnixMilli() - 3000:         now.Add(-3 * time.Second),
		1:                              now.Add(-maxClockAge),
		0:                              now,
		-62135596800000:                now, // that of the zero time
	} {
		targets := &Targets{}
		targets.SetFoundIfNewer(want, now)
		targets.BackdateByClock(want, namedMs, now)
		got, witnessed := targets.NamedAt(want)
		is.Equal(got, at)
		is.True(!witnessed)
	}
}

// Guards against a stored time that is wrong although the clock is right again, because the
// clock was ahead when the version was named.
func TestStoredTimeIsByThePresentClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(ClockMs(now.Add(-3*time.Second), now), now.UnixMilli()-3000)
	is.Equal(ClockMs(time.Time{}, now), int64(0))
}

// Guards against weights that count as too old, or as in time, because a process that has seen
// a version only after a pause asks the clocks of others: it knows when its pause began.
func TestPauseBoundsAgeOfVersion(t *testing.T) {
	want := catalog.Target{Model: "m", Version: 4}
	for _, ahead := range []time.Duration{-7 * time.Second, 7 * time.Second} {
		for _, clockFirst := range []bool{true, false} {
			is := is.New(t)
			now := time.Now()
			earliest := now.Add(-2 * time.Second)
			targets := &Targets{Deadline: 12 * time.Second}
			if clockFirst {
				targets.BackdateByClock(want, now.Add(-time.Second-ahead).UnixMilli(), now)
			}
			targets.SetIfNewerAfterPause(want, now.Sub(earliest), now)
			targets.BackdateByClock(want, now.Add(-time.Second-ahead).UnixMilli(), now)
			at, witnessed := targets.NamedAt(want)
			is.Equal(at, earliest)
			is.True(!witnessed)
			targets.Backdate(want, now.Add(-time.Second)) // told by a process that has seen it
			at, witnessed = targets.NamedAt(want)
			is.Equal(at, now.Add(-time.Second))
			is.True(witnessed)
		}
	}
}
