package gateway

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// queuedMs is the wait assumed for each request in an engine's queue, in milliseconds.
const queuedMs = 25

// Directory keeps what is known of the endpoints and passes it to the member
// and route trackers. It is safe for concurrent use.
//
// Lock order: Directory before member.Tracker and route.Tracker.
type Directory struct {
	members *member.Tracker
	tracker *route.Tracker
	log     *zap.Logger

	mu        sync.Mutex
	endpoints map[string]*record
	// memory is the size of the engines' memory in tokens, by service.
	memory   map[string]int64
	updating map[string]bool
	// expiry ends the announcement in updating.
	expiry  *time.Timer
	reports uint64
}

// record is an endpoint's list entry with what its answers have shown since.
type record struct {
	catalog.Endpoint
	load    Load
	version int64
}

// NewDirectory returns an empty directory.
func NewDirectory(members *member.Tracker, tracker *route.Tracker, log *zap.Logger) *Directory {
	return &Directory{members: members, tracker: tracker, log: log, endpoints: map[string]*record{}, updating: map[string]bool{}}
}

// Put takes an endpoint's list entry. revision is the entry's, for the log.
func (d *Directory) Put(e catalog.Endpoint, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[e.ID]
	r := &record{Endpoint: e, version: newest(e.Weights)}
	if old != nil && old.BootID == e.BootID {
		r.load = old.load
	}
	d.endpoints[e.ID] = r
	if old == nil || old.State != e.State || old.BootID != e.BootID || old.version != r.version {
		d.log.Info("endpoint", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("state", string(e.State)),
			zap.String("address", e.Address), zap.String("boot", e.BootID), zap.Int64("weights", r.version), zap.Int64("revision", revision))
	}
	d.publish()
	d.report(r)
}

// SetMemory names the size of the engines' memory in tokens, by service.
func (d *Directory) SetMemoryTokens(tokens map[string]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory = tokens
	for _, r := range d.endpoints {
		d.report(r)
	}
}

// Remove forgets an endpoint that has left the list.
func (d *Directory) Remove(id string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.endpoints[id]; !ok {
		return
	}
	delete(d.endpoints, id)
	d.log.Info("endpoint gone", zap.String("endpoint", id), zap.Int64("revision", revision))
	d.publish()
}

// updatingTTL is how long an announcement that endpoints load weights holds. The
// process that gives the orders repeats it; when it dies, they get requests again.
const updatingTTL = 2 * time.Second

// SetUpdating names the endpoints that are about to load weights or do so;
// they get no new requests until the next call or updatingTTL has passed.
func (d *Directory) SetUpdating(ids map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expiry != nil {
		d.expiry.Stop()
	}
	if len(ids) > 0 {
		d.expiry = time.AfterFunc(updatingTTL, func() {
			d.log.Info("announcement of loading endpoints has expired", zap.Int("endpoints", len(ids)))
			d.SetUpdating(nil)
		})
	}
	if !maps.Equal(ids, d.updating) {
		d.updating = maps.Clone(ids)
		d.publish()
	}
}

// Observe takes what an answer shows of its endpoint.
func (d *Directory) Observe(id string, a ResponseInfo) {
	if !a.HasLoad && a.WeightsVersion == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.endpoints[id]
	if r == nil {
		return
	}
	if a.HasLoad {
		r.load = a.Load
	}
	if a.WeightsVersion > 0 {
		r.version = a.WeightsVersion
	}
	d.report(r)
}

// publish passes the list to the member tracker; the caller holds mu.
func (d *Directory) publish() {
	hosts := make([]infra.Host, 0, len(d.endpoints))
	listed := make(map[string]bool, len(d.endpoints))
	for id, r := range d.endpoints {
		h := r.Host
		if h.State == infra.Live && d.updating[id] {
			h.State = infra.Updating
		}
		hosts = append(hosts, h)
		listed[id] = true
	}
	d.members.SetHosts(hosts)
	d.tracker.Prune(listed)
}

// report passes an endpoint's load to the route tracker; the caller holds mu.
func (d *Directory) report(r *record) {
	d.reports++
	slow := max(100, float64(r.load.SlowdownPercent)) / 100
	limit := r.load.Slots
	if limit == 0 {
		limit = int64(r.Slots)
	}
	l := route.Load{
		// Cached prompts end with the incarnation and with its weights.
		BootID:         r.BootID + "/" + strconv.FormatInt(r.version, 10),
		WeightsVersion: r.version,
		Running:        r.load.Running, Queued: r.load.Queued, Limit: limit,
		Wait:     time.Duration(float64(r.load.Queued) * queuedMs * slow * float64(time.Millisecond)),
		Slowdown: slow, KVCapacityTokens: d.memory[r.Service],
	}
	d.tracker.Report(r.ID, route.Report{Key: d.reports, Load: l}, time.Now())
}

// newest returns the version of an engine's weights. Engines with several
// models get orders for each; the highest stands for the incarnation's cache.
func newest(weights map[string]int64) int64 {
	var v int64
	for _, w := range weights {
		v = max(v, w)
	}
	return v
}

// Engines returns the engines that have a model.
func (d *Directory) Engines(model string) []rollout.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []rollout.Engine
	for id, r := range d.endpoints {
		if _, ok := r.Weights[model]; ok {
			out = append(out, rollout.Engine{ID: id, Address: r.Address, Weights: r.version, Live: r.State == infra.Live, Running: r.load.Running})
		}
	}
	return out
}

// ApplyPlan takes the holder's announcement of which engines load weights.
func (d *Directory) ApplyPlan(p rollout.Plan) {
	updating := make(map[string]bool, len(p.Updating))
	for _, id := range p.Updating {
		updating[id] = true
	}
	d.SetUpdating(updating)
	for _, id := range p.Current {
		d.Observe(id, ResponseInfo{WeightsVersion: p.Version})
	}
}
