package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// ReportInterval is the time between two reports.
const ReportInterval = 100 * time.Millisecond

const (
	// fullGap is the shortest time between two reports of all counters.
	fullGap = 700 * time.Millisecond
	// fullReports is the number of reports of all counters after a start of contact: one may
	// be lost.
	fullReports = 2
)

// slackRise is the time after the start in which the slack becomes usable.
const slackRise = 3 * time.Second

// Ledger keeps the accounts' limits. It is safe for concurrent use and never blocks.
type Ledger struct {
	mu    sync.Mutex
	boot  uint64
	slack float64
	// phase sets the waits of this gateway's refused requests apart from those of others.
	phase    float64
	share    float64
	contacts contacts
	accounts accounts
	// started is the time of the first call.
	started time.Time
	// fullDue is the number of reports of all counters that are still to be sent.
	fullDue  int
	lastFull time.Time
}

// New returns a ledger without limits.
func New(o Options) *Ledger {
	slack := o.Slack
	if !validUnits(slack) {
		slack = 0
	}
	_, phase := math.Modf(float64(o.Boot%1024) * goldenRatio)
	return &Ledger{
		boot:     o.Boot,
		slack:    slack,
		phase:    phase,
		contacts: contacts{self: o.Self},
		accounts: newAccounts(),
	}
}

// SetLimits replaces the limits, by account. A rate that isn't positive and finite means no
// limit. An account that loses its limit is remembered for 10 s.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	l.settle(now)
	for account, limit := range limits {
		if limit, ok := usable(limit); ok {
			l.accounts.set(account, limit, l.share, now)
		}
	}
	l.accounts.removeLimits(func(b *bucket) bool {
		_, limited := usable(limits[b.account])
		return !limited
	}, now)
	l.sweep(now)
}

// SetFleet sets the names of the registered gateways, this one included. Until it has been
// called, only a small part of the slack is admitted.
func (l *Ledger) SetFleet(gateways []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	l.contacts.setFleet(gateways)
	l.updateShare(now, now)
}

// Admit decides on a request and charges its cost in units if it is admitted. Requests of
// accounts without a limit are admitted. A cost that isn't a positive number counts as 0.
func (l *Ledger) Admit(account string, cost float64, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.find(account, now)
	if b == nil {
		return Verdict{Admitted: true}
	}
	cost = chargeable(cost)
	admitted := l.admits(b, cost, now)
	verdict := Verdict{Admitted: admitted, Share: l.share}
	if admitted {
		l.charge(b, cost, now)
	} else {
		verdict.RetryAfter = l.retryAfter(b, cost, now)
	}
	verdict.Level = b.level
	return verdict
}

// admits returns whether a bucket has capacity for a cost. The part of gateways that are silent
// isn't spent.
func (l *Ledger) admits(b *bucket, cost float64, now time.Time) bool {
	level, slackShare := b.level, l.slackShare(now)
	part, since := l.contacts.heldPart(l.share)
	if part < 1 {
		level = min(level, b.held(part, since, now))
	}
	return b.admits(cost, level, l.share*part, slackShare*part, l.slack)
}

// Charge charges a cost in units without a decision.
func (l *Ledger) Charge(account string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.find(account, now); b != nil {
		l.charge(b, chargeable(cost), now)
	}
}

// Refund gives back the cost in units of a request that has not run.
func (l *Ledger) Refund(account string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.find(account, now); b != nil {
		b.refund(chargeable(cost), l.share)
		b.own.subtract(chargeable(cost))
	}
}

// Used returns how far an account has used its limit: 0 if all of its burst is left, 1 if
// nothing is left, 0 without a limit.
func (l *Ledger) Used(account string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.find(account, now); b != nil {
		return b.used(l.share)
	}
	return 0
}

