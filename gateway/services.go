package gateway

import (
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
)

// unnamedEntry is the list entry of an endpoint whose service no configuration names. It may be
// that of another writer, so it counts for nothing until a configuration names the service.
type unnamedEntry struct {
	endpoint catalog.Endpoint
	// revision is that of the first entry that this process has seen of the incarnation.
	revision int64
}

// NameServices adds the services of a configuration to those whose endpoints are used. Until the
// first call all are. The endpoints of a service that a later configuration drops stay listed:
// they still have weights to load, and a later one may name the service again.
func (d *Directory) NameServices(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = map[string]bool{}
	}
	for _, name := range names {
		d.services[name] = true
	}
	for _, r := range d.endpoints {
		if !d.services[r.Service] {
			d.setAside(r.Endpoint, r.revision)
		}
	}
	for id, u := range d.unnamed {
		if d.services[u.endpoint.Service] {
			delete(d.unnamed, id)
			d.put(u.endpoint, u.revision)
		}
	}
}

// setAside keeps the list entry of an endpoint whose service isn't named. The caller holds mu.
func (d *Directory) setAside(e catalog.Endpoint, revision int64) {
	old, known := d.unnamed[e.ID]
	if known && old.endpoint.Incarnation() == e.Incarnation() {
		revision = old.revision
	}
	d.unnamed[e.ID] = unnamedEntry{e, revision}
	d.remove(e.ID, revision)
	if !known || old.endpoint.Service != e.Service {
		d.log.Info("endpoint of a service that no configuration names; not used", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("address", e.Address), zap.Int64("revision", revision))
	}
}
