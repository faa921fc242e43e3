package gateway

import (
	"maps"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// queuedRequestWaitMs is the assumed wait per request in an engine's queue, in milliseconds.
const queuedRequestWaitMs = 25

// Directory keeps the listed endpoints with their last reported load, and
// publishes them to the member and route trackers. It is safe for concurrent use.
//
// Lock order: planMu, mu, then those of member.Tracker and route.Tracker.
type Directory struct {
	members *member.Tracker
	tracker *route.Tracker
	log     *zap.Logger

	// planMu keeps plans from overtaking each other. It guards plans.
	planMu sync.Mutex
	// plans holds the last applied rollout plan of each model.
	plans map[string]rollout.Plan

	mu        sync.Mutex
	endpoints map[string]*endpointRecord
	byAddress addressIndex
	// services holds the names of the services of which endpoints are used, nil for all.
	services map[string]bool
	// unnamed holds the list entries of other services, by id.
	unnamed map[string]unnamedEntry
	// kvCapacityTokens is the capacity of an engine's KV cache memory in tokens, by
	// service.
	kvCapacityTokens map[string]int64
	// updating holds the endpoints that load weights or are about to, by model.
	updating map[string]updatingMark
	// prunePending is true while a call of prune is scheduled.
	prunePending bool
	// announcements holds what incarnations have announced. It outlives their list entries,
	// since an entry may be removed and restored, or be an old one.
	announcements *lru.Cache[catalog.Incarnation, announcement]
	// reports counts the calls of report; the count is the key of a route.Report.
	reports uint64
}

// endpointRecord is an endpoint's list entry with its last reported load and the versions of
// its weights.
type endpointRecord struct {
	catalog.Endpoint
	load    Load
	weights loadedWeights
	// revision is that of the first entry that this process has seen of the incarnation at the
	// address. Later entries of an incarnation tell nothing about its start.
	revision int64
	// superseded is true while an endpoint that started later is listed at the same address.
	superseded bool
}

// NewDirectory returns an empty directory.
func NewDirectory(members *member.Tracker, tracker *route.Tracker, log *zap.Logger) *Directory {
	return &Directory{members: members, tracker: tracker, log: log, endpoints: map[string]*endpointRecord{}, byAddress: addressIndex{}, unnamed: map[string]unnamedEntry{},
		updating: map[string]updatingMark{}, plans: map[string]rollout.Plan{}, announcements: newAnnouncements()}
}

// Put adds an endpoint or replaces its list entry. revision is the entry's
// revision in the store.
func (d *Directory) Put(e catalog.Endpoint, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services != nil && !d.services[e.Service] {
		d.setAside(e, revision)
		return
	}
	delete(d.unnamed, e.ID)
	d.put(e, revision)
}

// put is Put for an endpoint of a service that is named; the caller holds mu.
func (d *Directory) put(e catalog.Endpoint, revision int64) {
	old := d.endpoints[e.ID]
	r := &endpointRecord{Endpoint: e, weights: listedWeights(e.Weights, time.Now()), revision: revision}
	if old != nil && old.BootID == e.BootID {
		r.load, r.superseded = old.load, old.superseded
		r.weights.keepNewer(old.weights)
		if old.Address == e.Address {
			r.revision = old.revision
		}
	}
	d.endpoints[e.ID] = r
	if old != nil && old.Address != e.Address {
		d.byAddress.remove(old.Address, e.ID)
		d.updateSuperseded(old.Address)
	}
	d.byAddress.add(e.Address, e.ID)
	d.rememberLeaving(r)
	if old == nil || old.State != e.State || old.BootID != e.BootID || !maps.Equal(old.weights.versions, r.weights.versions) {
		d.log.Info("endpoint", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("state", string(e.State)),
			zap.String("address", e.Address), zap.String("boot", e.BootID), zap.Stringer("weights", r.weights), zap.Int64("revision", revision))
	}
	d.publish(r)
	d.updateSuperseded(e.Address)
	d.report(r)
	if old == nil || old.Incarnation() != r.Incarnation() {
		d.applyAnnouncements(r)
	}
}

// SetKVCapacityTokens sets the capacity of an engine's KV cache memory in tokens, by
// service.
func (d *Directory) SetKVCapacityTokens(tokens map[string]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kvCapacityTokens = tokens
	for _, r := range d.endpoints {
		d.report(r)
	}
}

// Remove removes an endpoint that is no longer listed. revision is for the log.
func (d *Directory) Remove(id string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unnamed, id)
	d.remove(id, revision)
}

