// Package catalog holds the configuration that the gateway serves from: routes,
// services and client accounts, each decoded and indexed once per version.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a route's requests allow.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered with a series of events.
	Stream Kind = "stream"
)

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time to a request's final answer.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	TargetLatency time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no credential.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request: its id decides, so that all
// processes agree. It returns "" for a route without services.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Account is a client account.
type Account struct {
	Name string
	// Priority is the account's rank; 0 is the most urgent. It has a meaning only if Ranked.
	Priority    int
	HasPriority bool
	// Dedicated accounts share no cached prompt with others.
	Dedicated bool
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the configuration. It is not changed after Index.
type Config struct {
	Version int64
	Routes  []Route
	// Accounts maps a credential to its client account.
	Accounts map[string]*Account
	// AccountsRequired is true when requests need a credential.
	AccountsRequired bool
	// EngineMemory is the size of the engines' memory for prompts and answers in
	// tokens, by service.
	EngineMemoryTokens map[string]int64
	Limits             Limits

	hosts map[string][]*Route
}

// Index prepares the configuration for Match.
func (c *Config) Index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the route with the longest prefix of the path, or nil. The
// host may carry a port.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
