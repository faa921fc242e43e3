package quota

import (
	"math/bits"
	"time"
)

// apartTime is the time for which a gateway in contact hears one without contact until this
// has an effect. A gateway that stops or starts isn't noticed by all others at once.
const apartTime = time.Second

// apart follows the gateways that another one hears without contact to this one. If the links
// between them have failed, both count on the share of the gateway between them.
type apart struct {
	since time.Time
	// always has those heard in all reports since then, and lasting those of the time
	// before.
	always, lasting []byte
}

// weight returns the part of a gateway's share that belongs to this one: the whole is divided
// between this gateway, those that it is in contact with, and each of the others.
func (a *apart) weight(heard, mates []byte, now time.Time) float64 {
	if len(heard) != len(mates) {
		return 1
	}
	if now.Sub(a.since) >= apartTime {
		a.turn(len(mates), now)
	}
	count := 0
	for i, set := range heard {
		others := set &^ mates[i]
		a.always[i] &= others
		count += bits.OnesCount8(others & a.lasting[i])
	}
	return 1 / float64(1+count)
}

// turn begins the next period.
func (a *apart) turn(size int, now time.Time) {
	a.lasting = a.always
	if len(a.lasting) != size {
		a.lasting = make([]byte, size)
	}
	a.always = make([]byte, size)
	for i := range a.always {
		a.always[i] = 0xff
	}
	a.since = now
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
