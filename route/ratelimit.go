package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the gateways that use the same endpoints, as one of them sees them.
type Fleet struct {
	// Self is the name of this process.
	Self string
	// RegionsApart is true when gateways don't receive the events of other regions.
	RegionsApart bool
	// Gateways are all gateways, this process included.
	Gateways []GatewayInfo
}

// GatewayInfo describes a gateway.
type GatewayInfo struct {
	Name   string
	Region string
	// Heard is true when this process receives the gateway's events, and for this process.
	Heard bool
}

const (
	// rateLimitBurst is the time whose unused requests may be sent at once.
	rateLimitBurst = time.Second
	// minRateLimit is the rate in requests a second that is used at least, so that an
	// endpoint that announces less is asked now and then whether it still does.
	minRateLimit = 0.1
	// minAskInterval is the shortest time after which a gateway that has no share of a rate
	// limit sends a request to learn whether it is still in force, unless others tell so.
	minAskInterval = 10 * time.Second
	// noShareWait is the assumed time until an endpoint takes requests from this process
	// when only others may use its rate limit.
	noShareWait = time.Second
)

// maxSharers returns how many gateways may use an endpoint's rate limit. Each may send a
// request before it hears of those that the others have just sent, so that few requests
// a second can't be shared by many.
func maxSharers(perSecond float64) int { return 3 + int(perSecond) }