// remove is Remove for an endpoint of a service that is named; the caller holds mu.
func (d *Directory) remove(id string, revision int64) {
	r, ok := d.endpoints[id]
	if !ok {
		return
	}
	delete(d.endpoints, id)
	d.byAddress.remove(r.Address, id)
	d.updateSuperseded(r.Address)
	d.log.Info("endpoint gone", zap.String("endpoint", id), zap.Int64("revision", revision))
	d.members.RemoveHost(id)
	d.schedulePrune()
}

// Observe records the load that a response reports for its endpoint, and the version of the
// weights of its model. requestedAt is when the request was sent.
func (d *Directory) Observe(id, model string, info ResponseInfo, requestedAt time.Time) {
	if !info.HasLoad && info.WeightsVersion == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.endpoints[id]
	if r == nil {
		return
	}
	if info.HasLoad {
		r.load = info.Load
	}
	if info.WeightsVersion > 0 {
		r.weights.observe(model, info.WeightsVersion, requestedAt)
	}
	d.report(r)
}

// publish passes an endpoint's entry to the member tracker; the caller holds mu.
func (d *Directory) publish(r *endpointRecord) {
	h := r.Host
	switch {
	case h.State != infra.Live:
	case r.superseded, d.announced(r.Incarnation()).leaving:
		h.State = infra.Leaving
	case d.loadsAll(r):
		h.State = infra.Updating
	}
	d.members.PutHost(h)
}

// pruneDelay is the time for which removals are collected before the route tracker is
// pruned. Many endpoints may go together.
const pruneDelay = time.Second

// schedulePrune prunes the route tracker after pruneDelay. The caller holds mu.
func (d *Directory) schedulePrune() {
	if d.prunePending {
		return
	}
	d.prunePending = true
	time.AfterFunc(pruneDelay, d.prune)
}

// prune removes endpoints that are no longer listed from the route tracker.
func (d *Directory) prune() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prunePending = false
	listed := make(map[string]bool, len(d.endpoints))
	for id := range d.endpoints {
		listed[id] = true
	}
	d.tracker.Prune(listed)
}

// report passes an endpoint's load to the route tracker; the caller holds mu.
func (d *Directory) report(r *endpointRecord) {
	d.reports++
	slowdown := max(100, float64(r.load.SlowdownPercent)) / 100
	limit := r.load.Slots
	if limit == 0 {
		limit = int64(r.Slots)
	}
	l := route.Load{
		// Cached prompts are lost when the engine restarts or loads other weights.
		BootID: r.BootID + "/" + r.weights.cacheID, ModelVersions: r.weights.versions,
		Running: r.load.Running, Queued: r.load.Queued, Limit: limit,
		Wait:     time.Duration(float64(r.load.Queued) * queuedRequestWaitMs * slowdown * float64(time.Millisecond)),
		Slowdown: slowdown, KVCapacityTokens: d.kvCapacityTokens[r.Service],
	}
	d.tracker.Report(r.ID, route.Report{Key: d.reports, Load: l}, time.Now())
}

// Incarnation returns the listed incarnation of an endpoint, with only the id if it is
// not listed.
func (d *Directory) Incarnation(id string) catalog.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.endpoints[id]; r != nil {
		return r.Incarnation()
	}
	return catalog.Incarnation{ID: id}
}

// RegionEngines returns the ids of a region's engines.
func (d *Directory) RegionEngines(region string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for id, r := range d.endpoints {
		if r.Region == region && r.Kind == infra.Engine {
			out = append(out, id)
		}
	}
	return out
}
