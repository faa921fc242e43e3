package gateway

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

// updatingTTL is how long endpoints stay marked as updating. The holder of the
// rollout lock renews the mark; if it fails, the endpoints receive requests again.
const updatingTTL = 2 * time.Second

// allModels stands for all models of an endpoint.
const allModels = ""

// updatingMark names the endpoints that load weights of a model or are about to.
type updatingMark struct {
	// ids is replaced with each change, so that others may read it.
	ids map[string]bool
	// expiry clears the mark after updatingTTL.
	expiry *time.Timer
}

// SetUpdating sets the endpoints that load weights or are about to, whatever the model. They
// receive no new requests until a later call omits them or updatingTTL has passed.
func (d *Directory) SetUpdating(ids map[string]bool) { d.setUpdating(allModels, ids) }

// setUpdating is SetUpdating for a model. An endpoint with other models receives requests for
// these meanwhile.
func (d *Directory) setUpdating(model string, ids map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.updating[model]
	if before.expiry != nil {
		before.expiry.Stop()
	}
	mark := updatingMark{ids: maps.Clone(ids)}
	if len(ids) > 0 {
		mark.expiry = time.AfterFunc(updatingTTL, func() {
			d.log.Info("updating marks expired without renewal", zap.String("model", model), zap.Int("endpoints", len(ids)))
			d.setUpdating(model, nil)
		})
	}
	d.updating[model] = mark
	if len(ids) == 0 {
		delete(d.updating, model)
	}
	if maps.Equal(ids, before.ids) {
		return
	}
	for id, r := range d.endpoints {
		if before.ids[id] != ids[id] {
			d.publish(r)
		}
	}
}

// loadsAll reports whether an endpoint loads weights of all its models. The caller holds mu.
func (d *Directory) loadsAll(r *endpointRecord) bool {
	loading := 0
	for model, mark := range d.updating {
		switch {
		case !mark.ids[r.ID]:
		case model == allModels, len(r.Weights) <= 1:
			return true
		default:
			loading++
		}
	}
	return loading > 0 && loading >= len(r.Weights)
}

// loading returns the endpoints that load weights of a model or are about to. The caller must
// not change them.
func (d *Directory) loading(model string) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updating[model].ids
}
