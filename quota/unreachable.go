package quota

import (
	"math/bits"
	"time"
)

// unreachableTime is the time for which a gateway in contact hears one without contact until this
// has an effect. A gateway that stops or starts isn't noticed by all others at once.
const unreachableTime = time.Second

// unreachable tracks the gateways that a peer hears and that this gateway isn't in contact with.
// They count on the peer's share as this gateway does.
type unreachable struct {
	// since is the start of the present period of unreachableTime.
	since time.Time
	// always has a bit for each such gateway, set for those in all reports of the present period,
	// and lasting for those in all reports of the period before.
	always, lasting []byte
}

// weight returns the part of a gateway's share that belongs to this one: the whole is divided
// between this gateway, those that it is in contact with, and each of the others.
func (u *unreachable) weight(heard, reachable []byte, now time.Time) float64 {
	if len(heard) != len(reachable) {
		return 1
	}
	if now.Sub(u.since) >= unreachableTime {
		u.nextPeriod(len(reachable), now)
	}
	count := 0
	for i, set := range heard {
		others := set &^ reachable[i]
		u.always[i] &= others
		count += bits.OnesCount8(others & u.lasting[i])
	}
	return 1 / float64(1+count)
}

// nextPeriod begins the next period.
func (u *unreachable) nextPeriod(size int, now time.Time) {
	u.lasting = u.always
	if len(u.lasting) != size {
		u.lasting = make([]byte, size)
	}
	u.always = make([]byte, size)
	for i := range u.always {
		u.always[i] = 0xff
	}
	u.since = now
}

// newSet returns a set of bits.
func newSet(size int) []byte { return make([]byte, (size+7)/8) }

func setBit(set []byte, i int) { set[i/8] |= 1 << (i % 8) }

func hasBit(set []byte, i int) bool { return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0 }

func countBits(set []byte) int {
	count := 0
	for _, b := range set {
		count += bits.OnesCount8(b)
	}
	return count
}