// Report returns what to tell the other gateways, false if there is nothing to tell. It is
// called every ReportInterval.
func (l *Ledger) Report(now time.Time) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	l.sweep(now)
	if !l.accounts.anyLimited() || !l.contacts.known {
		return Report{}, false
	}
	return Report{
		Boot:     l.boot,
		Fleet:    l.contacts.current().hash,
		Heard:    l.contacts.heard(now),
		Spending: l.spending(now),
	}, true
}

// Apply records a report of another gateway. Accounts without a limit here and numbers that
// can't be counters are left out.
func (l *Ledger) Apply(from string, r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	p, change := l.contacts.hear(from, r, now)
	if change.share {
		l.updateShare(change.since, now)
	}
	if change.started {
		l.fullDue = fullReports
	}
	if p == nil {
		return
	}
	for _, s := range r.Spending {
		l.applySpending(p, s, now)
	}
}

// Accounts returns the state of all limited accounts, sorted by name.
func (l *Ledger) Accounts(now time.Time) []AccountState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	l.settle(now)
	states := make([]AccountState, 0, len(l.accounts.buckets))
	for _, b := range l.accounts.buckets {
		if b.limited() {
			states = append(states, AccountState{Account: b.account, Limit: b.limit, Level: b.level, Share: l.share})
		}
	}
	slices.SortFunc(states, func(a, b AccountState) int { return strings.Compare(a.Account, b.Account) })
	return states
}

// find returns the settled bucket of a limited account, nil without a limit.
func (l *Ledger) find(account string, now time.Time) *bucket {
	l.refresh(now)
	b := l.accounts.buckets[account]
	if b == nil || !b.limited() {
		return nil
	}
	b.settle(l.share, now)
	return b
}

func (l *Ledger) charge(b *bucket, cost float64, now time.Time) {
	b.spend(cost, l.share)
	b.own.add(cost, now)
}

// retryAfter returns when a refused request may return.
func (l *Ledger) retryAfter(b *bucket, cost float64, now time.Time) time.Duration {
	rate := l.share * b.limit.PerSecond
	return b.retry.next((cost-b.level)/rate, cost/rate, l.phase, now)
}

// slackShare returns the part of the slack that this gateway and those in contact may use. It
// grows from 0 after the start: a debt of the process before is forgotten, and the slack would
// be used a second time.
func (l *Ledger) slackShare(now time.Time) float64 {
	share := l.contacts.slackShare(l.share)
	if age := now.Sub(l.started); age < slackRise {
		share *= age.Seconds() / slackRise.Seconds()
	}
	return share
}

// refresh ends contacts that have timed out.
func (l *Ledger) refresh(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	if heard, ended := l.contacts.expire(now); ended {
		l.updateShare(heard, now)
	}
}

// updateShare computes the share after a change of the fleet or of the contacts that began at
// a time, and adapts the levels accordingly.
func (l *Ledger) updateShare(since, now time.Time) {
	share := l.contacts.share()
	if share == l.share {
		return
	}
	l.settle(now)
	for _, b := range l.accounts.buckets {
		b.rescale(l.share, share, since, now)
	}
	l.share = share
}

// settle fills all buckets up to now.
func (l *Ledger) settle(now time.Time) {
	for _, b := range l.accounts.buckets {
		b.settle(l.share, now)
	}
}

// sweep drops the accounts whose time has passed.
func (l *Ledger) sweep(now time.Time) {
	for _, slot := range l.accounts.sweep(now) {
		for _, p := range l.contacts.peers {
			p.forget(slot)
		}
	}
}

// spending returns the counters that belong in the next report.
func (l *Ledger) spending(now time.Time) []Spending {
	full := l.fullDue > 0 && now.Sub(l.lastFull) >= fullGap
	if full {
		l.fullDue--
		l.lastFull = now
	}
	var spending []Spending
	for _, b := range l.accounts.buckets {
		if !b.limited() {
			continue
		}
		b.settle(l.share, now)
		b.addSample(now)
		if full && b.own.units > 0 || b.own.due(b, l.share, len(l.contacts.names), now) {
			spending = append(spending, b.own.report(b.account, now))
		}
	}
	return spending
}
