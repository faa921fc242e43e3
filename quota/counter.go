package quota

import "time"

const (
	// reportDivisor, times the number of gateways, divides the burst: one such part may stay
	// unreported while the bucket is well filled.
	reportDivisor = 4
	// reportAge is the longest time for which any spending stays unreported.
	reportAge = time.Second
	// lowLevel is the part of a full bucket below which each change is reported at once.
	lowLevel = 0.25
	// repeatAfter is the time after which a counter is reported once more, in case that the
	// report was lost and the account has fallen idle.
	repeatAfter = 700 * time.Millisecond
)

// counter is the cumulative spending of an account at this gateway.
type counter struct {
	units, reported float64
	// changed is the time of the first spending that isn't reported.
	changed time.Time
	// repeat is the time at which to report the counter once more, zero for never.
	repeat time.Time
}

// add counts a cost in units.
func (c *counter) add(cost float64, now time.Time) {
	if c.units <= c.reported {
		c.changed = now
	}
	c.units += cost
}

// subtract takes back a cost. Other gateways keep the higher figure that they have seen, so
// that the cost is set off against later spending.
func (c *counter) subtract(cost float64) { c.units = max(c.units-cost, 0) }

// due returns whether the counter belongs in the next report.
func (c *counter) due(b *bucket, share float64, gateways int, now time.Time) bool {
	unreported := c.units - c.reported
	if unreported <= 0 {
		return !c.repeat.IsZero() && !now.Before(c.repeat)
	}
	return unreported > b.limit.Burst/float64(reportDivisor*gateways) ||
		now.Sub(c.changed) >= reportAge ||
		b.level < lowLevel*b.capacity(share)
}

// report returns the counter for a report and marks it as reported.
func (c *counter) report(account string, now time.Time) Spending {
	if c.units > c.reported {
		c.reported = c.units
		c.repeat = now.Add(repeatAfter)
	} else {
		c.repeat = time.Time{}
	}
	return Spending{Account: account, Units: c.units}
}
