package gateway

import (
	"math"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
)

// announcement is what an incarnation of an endpoint has announced in its responses.
type announcement struct {
	// leaving is true once it has announced that it leaves, in a response or its list entry.
	// It then gets no new requests, whatever its list entry says later.
	leaving bool
	// pausedUntil is the end of the time in which it wants no requests from this process.
	pausedUntil time.Time
	// rateLimit is its last statement on its rate limit; its At is zero before any.
	rateLimit catalog.RateLimit
	// toldAt is when this or another gateway last told the others of the limit.
	toldAt time.Time
}

// maxAnnouncements bounds the incarnations whose announcements are remembered. The
// largest fleet has 3,000 endpoints.
const maxAnnouncements = 16 << 10

func newAnnouncements() *lru.Cache[catalog.Incarnation, announcement] {
	a, err := lru.New[catalog.Incarnation, announcement](maxAnnouncements)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return a
}

// announced returns what an incarnation has announced. The caller holds mu.
func (d *Directory) announced(i catalog.Incarnation) announcement {
	a, _ := d.announcements.Peek(i)
	return a
}

// MarkLeaving records that an incarnation of an endpoint has announced that it leaves.
// source is the request or the gateway that told so, for the log. MarkLeaving returns
// false if it was known.
func (d *Directory) MarkLeaving(i catalog.Incarnation, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.setLeaving(i) {
		return false
	}
	d.log.Info("endpoint announces leaving", zap.String("endpoint", i.ID), zap.String("boot", i.BootID), zap.String("address", i.Address),
		zap.String("source", source))
	if r := d.listed(i); r != nil {
		d.publish(r)
	}
	return true
}

// rememberLeaving records that an incarnation leaves by its list entry. A store that is
// restored from an older copy lists it as ready again. The caller holds mu.
func (d *Directory) rememberLeaving(r *endpointRecord) {
	if r.State != infra.Leaving || r.BootID == "" {
		return // without a boot id, its next incarnation couldn't be told apart
	}
	d.setLeaving(r.Incarnation())
}

// setLeaving records that an incarnation leaves. It returns false if that was known. The
// caller holds mu.
func (d *Directory) setLeaving(i catalog.Incarnation) bool {
	a := d.announced(i)
	if a.leaving {
		return false
	}
	a.leaving = true
	d.announcements.Add(i, a)
	return true
}

// Pause records that an incarnation of an endpoint wants no requests from this process
// before a time. request is the id of the request that it rejected, for the log.
func (d *Directory) Pause(i catalog.Incarnation, until time.Time, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.announced(i)
	if !until.After(a.pausedUntil) {
		return
	}
	a.pausedUntil = until
	d.announcements.Add(i, a)
	d.log.Info("endpoint paused", zap.String("endpoint", i.ID), zap.String("boot", i.BootID), zap.Duration("for", time.Until(until)),
		zap.String("source", request))
	if d.listed(i) != nil {
		d.tracker.SetPause(i.ID, until)
	}
}

const (
	// rateLimitInterval is the time after which the gateways are told again that a rate
	// limit is in force.
	rateLimitInterval = 2 * time.Second
	// reportedAfter is how much newer another gateway's statement must be than the last one
	// to replace it. Its age doesn't include its way through the relays.
	reportedAfter = 200 * time.Millisecond
	// significantRateChange is the relative change of a rate limit from which it is logged
	// and told to the other gateways at once.
	significantRateChange = 0.1
)

// ObserveRateLimit records the rate limit that a response to this process announces.
// request is the id of its request, for the log. It returns true if the other gateways
// should be told.
func (d *Directory) ObserveRateLimit(r catalog.RateLimit, request string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.announced(r.Incarnation)
	if !r.Limited() && (a.rateLimit.At.IsZero() || !a.rateLimit.Limited()) || r.At.Before(a.rateLimit.At) {
		return false
	}
	now := time.Now()
	tell := rateLimitChanged(a.rateLimit, r) || now.Sub(a.toldAt) >= rateLimitInterval
	if tell {
		a.toldAt = now
	}
	d.setRateLimit(a, r, request)
	return tell
}

