// Package route chooses the endpoint of a request. The choice is a pure
// function of the request and a snapshot of the candidates: filters drop
// candidates, scorers give each a cost in milliseconds, a picker takes one.
// A Tracker keeps what earlier requests have shown and makes the snapshots.
package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
)

// Request is what the choice depends on.
type Request struct {
	ID      string
	Service string
	Account string
	Model   string
	Version string
	// MinWeights is the least number of weights that may serve the request, and
	// PreferredWeights the one that should; endpoints with older ones cost more.
	// 0 means any.
	MinWeightsVersion, PreferredWeightsVersion int64
	Region                                     string
	Idempotent                                 bool
	// Stream is true when the first token is seen before the whole answer.
	Stream bool
	Levels []prefix.Level
	// Tokens is the estimated prompt length.
	Tokens int64
	// Bytes is the size of the request body.
	Bytes int64
	// Rank is the priority at the endpoint; 0 goes first.
	Rank int
	// OutputTokens is the length expected from earlier answers, 0 when unknown.
	OutputTokens float64
	// Seed is the randomness of the choice; it breaks ties.
	Seed uint64
	// Exclude names endpoints that have refused or failed this request.
	Exclude map[string]bool
	// LastResort admits ejected endpoints, for want of any other.
	LastResort bool
	// Policy holds the service's settings of endpoint selection.
	Policy Policy
}

// shared returns the prompt's levels that other requests may share.
func (r *Request) shared() []prefix.Level { return r.Levels[:max(0, len(r.Levels)-1)] }

// Policy are the settings of a service that endpoint selection obeys. A field
// of 0 means the default, except for the price.
type Policy struct {
	// PriceMsPerMiB is the time to first token that a MiB between regions must
	// save, in milliseconds; 0 means that it costs nothing.
	PriceMsPerMiB float64
	// EjectAfter is the number of consecutive failures that ejects an endpoint.
	EjectAfter int
	// ProbeInterval is the time to the first probe of an ejected endpoint; it
	// doubles with each failed probe.
	ProbeInterval time.Duration
	// BlockLifetime is assumed for endpoints that report none, until it is learned.
	BlockLifetime time.Duration
}

// Load is an endpoint's last load report; zero fields are unknown.
type Load struct {
	BootID  string
	Version string
	// Weights numbers the weights where their versions have an order; else 0.
	WeightsVersion int64
	Running        int64
	Queued         int64
	Limit          int64
	// MemoryTokens is the size of an engine's memory for prompts and answers.
	KVCapacityTokens int64
	// Wait is the wait that the agent predicted when it made the report.
	Wait                   time.Duration
	PrefillTokensPerSecond float64
	// Slowdown is how much longer work takes now than usual; 0 when unknown.
	Slowdown float64
	// BlockLifetime is the time within which an unused block is evicted.
	BlockLifetime time.Duration
}

// Endpoint is a candidate with what is known of it at the time of the choice.
type Endpoint struct {
	member.Endpoint
	Load Load
	// InFlight counts this entry's requests at the endpoint.
	InFlight int64
	// WaitMs is the expected wait before prefill starts, in milliseconds.
	WaitMs float64
	// BacklogMs is the expected wait of a request that goes last, in milliseconds.
	BacklogMs float64
	// CachedTokens is the expected length of the cached prefix, from the placement table.
	CachedTokens float64
	// PredictedMs is the predicted time to first token without the residual; the
	// scheduler sets it.
	PredictedMs float64
	// Residual is the ratio of observed to predicted time to first token.
	Residual float64
	// Ejected is true while the endpoint receives probes only.
	Ejected bool
	// Probe is true when an ejected endpoint's next probe is due.
	Probe bool
	// HeldTokens is what running requests hold of its memory, in tokens.
	KVUsedTokens float64
	// TokenMs is the expected time to compute a prompt token now, in milliseconds;
	// 0 when unknown.
	TokenMs float64
	// RTT is the round-trip time to the endpoint's agent, 0 when unknown.
	RTT time.Duration
}

// DefaultPrefillPerSecond is assumed for endpoints that report no prefill
// speed. A wrong value is absorbed by the residual.
const DefaultPrefillTokensPerSecond = 60_000

// PrefillMs returns the time to compute tokens at the endpoint, in milliseconds.
func (e *Endpoint) PrefillMs(tokens float64) float64 {
	switch {
	case e.Load.PrefillTokensPerSecond > 0:
		return tokens / e.Load.PrefillTokensPerSecond * 1000 * max(1, e.Load.Slowdown)
	case e.TokenMs > 0:
		return tokens * e.TokenMs
	}
	return tokens / DefaultPrefillTokensPerSecond * 1000
}

// Candidate is an endpoint's result in a decision.
type Candidate struct {
	ID string `json:"id"`
	// Score is the expected time to first token in milliseconds.
	Score float64 `json:"score_ms"`
	// Excluded says why the endpoint was dropped; empty for scored candidates.
	Excluded string `json:"excluded,omitempty"`
}

// Reasons of decisions.
const (
	ReasonLowest     = "lowest cost"
	ReasonLastResort = "only ejected endpoints left"
	ReasonProbe      = "probe of an ejected endpoint"
	ReasonNone       = "no endpoint available"
)

// Decision records a choice and why it was made.
type Decision struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	Chosen    string `json:"chosen"`
	Reason    string `json:"reason"`
	// Score is the predicted time to first token of the choice in milliseconds.
	Score float64 `json:"score_ms"`
	// Total is the number of endpoints considered.
	Total int `json:"total"`
	// Candidates holds the best endpoints, at most 16 of Total.
	Candidates []Candidate `json:"candidates"`
}

// String returns the candidates with their scores for the log.
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
