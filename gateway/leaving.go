package gateway

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
)

// maxLeavingMarks bounds the incarnations that are remembered as leaving. The largest
// fleet has 3,000 endpoints.
const maxLeavingMarks = 16 << 10

func newLeavingMarks() *lru.Cache[catalog.Incarnation, struct{}] {
	marks, err := lru.New[catalog.Incarnation, struct{}](maxLeavingMarks)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return marks
}

// MarkLeaving records that an incarnation of an endpoint has announced that it leaves. It
// gets no new requests, whatever its list entry says. source is the request or the
// gateway that told so, for the log. MarkLeaving returns false if it was known.
func (d *Directory) MarkLeaving(i catalog.Incarnation, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving.Contains(i) {
		return false
	}
	d.leaving.Add(i, struct{}{})
	d.log.Info("endpoint announces leaving", zap.String("endpoint", i.ID), zap.String("boot", i.BootID), zap.String("address", i.Address),
		zap.String("source", source))
	if r := d.endpoints[i.ID]; r != nil {
		d.publish(r)
	}
	return true
}

// LeavingEndpoints returns the listed endpoints that have announced that they leave.
func (d *Directory) LeavingEndpoints() []catalog.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []catalog.Incarnation
	for _, i := range d.leaving.Keys() {
		if r := d.endpoints[i.ID]; r != nil && r.Incarnation() == i {
			out = append(out, i)
		}
	}
	return out
}

// observeLeaving marks the endpoint of a response as leaving if the response says so, and
// tells the other gateways.
func (x *exchange) observeLeaving(i catalog.Incarnation, info ResponseInfo) {
	if !info.Leaving || !x.g.Directory.MarkLeaving(i, x.info.ID) {
		return
	}
	if x.g.OnLeaving != nil {
		x.g.OnLeaving(i)
	}
}
