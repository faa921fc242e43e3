package rollout

import "time"

// maxClockAge bounds the age of a version that a time of day tells, which may be wrong by any
// amount. Decisions depend only on ages below the deadline.
const maxClockAge = 24 * time.Hour

// naming is what a process knows of the time at which a version was named. Its times are
// zero when they are not known. All but estimatedAt are by monotonic clocks and never
// earlier than the naming.
type naming struct {
	// foundAt is when this process first saw the version.
	foundAt time.Time
	// witnessedAt is the earliest time at which a process that ran before has seen it.
	witnessedAt time.Time
	// estimatedAt comes from a time of day, which is wrong by as much as the clocks of two
	// hosts differ, or is the begin of a pause in which this process didn't run and the
	// version was named.
	estimatedAt time.Time
}

// witnessed reports whether a process has seen the version being named.
func (n naming) witnessed() bool { return !n.witnessedAt.IsZero() }

// at returns the best known time. The estimate counts only without a witness.
func (n naming) at() time.Time {
	if n.witnessed() {
		return earliest(n.foundAt, n.witnessedAt)
	}
	return earliest(n.foundAt, n.estimatedAt)
}

// merge returns what two sources together know.
func (n naming) merge(o naming) naming {
	return naming{earliest(n.foundAt, o.foundAt), earliest(n.witnessedAt, o.witnessedAt), earliest(n.estimatedAt, o.estimatedAt)}
}

// earliest returns the earlier of two times; a zero time is not known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
