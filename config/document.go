// Package config defines the service document, its defaults and its validation,
// and distributes it from the operator through the key-value service to every
// process. The record in force of a service is the accepted one with the highest
// generation; it is the configuration that the processes use.
package config

import (
	"time"

	"github.com/citrontiller/citrontiller/infra"
)

// FormatVersion is the only version of the document format that this build reads.
const FormatVersion = 1

// MaxDocumentBytes is the maximum size of a document. An agent returns the
// records of all its services in one gRPC message of at most 4 MiB.
const MaxDocumentBytes = 512 << 10

// Document is the configuration of one service, owned by the service's team. The
// tags of each field give its range, unit and description, which
// docs/SERVICE-DOCUMENT.md lists.
type Document struct {
	FormatVersion int `json:"format_version" range:"1..1" doc:"Version of the document format."`
	// Service is the name of the service and the last segment of the document's
	// key in the key-value service.
	Service string     `json:"service" match:"name" doc:"Name of the service."`
	Kind    infra.Kind `json:"kind" match:"kind" doc:"What the endpoints are."`
	// Model is the name callers use for the model. Engines only.
	Model string `json:"model,omitempty" match:"text" doc:"Name callers use for the model. Required for engines."`
	// Version is the version of the weights. Engines only.
	Version string `json:"version,omitempty" match:"text" doc:"Version of the weights."`
	// Adapters are further model names that callers may use. Engines only.
	Adapters []string  `json:"adapters,omitempty" match:"text" doc:"Names callers may use besides the model. Unique."`
	Accounts []Account `json:"accounts" doc:"Client accounts that may use the service."`
	// Routes are the paths of a plain service. Plain services only.
	Routes   []Route  `json:"routes,omitempty" doc:"Paths of a plain service. Required for plain services."`
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	Budgets  Budgets  `json:"budgets"`
	Engine   Engine   `json:"engine"`
	Routing  Routing  `json:"routing"`
}

// Account is a client account that may use the service.
type Account struct {
	Name string `json:"name" match:"name" doc:"Name of the account. Unique in the document."`
	// KeySHA256 holds the hex SHA-256 hashes of the account's API keys.
	KeySHA256 []string `json:"key_sha256" match:"sha256" doc:"SHA-256 hashes of the account's keys. Each unique in the document."`
	// Weight is the account's share of a busy endpoint, relative to the other
	// accounts.
	Weight int `json:"weight" range:"1..1000" default:"1" doc:"Share of a busy endpoint, relative to the other accounts."`
	// MaxRunning limits the account's running requests per entry; 0 applies the
	// service's max_running_per_account.
	MaxRunning int `json:"max_running" range:"0..100000" unit:"requests" doc:"Requests running per entry; 0 uses limits.max_running_per_account."`
	// RequestsPerSecond limits the account's new requests per entry; 0 means no limit.
	RequestsPerSecond int `json:"requests_per_second" range:"0..100000" unit:"requests/s" doc:"New requests per entry; 0 means no limit."`
}

// Route is a path prefix of a plain service.
type Route struct {
	// Path is a prefix that matches whole path segments only.
	Path string `json:"path" match:"path" doc:"Path prefix, matched at a slash."`
	// Methods are the HTTP methods that the route applies to; empty means all.
	Methods []string `json:"methods,omitempty" match:"method" doc:"HTTP methods the route applies to; empty means all."`
	// Idempotent reports whether calls may be repeated. GET, HEAD and OPTIONS are
	// always idempotent.
	Idempotent bool `json:"idempotent" doc:"Whether calls may be repeated. GET, HEAD and OPTIONS always may."`
}

// Limits bounds the size and number of requests.
type Limits struct {
	MaxBodyBytes int64 `json:"max_body_bytes" range:"1..67108864" unit:"bytes" doc:"Largest request body."`
	// MaxRunningPerAccount limits an account's running requests per entry.
	MaxRunningPerAccount int `json:"max_running_per_account" range:"1..100000" unit:"requests" doc:"Requests an account may have running per entry."`
	// StreamBufferBytes limits the unacknowledged part of a response that the
	// agent keeps for replay.
	StreamBufferBytes int `json:"stream_buffer_bytes" range:"4096..65536" unit:"bytes" doc:"Replay buffer of a stream at the agent."`
}

// Timeouts holds the time limits of requests, calls and idempotency claims. The
// suffix of a field gives its unit.
type Timeouts struct {
	RequestMs  int64 `json:"request_ms" range:"1..86400000" unit:"ms" doc:"Time for a whole request."`
	MaxWaitMs  int64 `json:"max_wait_ms" range:"1..600000" unit:"ms" doc:"Longest predicted wait in an agent's queue; a longer one is refused with \"not run\"."`
	BodyReadMs int64 `json:"body_read_ms" range:"1..600000" unit:"ms" doc:"Time for reading a request body."`
	// WriteStallMs is the longest time for which a caller may block the writing
	// of its response.
	WriteStallMs int64 `json:"write_stall_ms" range:"100..600000" unit:"ms" doc:"Time a caller may block a response."`
	// StallTimeoutMs spans at least two of the agent's Progress messages, which
	// it sends every second.
	StallTimeoutMs  int64 `json:"stall_timeout_ms" range:"2000..60000" unit:"ms" doc:"Time without a chunk or progress before the entry attaches on a new connection."`
	DetachGraceMs   int64 `json:"detach_grace_ms" range:"0..600000" unit:"ms" doc:"Time an idempotent request runs on after its entry is lost."`
	ClaimRetentionS int64 `json:"claim_retention_s" range:"60..604800" unit:"s" doc:"Lease of an idempotency claim."`
}

