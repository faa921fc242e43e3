// Package quota enforces the rate limits of client accounts over all gateways together.
// It makes decisions only: time, demand and the reports of other gateways come in,
// verdicts and reports go out.
//
// Each gateway keeps one token bucket per account for the whole fleet, and charges it with its
// own requests and with the spending that others report. Two gateways are in contact while each
// hears the other's reports. A gateway that isn't in contact with all others fills its buckets
// only with the share of the limit that belongs to those in contact. docs/design/quotas.md has
// the rules and their reasons.
package quota

import "time"

// Unit is what a limit counts.
type Unit string

// Units of limits.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts a request as its prompt tokens plus the bound on its generated tokens.
	Tokens Unit = "tokens"
)

// Limit is the rate limit of a client account.
type Limit struct {
	// PerSecond is the rate and Burst the most that may be used at once, both in units.
	PerSecond, Burst float64
	Unit             Unit
	// PlainTokens is the cost of a request that doesn't state its tokens, in tokens.
	PlainTokens float64
}

// Cost returns the cost of a request with so many tokens in units; 0 tokens means that the
// request doesn't state them.
func (l *Limit) Cost(tokens int64) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return l.PlainTokens
}

// Options are the settings of a Ledger.
type Options struct {
	// Self is the name of this gateway.
	Self string
	// Boot identifies this process among those that have run under the name.
	Boot uint64
	// Slack is the number of units by which all gateways together may exceed a limit in a
	// window.
	Slack float64
}

// Verdict is a decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which the caller of a refused request may return.
	RetryAfter time.Duration
	// Level is the number of units left after the decision, negative for a debt. Share is
	// the part of the limit that the gateways in contact may use, from 0 to 1.
	Level, Share float64
}

// Spending is the cumulative cost of an account's requests at one gateway.
type Spending struct {
	Account string
	// Units is the sum since the gateway's process started.
	Units float64
}

// Report is what a gateway tells the others.
type Report struct {
	// Boot identifies the process that sends the report.
	Boot uint64
	// Fleet is a hash of the sorted names of the registered gateways as the sender knows
	// them, and Heard has a bit for each of them, set if the sender hears it.
	Fleet    uint64
	Heard    []byte
	Spending []Spending
}

// AccountState describes an account's limit for metrics.
type AccountState struct {
	Account string
	Limit   Limit
	// Level is the number of units left, negative for a debt. Share is the part of the
	// limit that the gateways in contact may use, from 0 to 1.
	Level, Share float64
}
