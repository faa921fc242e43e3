// Package catalog holds the gateway's configuration: routes, services and client
// accounts. Each version is decoded and indexed once.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrontiller/citrontiller/quota"
)

// Kind is the kind of a route's requests. It determines how often they may run and
// how their responses are relayed.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests have a stream of server-sent events as the response. They may
	// run more than once only if the route is Resumable.
	Stream Kind = "stream"
)

// Share is a service's share of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is the host name of the requests in lower case, without a port.
	Host string
	// Prefix is the path prefix of the requests.
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the end of a request's response.
	Timeout time.Duration
	// TargetLatency is the time within which a response, or a stream's first event,
	// counts as on time.
	TargetLatency time.Duration
	// GapAim is the longest pause between two events of a stream that the route aims at, 0
	// if there is none.
	GapAim time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Shares are the services that the traffic is split between.
	Shares []Share
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Public routes don't require a credential.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request, chosen by weight from a hash of the
// request id, so that all processes choose the same. It returns "" for a route
// without services.
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
	// Priority is the account's priority; 0 is the most urgent. It is only set if
	// HasPriority is true.
	Priority    int
	HasPriority bool
	// Dedicated accounts don't share cached prompts with other accounts.
	Dedicated bool
	// Quota is the limit on the account's requests, nil for none.
	Quota *quota.Limit
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
}

// Config is one version of the configuration. It is not changed after Index.
type Config struct {
	Version int64
	Routes  []Route
	// Services are the names of the listed services.
	Services []string
	// Accounts maps a credential to its client account.
	Accounts map[string]*Account
	// DedicatedAccounts are the names of the dedicated accounts, with and without a credential,
	// in any order.
	DedicatedAccounts []string
	// AccountsRequired is true when requests need a credential, except on public
	// routes.
	AccountsRequired bool
	// KVCapacityTokens is the capacity of an engine's KV cache memory for prompts and
	// responses, in tokens, by service.
	KVCapacityTokens map[string]int64
	Limits           Limits

	// routesByHost holds each host's routes, those with the longest prefix first.
	routesByHost map[string][]*Route
	// quotas holds the limits by account name.
	quotas map[string]quota.Limit
	// dedicated holds the names in DedicatedAccounts, and sharingGroup is that of the others.
	dedicated    map[string]bool
	sharingGroup SharingGroup
}

// ServiceNames returns the names of all services that the configuration lists or that a route
// sends requests to. A name may come more than once.
func (c *Config) ServiceNames() []string {
	names := slices.Clone(c.Services)
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			names = append(names, s.Service)
		}
	}
	return names
}

// Index builds the indexes for Match, Quotas, IsDedicated and SharingGroup. It must be called
// before any of them, and once Routes, Accounts and DedicatedAccounts are complete.
func (c *Config) Index() {
	c.indexQuotas()
	c.indexDedicated()
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// indexQuotas collects the limits of the accounts that have a credential. Accounts of one
// name share the lowest limit, so that all gateways choose the same one.
func (c *Config) indexQuotas() {
	c.quotas = map[string]quota.Limit{}
	for _, a := range c.Accounts {
		if a.Quota == nil {
			continue
		}
		known, ok := c.quotas[a.Name]
		if !ok || compareLimits(*a.Quota, known) < 0 {
			c.quotas[a.Name] = *a.Quota
		}
	}
}

// compareLimits orders limits from the lowest to the highest.
func compareLimits(a, b quota.Limit) int {
	return cmp.Or(cmp.Compare(a.PerSecond, b.PerSecond), cmp.Compare(a.Burst, b.Burst), cmp.Compare(a.Unit, b.Unit),
		cmp.Compare(b.PlainTokens, a.PlainTokens))
}

// Quotas returns the limits by account name. The caller must not change the map.
func (c *Config) Quotas() map[string]quota.Limit { return c.quotas }

// HasQuotas reports whether an account has a limit.
func (c *Config) HasQuotas() bool { return len(c.quotas) > 0 }

// Match returns the host's route with the longest prefix of the path, or nil when
// none matches. host may include a port.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
