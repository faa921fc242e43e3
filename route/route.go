// Package route selects the endpoint for a request. The selection is a pure function
// of the request and a snapshot of the candidates: filters exclude candidates,
// scorers compute the cost of each in milliseconds, and a picker selects one. A
// Tracker maintains state from earlier requests and load reports and provides the
// snapshots.
package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

// Request holds the properties of a request on which the selection depends.
type Request struct {
	ID      string
	Service string
	Account string
	Model   string
	// Version is the required version of the weights, empty for any.
	Version string
	// MinWeightsVersion is the oldest weights version that may serve the request,
	// PreferredWeightsVersion the oldest one that should: endpoints with older
	// weights have a higher cost. 0 means any.
	MinWeightsVersion, PreferredWeightsVersion int64
	// Region is the region of the process that routes the request.
	Region string
	// Idempotent is true when the request may run more than once. Only such requests
	// probe ejected endpoints.
	Idempotent bool
	// Stream is true when the response is streamed, so that its first token can be
	// observed.
	Stream bool
	// Levels are the prefix levels of the prompt, shortest first.
	Levels []prefix.Level
	// Tokens is the estimated length of the prompt in tokens.
	Tokens int64
	// Bytes is the size of the request body in bytes.
	Bytes int64
	// Rank is the priority at the endpoint; 0 goes first.
	Rank int
	// OutputTokens is the expected length of the response, derived from earlier
	// responses; 0 when unknown.
	OutputTokens float64
	// UsualPrefillTokens is the usual number of prompt tokens that a request to the
	// service has to compute; 0 when unknown.
	UsualPrefillTokens float64
	// Seed is a random number that breaks ties.
	Seed uint64
	// Exclude holds the ids of endpoints at which this request was refused or failed.
	Exclude map[string]bool
	// IgnorePace permits endpoints at the limit of their pace because no other is available.
	IgnorePace bool
	// LastResort permits ejected endpoints because no other is available.
	LastResort bool
	// Policy holds the service's settings for endpoint selection.
	Policy Policy
}

// shared returns the levels that other requests may share: all except the last,
// which covers the whole prompt.
func (r *Request) shared() []prefix.Level { return r.Levels[:max(0, len(r.Levels)-1)] }

// Policy holds the settings of a service for endpoint selection. A zero field means
// the default, except for PriceMsPerMiB.
type Policy struct {
	// PriceMsPerMiB is the reduction of the time to first token, in milliseconds,
	// that justifies a MiB of traffic between regions; 0 means that such traffic
	// costs nothing.
	PriceMsPerMiB float64
	// EjectAfter is the number of consecutive failures after which an endpoint is
	// ejected.
	EjectAfter int
	// ProbeInterval is the time to the first probe of an ejected endpoint; it
	// doubles with each failed probe.
	ProbeInterval time.Duration
	// BlockLifetime is the assumed block lifetime of endpoints that don't report
	// theirs, until it is learned.
	BlockLifetime time.Duration
}

// Load is the latest load report of an endpoint. A zero field is unknown.
type Load struct {
	// BootID changes when the endpoint's cached prompts are lost, as by a restart.
	BootID string
	// Version is the version of the loaded weights.
	Version string
	// WeightsVersion is the version of the weights if versions are ordered numbers,
	// otherwise 0. In a candidate it is that of the request's model.
	WeightsVersion int64
	// ModelVersions holds the version of each model's weights, nil if WeightsVersion holds for
	// all. It must not be changed.
	ModelVersions map[string]int64
	// Running and Queued are numbers of requests. Limit is the maximum number of
	// concurrently running requests.
	Running int64
	Queued  int64
	Limit   int64
	// KVCapacityTokens is the capacity of the engine's KV cache memory for prompts
	// and responses, in tokens.
	KVCapacityTokens int64
	// Wait is the wait in the queue that the agent predicted at the time of the
	// report.
	Wait time.Duration
	// PrefillTokensPerSecond is the prefill speed before Slowdown is applied.
	PrefillTokensPerSecond float64
	// Slowdown is the ratio of the current time per token to the usual one.
	Slowdown float64
	// BlockLifetime is the time after which an unused cache block is evicted.
	BlockLifetime time.Duration
}

// versionOf returns the version of a model's weights, 0 if it isn't known.
func (l Load) versionOf(model string) int64 {
	if l.ModelVersions == nil {
		return l.WeightsVersion
	}
	return l.ModelVersions[model]
}