// sharers returns the gateways that may use the rate limit of an endpoint: those of its
// region first. All gateways select the same, by the ranks of hashes, as long as they know
// the same fleet.
func (f *Fleet) sharers(endpoint, region string, perSecond float64) []GatewayInfo {
	candidates := f.Gateways
	if f.RegionsApart {
		candidates = slices.DeleteFunc(slices.Clone(f.Gateways), func(g GatewayInfo) bool { return g.Region != region })
	}
	if len(candidates) == 0 {
		candidates = f.Gateways
	}
	n := maxSharers(perSecond)
	if len(candidates) <= n {
		return candidates
	}
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b GatewayInfo) int {
		switch {
		case a.Region == region && b.Region != region:
			return -1
		case a.Region != region && b.Region == region:
			return 1
		}
		return cmp.Or(cmp.Compare(rank(endpoint, a.Name), rank(endpoint, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return candidates[:n]
}

// askInterval returns the value of rateLimiter.askInterval. It is spread such that all
// gateways together send about a quarter of the limit.
func (f *Fleet) askInterval(endpoint string, perSecond float64) time.Duration {
	interval := max(minAskInterval, time.Duration(4*float64(len(f.Gateways))/perSecond*float64(time.Second)))
	spread := float64(rank(endpoint, f.Self)) / math.MaxUint64
	return time.Duration((0.5 + spread) * float64(interval))
}

// rank returns the rank of a gateway for an endpoint.
func rank(endpoint, gateway string) uint64 { return xxhash.Sum64String(endpoint + "/" + gateway) }

// rateLimiter holds the requests that an endpoint's rate limit allows now. It counts the
// dispatches of all gateways that this process hears. Those that it doesn't hear are
// assumed to use an equal part of the limit each. The zero value has no limit.
type rateLimiter struct {
	// perSecond is the announced limit, 0 for none. at is when the response was requested
	// that announced it last.
	perSecond float64
	at        time.Time
	// fleet is the fleet from which the next four fields are derived.
	fleet *Fleet
	// share is the part of the limit in requests a second that this process and those
	// that it hears use together.
	share float64
	// askInterval is the time after which this process sends a request if it has no share
	// of the limit and hears no more of it. sentAt is when it sent the last one.
	askInterval time.Duration
	sentAt      time.Time
	// sharers is the number of gateways that use the limit; sharing is true if this
	// process is one of them.
	sharers int
	sharing bool
	// tokens is the number of requests that may be sent at the time filledAt. It is
	// negative after gateways have sent at the same time.
	tokens   float64
	filledAt time.Time
}

// set records an announcement; math.Inf(1) means that the limit has ended.
func (l *rateLimiter) set(perSecond float64, at, now time.Time) {
	if math.IsInf(perSecond, 1) {
		*l = rateLimiter{at: at}
		return
	}
	l.fill(now)
	if l.perSecond == 0 {
		l.tokens, l.filledAt = 0, now
	}
	if perSecond = max(perSecond, minRateLimit); perSecond != l.perSecond {
		if l.perSecond > 0 {
			l.share *= perSecond / l.perSecond
		}
		l.perSecond, l.fleet = perSecond, nil
	}
	l.at = at
}

// limited reports whether a limit is in force.
func (l *rateLimiter) limited() bool { return l.perSecond > 0 }

// adopt derives this process's part of the limit from a fleet, if it is another one than
// before.
func (l *rateLimiter) adopt(f *Fleet, endpoint, region string) {
	if l.fleet == f {
		return
	}
	l.fleet = f
	sharers := f.sharers(endpoint, region, l.perSecond)
	heard := 0
	l.sharing = false
	for _, g := range sharers {
		if g.Heard {
			heard++
		}
		l.sharing = l.sharing || g.Name == f.Self
	}
	l.sharers, l.askInterval = len(sharers), f.askInterval(endpoint, l.perSecond)
	l.share = l.perSecond * float64(heard) / float64(max(1, len(sharers)))
}

// fill adds the tokens that have accrued.
func (l *rateLimiter) fill(now time.Time) {
	if !l.limited() || !now.After(l.filledAt) {
		return
	}
	l.tokens = min(1+l.reserve(), l.tokens+l.share*now.Sub(l.filledAt).Seconds())
	l.filledAt = now
}

// reserve returns how many requests may be sent at once, besides one. It is 0 if most
// sharers aren't heard, which may send at the same time.
func (l *rateLimiter) reserve() float64 {
	if l.share < l.perSecond/2 {
		return 0
	}
	return l.share * rateLimitBurst.Seconds()
}

// used returns the used part of the reserve, 0 if there is none.
func (l *rateLimiter) used() float64 {
	if l.reserve() == 0 {
		return 0
	}
	return min(1, 1-(l.tokens-1)/l.reserve())
}

// take records a dispatch of any gateway. The debt is at most one request of each sharer:
// what was sent before the limit was known doesn't count.
func (l *rateLimiter) take(now time.Time) {
	if !l.limited() {
		return
	}
	l.fill(now)
	l.tokens = max(l.tokens-1, -float64(l.sharers))
}

// send records a dispatch of this process.
func (l *rateLimiter) send(now time.Time) {
	l.take(now)
	l.sentAt = now
}

// availableIn returns the time until this process may send a request.
func (l *rateLimiter) availableIn(now time.Time) time.Duration {
	if !l.limited() {
		return 0
	}
	if !l.sharing {
		if now.Sub(l.at) > l.askInterval && now.Sub(l.sentAt) > l.askInterval {
			return 0
		}
		return noShareWait
	}
	l.fill(now)
	return time.Duration(max(0, 1-l.tokens) / l.share * float64(time.Second))
}

// loneFleet is the fleet of a process that knows no other.
var loneFleet = &Fleet{Gateways: []GatewayInfo{{Heard: true}}}

// SetFleet sets the gateways that share the endpoints' rate limits.
func (t *Tracker) SetFleet(f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = &f
}

// SetRateLimit records that an endpoint takes so many requests a second from all gateways
// together, math.Inf(1) for any number. at is when the response was requested that says
// so; an older one than the last has no effect.
func (t *Tracker) SetRateLimit(id string, perSecond float64, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := &t.state(id).rateLimiter; !at.Before(l.at) {
		l.set(perSecond, at, now)
	}
}

// ResetRateLimit forgets an endpoint's rate limit, as for another incarnation.
func (t *Tracker) ResetRateLimit(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).rateLimiter = rateLimiter{}
}

// rateLimitedFor returns the time until an endpoint's rate limit allows a request. The
// caller holds mu.
func (t *Tracker) rateLimitedFor(s *endpointState, region string, now time.Time) time.Duration {
	l := &s.rateLimiter
	if !l.limited() {
		return 0
	}
	l.fill(now)
	l.adopt(t.fleet, s.id, region)
	return l.availableIn(now)
}
