package quota

import (
	"math"
	"time"
)

const (
	// minLargeShare is the smallest share at which a full bucket admits a request that costs
	// more than its level. Fewer than four groups without contact can have it at once.
	minLargeShare = 0.3
	// allowanceDivisor divides the slack: levels may go below zero by one such part. The
	// rest covers spending that the other gateways have not reported yet.
	allowanceDivisor = 4
	// debtLimit bounds a debt to what the rate pays in this time, beside one burst. It is
	// longer than the window in which limits are judged.
	debtLimit = 10 * time.Second
	// maxUnits is the largest cost or counter that is taken as valid. A float64 holds
	// whole units exactly up to it.
	maxUnits = 1e15
)

// bucket is the token bucket of an account, for the whole fleet. Its level holds the share of
// the limit that the gateways in contact may use.
type bucket struct {
	account string
	limit   Limit
	// slot is the index of the account in the counters of other gateways.
	slot  int
	level float64
	at    time.Time
	// spent is the sum of all charges, in units.
	spent float64
	// history has earlier levels and charges.
	history history
	// since is the time at which the bucket was made, and left the time at which its
	// account lost its limit, zero if it has one.
	since, left time.Time
	own         counter
	// debtDecisions is the number of requests that were decided in debt.
	debtDecisions uint64
	retry         retrySlots
}

// limited returns whether the bucket's account has a limit now.
func (b *bucket) limited() bool { return b.left.IsZero() }

// capacity returns the highest level, in units.
func (b *bucket) capacity(share float64) float64 { return share * b.limit.Burst }

// settle fills the bucket up to now.
func (b *bucket) settle(share float64, now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level += share * b.limit.PerSecond * passed.Seconds()
		b.at = now
	}
	b.level = min(b.level, b.capacity(share))
}

// spend lowers the level by a cost in units. The debt is bounded.
func (b *bucket) spend(cost, share float64) {
	level := max(b.level-cost, min(b.level, b.minLevel(share)))
	b.spent += b.level - level
	b.level = level
}

// minLevel returns the level of the largest debt, in units.
func (b *bucket) minLevel(share float64) float64 {
	return -b.limit.Burst - share*b.limit.PerSecond*debtLimit.Seconds()
}

// refund raises the level by a cost in units.
func (b *bucket) refund(cost, share float64) {
	level := min(b.level+cost, b.capacity(share))
	b.spent += b.level - level
	b.level = level
}

// addSample adds the present state to the history. The bucket must be settled.
func (b *bucket) addSample(now time.Time) { b.history.add(b.sample(now)) }

func (b *bucket) sample(now time.Time) sample {
	return sample{at: now, level: b.level, spent: b.spent, own: b.own.units}
}

// rescale follows a change of the share. A smaller share takes effect from a time in the past on:
// the gateways that left have used their part of the level since then, and what the others spent
// beyond their own part becomes a debt. The level doesn't grow with the share: what a returning
// gateway had left is unknown here. The bucket must be settled.
func (b *bucket) rescale(from, to float64, since, now time.Time) {
	if to >= from {
		return
	}
	level := b.history.divide(to/from, since, b.sample(now)).level
	b.level = min(max(level, b.minLevel(to)), b.capacity(to))
}

// setLimit replaces the limit. The bucket must be settled at the old one.
func (b *bucket) setLimit(limit Limit, share float64) {
	if b.limit.Unit != limit.Unit {
		b.level = 0
		b.history.clear()
	}
	b.limit = limit
	b.level = min(b.level, b.capacity(share))
}

// allowance returns the number of units by which all gateways together may exceed the level.
// It is at most a burst, since the slack is meant for tokens: as a number of requests, it
// would leave small limits without effect.
func (b *bucket) allowance(slack float64) float64 {
	return min(slack/allowanceDivisor, b.limit.Burst)
}

// held returns the level that is left if only a part of the share has been there since a time.
// The bucket must be settled.
func (b *bucket) held(part float64, since, now time.Time) float64 {
	return b.history.levelDivided(part, since, b.sample(now))
}

// admits returns whether a level, at most that of the bucket, is enough for a cost. slackShare is
// the share of the slack. The bucket must be settled.
func (b *bucket) admits(cost, level, share, slackShare, slack float64) bool {
	if level+slackShare*b.allowance(slack)*b.allowancePart(level) >= cost {
		return true
	}
	if share < minLargeShare || cost > b.maxCost(slack) {
		return false
	}
	return level >= min(cost, b.capacity(share))
}

// allowancePart returns the part of the allowance, from 0 to 1, for the next request at a level.
// In debt it varies from request to request: all gateways see about the same level, and a common
// threshold would have them admit and refuse in turns.
func (b *bucket) allowancePart(level float64) float64 {
	if level >= 0 {
		return 1
	}
	b.debtDecisions++
	_, part := math.Modf(float64(b.debtDecisions) * goldenRatio)
	return part
}

// maxCost returns the highest cost of a request that a full bucket admits. The header that
// states a cost comes from the caller, so that any number can be in it.
func (b *bucket) maxCost(slack float64) float64 {
	return b.limit.Burst + b.limit.PerSecond + slack/2
}

// used returns the used part of the burst, from 0 to 1.
func (b *bucket) used(share float64) float64 {
	full := b.capacity(share)
	if full <= 0 {
		return 1
	}
	return min(max(1-b.level/full, 0), 1)
}

// validUnits returns whether a number from outside can be a cost or a counter.
func validUnits(units float64) bool {
	return units >= 0 && units <= maxUnits && !math.IsNaN(units)
}

// usable returns a limit whose numbers are valid, false if it doesn't limit anything.
func usable(limit Limit) (Limit, bool) {
	if !validUnits(limit.PerSecond) || limit.PerSecond == 0 {
		return Limit{}, false
	}
	if !validUnits(limit.Burst) {
		limit.Burst = 0
	}
	return limit, true
}

// chargeable returns a cost that can be charged: 0 for one that is not a positive number, at
// most maxUnits.
func chargeable(cost float64) float64 {
	if !(cost > 0) {
		return 0
	}
	return min(cost, maxUnits)
}