// Request returns the time limit of a whole request.
func (t Timeouts) Request() time.Duration { return time.Duration(t.RequestMs) * time.Millisecond }

// StallTimeout returns the longest time between two messages of an accepted call.
func (t Timeouts) StallTimeout() time.Duration {
	return time.Duration(t.StallTimeoutMs) * time.Millisecond
}

// ClaimRetention returns the minimum time for which an idempotency claim is kept.
func (t Timeouts) ClaimRetention() time.Duration {
	return time.Duration(t.ClaimRetentionS) * time.Second
}

// Budgets limits retries, hedged attempts and claim writes.
type Budgets struct {
	RetryPercent          int `json:"retry_percent" range:"0..100" unit:"%" doc:"Retries, as a share of requests."`
	HedgePercent          int `json:"hedge_percent" range:"0..100" unit:"%" doc:"Hedged attempts, as a share of requests."`
	ClaimWritesPerSecond  int `json:"claim_writes_per_second" range:"1..500" unit:"writes/s" doc:"Claim writes to the key-value service per entry."`
	MaxAttemptsPerRequest int `json:"max_attempts_per_request" range:"1..16" unit:"attempts" doc:"Attempts of one request, the first included."`
}

// Engine holds the settings of model engines and their agents.
type Engine struct {
	MinConcurrency int `json:"min_concurrency" range:"1..4096" unit:"requests" doc:"Lower bound of an engine's concurrency limit."`
	MaxConcurrency int `json:"max_concurrency" range:"1..4096" unit:"requests" doc:"Upper bound of an engine's concurrency limit."`
	// TokenGapTargetMs is the target for the 95th percentile of the time between
	// two tokens.
	TokenGapTargetMs    int `json:"token_gap_target_ms" range:"1..10000" unit:"ms" doc:"Time between tokens that the concurrency limit aims at."`
	ShortReservePercent int `json:"short_reserve_percent" range:"0..90" unit:"%" doc:"Slots reserved for short requests."`
	WeightLoadSlots     int `json:"weight_load_slots" range:"1..1000" unit:"engines" doc:"Engines of the service that load weights at once."`
	// PrefixPieceTokens is the granularity in which stores of offloaded KV cache
	// keep it.
	PrefixPieceTokens int `json:"prefix_piece_tokens" range:"16..100000" unit:"tokens" doc:"Size of a piece of the prefix hash chain."`
	// PrefixBlockLifetimeMs applies until an engine reports its own value.
	PrefixBlockLifetimeMs int64 `json:"prefix_block_lifetime_ms" range:"100..86400000" unit:"ms" doc:"Time an unused cached block is expected to stay, until an engine reports its own."`
}

// Routing holds the settings of endpoint selection.
type Routing struct {
	// CrossRegionPriceMsPerMiB defaults to 1 ms per KiB, the value with which
	// internal/routesim measured the policy.
	CrossRegionPriceMsPerMiB int `json:"cross_region_price_ms_per_mib" range:"0..100000" unit:"ms/MiB" doc:"Price of traffic between regions, added to an endpoint's score; 0 means that it costs nothing."`
	EjectAfterFailures       int `json:"eject_after_failures" range:"1..1000" unit:"failures" doc:"Consecutive failures after which an endpoint is ejected."`
	ProbeIntervalMs          int `json:"probe_interval_ms" range:"100..600000" unit:"ms" doc:"Time to the first probe of an ejected endpoint; it doubles with each failed probe."`
}

// Default returns a document with every default set.
func Default() Document {
	return Document{
		FormatVersion: FormatVersion,
		Kind:          infra.Engine,
		Limits:        Limits{MaxBodyBytes: 4 << 20, MaxRunningPerAccount: 4096, StreamBufferBytes: 64 << 10},
		Timeouts: Timeouts{RequestMs: 300_000, MaxWaitMs: 5_000, BodyReadMs: 10_000, WriteStallMs: 30_000,
			StallTimeoutMs: 3_000, DetachGraceMs: 5_000, ClaimRetentionS: 86_400},
		Budgets: Budgets{RetryPercent: 10, HedgePercent: 5, ClaimWritesPerSecond: 50, MaxAttemptsPerRequest: 4},
		Engine: Engine{MinConcurrency: 1, MaxConcurrency: 256, TokenGapTargetMs: 64,
			ShortReservePercent: 25, WeightLoadSlots: 2, PrefixPieceTokens: 2_000, PrefixBlockLifetimeMs: 8_000},
		Routing: Routing{CrossRegionPriceMsPerMiB: 1024, EjectAfterFailures: 3, ProbeIntervalMs: 1_000},
	}
}
