package gateway

import (
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
)

// announcement is what an incarnation of an endpoint has announced in its responses.
type announcement struct {
	// leaving is true once it has announced that it leaves. It then gets no new requests,
	// whatever its list entry says.
	leaving bool
	// pausedUntil is the end of the time in which it wants no requests from this process.
	pausedUntil time.Time
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
	a := d.announced(i)
	if a.leaving {
		return false
	}
	a.leaving = true
	d.announcements.Add(i, a)
	d.log.Info("endpoint announces leaving", zap.String("endpoint", i.ID), zap.String("boot", i.BootID), zap.String("address", i.Address),
		zap.String("source", source))
	if r := d.listed(i); r != nil {
		d.publish(r)
	}
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

// listed returns the list entry of an incarnation, nil if it is not listed. The caller
// holds mu.
func (d *Directory) listed(i catalog.Incarnation) *endpointRecord {
	if r := d.endpoints[i.ID]; r != nil && r.Incarnation() == i {
		return r
	}
	return nil
}

// LeavingEndpoints returns the listed endpoints that have announced that they leave.
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

// observeAnnouncements records what a response to this request announces, unless its
// sender may be another endpoint.
func (x *exchange) observeAnnouncements(p *response, info ResponseInfo) {
	if x.isForeign(info) || p.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if info.Leaving && x.g.Directory.MarkLeaving(p.incarnation, x.info.ID) && x.g.OnLeaving != nil {
		x.g.OnLeaving(p.incarnation)
	}
	if info.Pause > 0 {
		x.g.Directory.Pause(p.incarnation, time.Now().Add(info.Pause), x.info.ID)
	}
}

// isForeign reports whether a response belongs to another request.
func (x *exchange) isForeign(info ResponseInfo) bool {
	return info.RequestID != "" && info.RequestID != x.info.ID
}