// ApplyRateLimit records what another gateway has told of a rate limit. It returns false
// if it isn't news.
func (d *Directory) ApplyRateLimit(r catalog.RateLimit, gateway string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.announced(r.Incarnation)
	if r.At.Before(a.rateLimit.At.Add(reportedAfter)) {
		return false
	}
	a.toldAt = time.Now()
	d.setRateLimit(a, r, gateway)
	return true
}

// setRateLimit replaces the rate limit of an announcement and stores both. The caller
// holds mu.
func (d *Directory) setRateLimit(a announcement, r catalog.RateLimit, source string) {
	before := a.rateLimit
	a.rateLimit = r
	d.announcements.Add(r.Incarnation, a)
	if rateLimitChanged(before, r) {
		d.log.Info("endpoint rate limit", zap.String("endpoint", r.ID), zap.String("boot", r.BootID), zap.Float64("per_second", r.PerSecond),
			zap.String("source", source))
	}
	if d.listed(r.Incarnation) != nil {
		d.tracker.SetRateLimit(r.ID, r.PerSecond, r.At, time.Now())
	}
}

// rateLimitChanged reports whether two statements differ significantly. The time of the
// first is zero if there was none.
func rateLimitChanged(before, after catalog.RateLimit) bool {
	if limited := !before.At.IsZero() && before.Limited(); !limited || !after.Limited() {
		return limited != after.Limited()
	}
	return math.Abs(after.PerSecond-before.PerSecond) > significantRateChange*before.PerSecond
}

// RateLimits returns the rate limits of the listed endpoints that have one.
func (d *Directory) RateLimits() []catalog.RateLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []catalog.RateLimit
	for _, i := range d.announcements.Keys() {
		if r := d.announced(i).rateLimit; !r.At.IsZero() && r.Limited() && d.listed(i) != nil {
			out = append(out, r)
		}
	}
	return out
}

// applyAnnouncements passes what the incarnation of a new list entry has announced to the
// route tracker. The caller holds mu.
func (d *Directory) applyAnnouncements(r *endpointRecord) {
	a := d.announced(r.Incarnation())
	d.tracker.SetPause(r.ID, a.pausedUntil)
	d.tracker.ResetRateLimit(r.ID)
	if !a.rateLimit.At.IsZero() {
		d.tracker.SetRateLimit(r.ID, a.rateLimit.PerSecond, a.rateLimit.At, time.Now())
	}
}

// listed returns the list entry of an incarnation, nil if it is not listed. The caller
// holds mu.
func (d *Directory) listed(i catalog.Incarnation) *endpointRecord {
	if r := d.endpoints[i.ID]; r != nil && r.Incarnation() == i {
		return r
	}
	return nil
}

// LeavingEndpoints returns the listed endpoints that leave, for gateways that start now.
func (d *Directory) LeavingEndpoints() []catalog.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []catalog.Incarnation
	for _, i := range d.announcements.Keys() {
		if d.announced(i).leaving && d.listed(i) != nil {
			out = append(out, i)
		}
	}
	return out
}

// observeAnnouncements records what a response announces, unless its sender is another
// endpoint at the same address.
func (x *exchange) observeAnnouncements(p *response, info ResponseInfo) {
	if p.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if info.Leaving && x.g.Directory.MarkLeaving(p.incarnation, x.info.ID) && x.g.OnLeaving != nil {
		x.g.OnLeaving(p.incarnation)
	}
	if info.Pause > 0 {
		x.g.Directory.Pause(p.incarnation, time.Now().Add(info.Pause), x.info.ID)
	}
	if !info.HasRateLimit {
		return
	}
	r := catalog.RateLimit{Incarnation: p.incarnation, PerSecond: info.RateLimit, At: p.start}
	if x.g.Directory.ObserveRateLimit(r, x.info.ID) && x.g.OnRateLimit != nil {
		x.g.OnRateLimit(r)
	}
}
