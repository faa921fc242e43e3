package gateway

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/quota"
)

// maxStatedTokens bounds each number of tokens that a request states, so that their sum stays
// far from overflow.
const maxStatedTokens = 1 << 40

// Quotas enforces the limits of client accounts, by account name. Costs are in units of the
// limit. It is safe for concurrent use, and its methods must not block.
type Quotas interface {
	// Admit decides on a request and charges its cost if it is admitted.
	Admit(account string, cost float64, now time.Time) quota.Verdict
	// Charge charges a cost without a decision.
	Charge(account string, cost float64, now time.Time)
	// Refund gives back the cost of a request that has not run.
	Refund(account string, cost float64, now time.Time)
}

// quotaCharge is what a request is charged. Its zero value is that of a request without a
// limit.
type quotaCharge struct {
	limited bool
	// cost is that of one run of the request in units.
	cost float64
	// verdict is the last decision, and retryAt the time at which the account is expected to
	// have room if it was a refusal.
	verdict quota.Verdict
	retryAt time.Time
	// charges is the number of runs that are charged, runs that of the sends that may have
	// run the request.
	charges, runs int
}

// checkQuota refuses the request if it exceeds its account's limit, else it is charged for one
// run. Requests on public routes are not counted. The error is a *Refusal.
func (x *exchange) checkQuota() error {
	if x.g.Quotas == nil || x.account == nil || x.account.Quota == nil || x.route.Public {
		return nil
	}
	x.quota = quotaCharge{limited: true, cost: x.account.Quota.Cost(x.statedTokens())}
	if !x.admitQuota() {
		return x.quotaRefusal()
	}
	return nil
}

// admitQuota charges the request for a run if its account's limit allows it, and reports
// whether it does.
func (x *exchange) admitQuota() bool {
	if !x.quota.limited {
		return true
	}
	now := time.Now()
	x.quota.verdict = x.g.Quotas.Admit(x.account.Name, x.quota.cost, now)
	if !x.quota.verdict.Admitted {
		x.quota.retryAt = now.Add(x.quota.verdict.RetryAfter)
		return false
	}
	x.quota.charges++
	return true
}

// quotaExceeded reports whether the last decision was that the account's limit is exceeded.
func (x *exchange) quotaExceeded() bool { return x.quota.limited && !x.quota.verdict.Admitted }

// quotaRefusal returns the refusal of a request whose account has exceeded its limit.
func (x *exchange) quotaRefusal() *Refusal {
	retryAfter := x.quota.verdict.RetryAfter
	if x.queueEnd != "" { // the verdict is that of a turn in the queue, some time ago
		retryAfter = max(minRetryAfter, time.Until(x.quota.retryAt))
	}
	return &Refusal{Status: http.StatusTooManyRequests, Outcome: "quota", RetryAfter: retryAfter}
}

// statedTokens returns the tokens of the prompt and the bound on generated tokens that the
// request states, 0 if it states neither.
func (x *exchange) statedTokens() int64 {
	return boundedTokens(x.info.PromptTokens) + boundedTokens(x.info.OutputTokens)
}

func boundedTokens(n int64) int64 { return min(max(0, n), maxStatedTokens) }

// chargeSend charges the request for another run if all charged runs may have taken place. It
// is called before each send.
func (x *exchange) chargeSend() {
	if x.quota.limited && x.quota.charges == x.quota.runs {
		x.g.Quotas.Charge(x.account.Name, x.quota.cost, time.Now())
		x.quota.charges++
	}
}

// countRun records whether a send with the result err may have run the request. It is called
// after each send.
func (x *exchange) countRun(err error) {
	var failed *attemptError
	if errors.As(err, &failed) && failed.failure != unknown {
		return
	}
	x.quota.runs++
}

// refundQuota gives back what was charged for runs that did not take place. It is called when
// the request has ended and when it waits in a queue.
func (x *exchange) refundQuota() {
	if unused := x.quota.charges - x.quota.runs; unused > 0 {
		x.g.Quotas.Refund(x.account.Name, float64(unused)*x.quota.cost, time.Now())
		x.quota.charges = x.quota.runs
	}
}

// quotaFields describe the charge and the decision. There are none for requests without a
// limit.
func (x *exchange) quotaFields() []zap.Field {
	if !x.quota.limited {
		return nil
	}
	return []zap.Field{zap.Float64("cost", x.quota.cost), zap.Int("charges", x.quota.charges),
		zap.Float64("quota_level", x.quota.verdict.Level), zap.Float64("quota_share", x.quota.verdict.Share)}
}
