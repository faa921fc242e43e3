package rollout

import "time"

// maxClockAge bounds the age of a version that a time of day tells, which may be wrong by any
// amount. Decisions depend only on ages below the deadline.
const maxClockAge = 24 * time.Hour

// maxPauseCounted bounds the part of a pause that counts as a version's age. After a longer pause
// the other processes connect again and tell the age.
const maxPauseCounted = 3 * time.Second

// naming is what a process knows of the time at which a version was named. Its times are
// zero when they are not known. foundAt and witnessedAt are by monotonic clocks and never
// earlier than the naming.
type naming struct {
	// foundAt is when this process first saw the version.
	foundAt time.Time
	// witnessedAt is the earliest time at which a process that ran before has seen it.
	witnessedAt time.Time
	// pausedAt is the begin of a pause in which this process didn't run and before whose end it
	// didn't see the version; the version was named later.
	pausedAt time.Time
	// clockAt comes from a time of day, which is wrong by as much as the clocks of two
	// hosts differ.
	clockAt time.Time
}

// witnessed reports whether a process has seen the version being named.
func (n naming) witnessed() bool { return !n.witnessedAt.IsZero() }

// at returns the best known time. A pause and the time of day count only without a witness.
func (n naming) at() time.Time {
	switch {
	case n.witnessed():
		return earliest(n.foundAt, n.witnessedAt)
	case n.pausedAt.IsZero():
		return earliest(n.foundAt, n.clockAt)
	}
	at := earliest(n.foundAt.Add(-maxPauseCounted), n.clockAt)
	if at.Before(n.pausedAt) {
		return n.pausedAt
	}
	return at
}

// merge returns what two sources together know.
func (n naming) merge(o naming) naming {
	return naming{foundAt: earliest(n.foundAt, o.foundAt), witnessedAt: earliest(n.witnessedAt, o.witnessedAt),
		pausedAt: earliest(n.pausedAt, o.pausedAt), clockAt: earliest(n.clockAt, o.clockAt)}
}

// earliest returns the earlier of two times; a zero time is not known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
