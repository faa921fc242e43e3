package gateway

import (
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/rollout"
)

// Engines returns the engines that have weights of a model.
func (d *Directory) Engines(model string) []rollout.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []rollout.Engine
	for id, r := range d.endpoints {
		if _, ok := r.Weights[model]; ok {
			out = append(out, rollout.Engine{ID: id, Address: r.Address, WeightsVersion: r.weights.versions[model], Live: r.State == infra.Live && !r.superseded && !d.announced(r.Incarnation()).leaving, Running: r.load.Running})
		}
	}
	return out
}

// ApplyPlan applies a plan of the holder of the rollout lock: it marks the engines
// that are being updated and records the version of those that already have it. It
// returns false for a plan that is not newer than the last one of its model.
func (d *Directory) ApplyPlan(p rollout.Plan) bool {
	d.planMu.Lock()
	defer d.planMu.Unlock()
	if !p.Newer(d.plans[p.Model]) {
		return false
	}
	d.plans[p.Model] = p
	updating := make(map[string]bool, len(p.Updating))
	for _, id := range p.Updating {
		updating[id] = true
	}
	d.setUpdating(p.Model, updating)
	for _, id := range p.Current {
		d.Observe(id, p.Model, ResponseInfo{WeightsVersion: p.Version}, time.Now())
	}
	return true
}
