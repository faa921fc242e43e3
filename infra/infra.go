// Package infra declares the interfaces to the systems the router runs on:
// the key-value service, the host list and the weight store. Drivers live in
// plugins/ and register themselves with the kernel.
package infra

import (
	"context"
	"fmt"
	"time"
)

// Code classifies a platform error.
type Code string

// Codes of platform errors.
const (
	// NotFound means the key or object does not exist.
	NotFound Code = "not_found"
	// Conflict means the expected revision did not match; nothing was written.
	Conflict Code = "conflict"
	// Unknown means the write may have taken effect.
	Unknown Code = "unknown"
	// Unavailable means the system did not answer and nothing was written.
	Unavailable Code = "unavailable"
	// RateLimited means the system asks the caller to slow down.
	RateLimited Code = "rate_limited"
	// Compacted means that the history asked for is no longer kept.
	Compacted Code = "compacted"
	// Invalid means the request or the answer was malformed.
	Invalid Code = "invalid"
)

// Error is an error of a platform system.
type Error struct {
	Code Code
	// Op names the failed operation and its key.
	Op string
	// RetryAfter is how long the system asks to wait; zero when it said nothing.
	RetryAfter time.Duration
	Err        error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is a platform error with the same code, so that
// errors.Is(err, infra.ErrConflict) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Op == "" && t.Code == e.Code
}

// Errors for use with errors.Is.
var (
	ErrNotFound    = &Error{Code: NotFound}
	ErrConflict    = &Error{Code: Conflict}
	ErrUnknown     = &Error{Code: Unknown}
	ErrUnavailable = &Error{Code: Unavailable}
	ErrRateLimited = &Error{Code: RateLimited}
	ErrCompacted   = &Error{Code: Compacted}
)

// Pair is a key with its value and the store revision that last changed it.
type Pair struct {
	Key      string
	Value    []byte
	Revision int64
}

// Event is one change seen by a watch. A deleted key has a nil Value.
type Event struct {
	Pair
	Deleted bool
}

// KV is the platform's key-value service. Values are at most 1 MB. Every call
// counts against the service's rate; a waiting watch counts as one.
type KV interface {
	// Get returns one pair, or ErrNotFound.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs under a prefix and the store revision.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Swap writes value if the key's revision equals expect, where 0 means the
	// key must not exist, and returns the new revision. A lease of 0 means none.
	// It returns ErrConflict when the revision differs, ErrUnavailable when
	// nothing was sent, and ErrUnknown when the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error)
	// Delete removes a key under the same rules as Swap.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch sends the changes under a prefix after revision from. The channel
	// closes when the watch ends; a watch may also go silent without closing.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its remaining time, or ErrNotFound
	// when it has lapsed.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
}

// Kind says what stands behind an endpoint.
type Kind string

// Kinds of endpoints.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Plain is a plain HTTP service.
	Plain Kind = "plain"
)

// HostState is the state the host list gives.
type HostState string

// States of the host list.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
	// Updating hosts load weights and take no requests meanwhile.
	Updating HostState = "updating"
)

// Host is one endpoint in the host list.
type Host struct {
	// ID names the endpoint, unique in the fleet.
	ID      string
	Service string
	Kind    Kind
	// Address is the endpoint's "ip:port".
	Address string
	// Agent is the "ip:port" of the agent beside the endpoint; empty without one.
	Agent         string
	Region        string
	FailureDomain string
	State         HostState
}

// HostList is the platform's host list. It lags behind the truth.
type HostList interface {
	// Hosts returns all endpoints listed now.
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's store of model weights. It is rate-limited.
type WeightStore interface {
	// Stat checks that the weights exist, or returns ErrNotFound or ErrRateLimited.
	Stat(ctx context.Context, model, version string) error
}