// Endpoint is a candidate with its state at the time of the snapshot.
type Endpoint struct {
	member.Endpoint
	Load Load
	// InFlight is the number of this process's requests at the endpoint.
	InFlight int64
	// WaitMs is the expected wait until the prefill of the request starts, in
	// milliseconds.
	WaitMs float64
	// BacklogMs is the expected wait of a request with the lowest priority, in
	// milliseconds.
	BacklogMs float64
	// CachedTokens is the expected length of the cached prefix of the prompt.
	CachedTokens float64
	// OwnPrefillMs is the expected time to prefill the request's prompt, in milliseconds.
	// It is set by the scorer of the prefill time, before the prices are computed.
	OwnPrefillMs float64
	// PredictedMs is the predicted time to first token in milliseconds, not corrected
	// by the residual. It is set by the scheduler.
	PredictedMs float64
	// Residual is the smoothed ratio of observed to predicted time to first token.
	Residual float64
	// Ejected is true while the endpoint receives only probes, after failures.
	Ejected bool
	// Probe is true when an ejected endpoint's next probe is due.
	Probe bool
	// Paced is true for an endpoint that takes work at a pace because it has started or
	// recovered.
	Paced bool
	// AtPace is true if the request exceeds what a paced endpoint takes now.
	AtPace bool
	// PausedFor is the time for which the endpoint wants no requests from this process, 0
	// for none.
	PausedFor time.Duration
	// RateLimitedFor is the time until the endpoint's rate limit allows this process
	// another request, 0 for none.
	RateLimitedFor time.Duration
	// RateLimitUsed is the used part of the requests that the endpoint's rate limit allows at
	// once, from 0 to 1; 0 without a limit.
	RateLimitUsed float64
	// RateLimited is true for an endpoint with a rate limit.
	RateLimited bool
	// RateLimitPriceMs is the cost of using the rate limit for the request, in
	// milliseconds. It is set by the price of rate limits.
	RateLimitPriceMs float64
	// KVUsedTokens is the KV cache memory that running requests occupy, in tokens.
	KVUsedTokens float64
	// TokenMs is the expected prefill time per prompt token at the current slowdown,
	// in milliseconds; 0 when unknown.
	TokenMs float64
	// Sampled is true for an endpoint of another region that is one of a random sample.
	// It is not the home of any prefix.
	Sampled bool
	// RTT is the round-trip time to the endpoint's agent, 0 when unknown.
	RTT time.Duration
}

// UnavailableFor returns the time for which the endpoint takes no requests from this
// process because it has asked for that, 0 if it takes them.
func (e *Endpoint) UnavailableFor() time.Duration { return max(e.PausedFor, e.RateLimitedFor) }

// DefaultPrefillTokensPerSecond is the assumed prefill speed of endpoints that don't
// report theirs. The residual compensates for a wrong value.
const DefaultPrefillTokensPerSecond = 60_000

// PrefillMs returns the expected time to compute prompt tokens at the endpoint, in
// milliseconds.
func (e *Endpoint) PrefillMs(tokens float64) float64 {
	switch {
	case e.Load.PrefillTokensPerSecond > 0:
		return tokens / e.Load.PrefillTokensPerSecond * 1000 * max(1, e.Load.Slowdown)
	case e.TokenMs > 0:
		return tokens * e.TokenMs
	}
	return tokens / DefaultPrefillTokensPerSecond * 1000
}

// UncachedTokens returns the expected number of tokens of a prompt of the given length
// that the endpoint has to compute.
func (e *Endpoint) UncachedTokens(prompt int64) float64 {
	return max(0, float64(prompt)-e.CachedTokens)
}

// Candidate is the result for one endpoint in a Decision.
type Candidate struct {
	ID string `json:"id"`
	// Score is the cost of the endpoint in milliseconds: the expected time to first
	// token plus prices.
	Score float64 `json:"score_ms"`
	// Excluded is the reason why a filter excluded the endpoint, empty for scored
	// candidates.
	Excluded string `json:"excluded,omitempty"`
}

// Values of Decision.Reason.
const (
	ReasonLowest     = "lowest cost"
	ReasonPaced      = "only endpoints at the limit of their pace available"
	ReasonLastResort = "only ejected endpoints left"
	ReasonProbe      = "probe of an ejected endpoint"
	ReasonNone       = "no endpoint available"
)

// Decision records a selection and its reason.
type Decision struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	// Chosen is the id of the selected endpoint, empty for none.
	Chosen string `json:"chosen"`
	Reason string `json:"reason"`
	// Score is the score of the selected endpoint; see Candidate.
	Score float64 `json:"score_ms"`
	// Total is the number of endpoints considered.
	Total int `json:"total"`
	// Candidates holds the endpoints with the lowest scores and some of the excluded
	// ones, at most 16 of Total.
	Candidates []Candidate `json:"candidates"`
}

// String formats the candidates with their scores or exclusion reasons for the log.
func (d Decision) String() string {
	var b strings.Builder
	for i, c := range d.Candidates {
		if i > 0 {
			b.WriteByte(',')
		}
		if c.Excluded != "" {
			fmt.Fprintf(&b, "%s:%s", c.ID, c.Excluded)
			continue
		}
		fmt.Fprintf(&b, "%s:%.1f", c.ID, c.Score)
	}
	if more := d.Total - len(d.Candidates); more > 0 {
		fmt.Fprintf(&b, ",+%d", more)
	}
	return b.String()
}
