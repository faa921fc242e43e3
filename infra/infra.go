// Package infra declares the interfaces to the external systems that the router
// depends on: the key-value service, the host list and the weight store. The drivers
// in plugins/ implement them and register themselves with package kernel.
package infra

import (
	"context"
	"fmt"
	"time"
)

// Code classifies an Error.
type Code string

// Error codes.
const (
	// NotFound means that the key or object does not exist.
	NotFound Code = "not_found"
	// Conflict means that the expected revision did not match and nothing was
	// written.
	Conflict Code = "conflict"
	// Unknown means that the write may have taken effect.
	Unknown Code = "unknown"
	// Unavailable means that the system did not respond and nothing was written.
	Unavailable Code = "unavailable"
	// RateLimited means that the system refused the call because of its rate
	// limit.
	RateLimited Code = "rate_limited"
	// Compacted means that the requested history is no longer available.
	Compacted Code = "compacted"
	// Invalid means that the system refused the request, or that the request or
	// the response was malformed.
	Invalid Code = "invalid"
)

// Error is a failed call to an external system.
type Error struct {
	Code Code
	// Op names the failed operation and its key.
	Op string
	// RetryAfter is the delay that the system requests before a retry; zero if it
	// requests none.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an *Error with the same code and without Op, so that
// errors.Is(err, infra.ErrConflict) matches by code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Op == "" && t.Code == e.Code
}

// Sentinel errors for errors.Is, one for each code that callers handle.
var (
	ErrNotFound    = &Error{Code: NotFound}
	ErrConflict    = &Error{Code: Conflict}
	ErrUnknown     = &Error{Code: Unknown}
	ErrUnavailable = &Error{Code: Unavailable}
	ErrRateLimited = &Error{Code: RateLimited}
	ErrCompacted   = &Error{Code: Compacted}
)

// Pair is a key with its value and the store revision of its last change. Revisions never
// go back, also when a service that counts its restores is restored from an older copy;
// see Revision.
type Pair struct {
	Key      string
	Value    []byte
	Revision int64
}

// Event is one change reported by a watch. The pair of a deleted key has no value.
type Event struct {
	Pair
	Deleted bool
	// RemoveIn is the time after which a removal takes effect, 0 for at once. Its sender
	// waits for the key's owner to write the key again.
	RemoveIn time.Duration
}

// KV is the key-value service. Values are at most 1 MB. Every call counts against the
// service's rate limit; an open watch counts as one call. Errors are of type *Error.
//
// The service may be restored from an older copy. The driver of a service that counts its
// restores then returns ErrConflict for a call that names a revision of before, ends a
// watch from such a revision, and reports a lease of before as expired, because the service
// may have given its id to another process. The driver for etcd knows of no restores.
type KV interface {
	// Get returns the pair of a key, or ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose keys have a prefix, and the store revision.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// CompareAndSwap writes value if the key's revision equals expect, and returns
	// the new revision. An expect of 0 means that the key must not exist, a lease
	// of 0 that the key has no lease. It returns ErrConflict if the revision
	// differs, ErrUnavailable if nothing was sent, and ErrUnknown if the write
	// may have taken effect.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error)
	// Delete removes a key if its revision equals expect, with the same errors as
	// CompareAndSwap.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch sends the changes after revision from to keys with a prefix. The
	// channel is closed when the watch ends. A watch may also stop delivering
	// events without closing.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
	// Grant creates a lease and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its remaining time, or ErrNotFound if
	// the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
}

// Kind is the kind of service that an endpoint provides.
type Kind string

// Kinds of endpoints.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Plain is a plain HTTP service.
	Plain Kind = "plain"
)

// HostState is the state of an endpoint in the host list.
type HostState string

// States of the host list.
const (
	// Live endpoints accept requests.
	Live HostState = "live"
	// Leaving endpoints accept no new requests.
	Leaving HostState = "leaving"
	// Updating endpoints load weights and accept no requests until they are done.
	Updating HostState = "updating"
)

// Host is one endpoint in the host list, with its location.
type Host struct {
	// ID is the id of the endpoint, unique in the fleet.
	ID      string
	Service string
	Kind    Kind
	// Address is the endpoint's "ip:port".
	Address string
	// Agent is the "ip:port" of the endpoint's agent; empty if it has none.
	Agent         string
	Region        string
	FailureDomain string
	State         HostState
}

// HostList is the list of hosts and their endpoints. It may be out of date.
// Errors are of type *Error.
type HostList interface {
	// Hosts returns all endpoints that are currently listed.
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the store of model weights. It limits the rate of calls. Errors are
// of type *Error.
type WeightStore interface {
	// Stat returns nil if the weights exist, ErrNotFound if they do not, and
	// ErrRateLimited if the call exceeded the rate limit.
	Stat(ctx context.Context, model, version string) error
}
