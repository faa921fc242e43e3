package quota

import "time"

// Ledger keeps the accounts' limits. It is safe for concurrent use and never blocks.
type Ledger struct{}

// New returns a ledger without limits.
func New(Options) *Ledger { return &Ledger{} }

// SetLimits replaces the limits, by account.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {}

// SetFleet sets the names of the registered gateways, this one included.
func (l *Ledger) SetFleet(gateways []string, now time.Time) {}

// Admit decides on a request and charges its cost in units if it is admitted. Requests of
// accounts without a limit are admitted.
func (l *Ledger) Admit(account string, cost float64, now time.Time) Verdict {
	return Verdict{Admitted: true}
}

// Charge charges a cost in units without a decision.
func (l *Ledger) Charge(account string, cost float64, now time.Time) {}

// Refund gives back the cost in units of a request that has not run.
func (l *Ledger) Refund(account string, cost float64, now time.Time) {}

// Used returns how far an account has used its limit: 0 if all of its burst is left, 1 if
// nothing is left, 0 without a limit.
func (l *Ledger) Used(account string, now time.Time) float64 { return 0 }

// Report returns what to tell the other gateways, false if there is nothing to tell. It is
// called every ReportInterval.
func (l *Ledger) Report(now time.Time) (Report, bool) { return Report{}, false }

// Apply records a report of another gateway.
func (l *Ledger) Apply(from string, r Report, now time.Time) {}

// Accounts returns the state of all limited accounts.
func (l *Ledger) Accounts(now time.Time) []AccountState { return nil }

// ReportInterval is the time between two reports.
const ReportInterval = 100 * time.Millisecond
