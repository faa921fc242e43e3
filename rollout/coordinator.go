package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/lease"
	"github.com/citrontiller/citrontiller/order"
)

const (
	// tick is the time between two looks at what is due.
	tick = 50 * time.Millisecond
	// retryAfter is the time after which an engine whose update failed is tried again.
	retryAfter = time.Second
	// announceInterval is the time after which a plan is announced again.
	announceInterval = 500 * time.Millisecond
	// stateAge is the least age of what engines say of themselves.
	stateAge = 200 * time.Millisecond
	// overlap is the time before a load's end shows at which the next engine is
	// prepared, so that its order arrives when the load has ended.
	overlap = announceDelay + stateAge
	// announceDelay is the time for an announcement to reach all processes.
	announceDelay = 80 * time.Millisecond
)

// Engine is an engine as the coordinator sees it.
type Engine struct {
	ID      string
	Address string
	// Weights is the version of its weights.
	Weights int64
	// Live is false for engines that leave.
	Live bool
	// Running is its number of requests; the least loaded change first.
	Running int64
}

// Plan is what the holder announces of a model.
type Plan struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Updating are the engines that load now or are about to.
	Updating []string `json:"updating"`
	// NamedMs is when the version was named, in Unix milliseconds.
	NamedMs int64 `json:"named_ms"`
	// Current are the engines that have the version.
	Current []string `json:"current"`
}

// PlanPrefix precedes a model's name in the key of its plan.
const PlanPrefix = "citrontiller/rollout/"

// LockKey is held by the process that gives orders.
const LockKey = "citrontiller/rollout-lock"

// ParsePlan reads a plan.
func ParsePlan(value []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return Plan{}, fmt.Errorf("rollout plan: %w", err)
	}
	return p, nil
}

// Coordinator gives orders while it holds the lock.
type Coordinator struct {
	KV      infra.KV
	Lock    *lease.Lock
	Client  EngineClient
	Targets *Targets
	// List returns the engines of a model.
	List func(model string) []Engine
	// PlanRevision returns the known revision of a key, 0 when it doesn't exist.
	PlanRevision func(key string) int64
	// Announced is told of this process's own plans at once.
	OnPlan   func(p Plan)
	Strategy Strategy
	// Share is the part of a model's engines that are updated at the same time:
	// one in this many, rounded up.
	ShareDivisor int
	Log          *zap.Logger
}

// Run gives orders whenever this process holds the lock, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.Lock.Run(ctx, func(ctx context.Context, h *lease.Held) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		t := &term{Coordinator: c, held: h, cancel: cancel, models: map[string]*progress{}}
		t.run(ctx)
		t.wg.Wait()
	})
}

// term is the time of one holder.
type term struct {
	*Coordinator
	held   *lease.Held
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	models map[string]*progress
}

// progress is the state of a model's rollout.
type progress struct {
	updating map[string]bool
	done     map[string]int64
	// failed is when the last update of an engine failed.
	failed map[string]time.Time
	// accepted is when an engine that is being updated took its order.
	accepted map[string]time.Time
	// loadTime is the time from an order to its end lately, 0 when unknown.
	loadTime time.Duration
	// announced is the text of the last announcement.
	announced   string
	announcedAt time.Time
	// stored is the version of the plan in the store, and revision its key's.
	stored   int64
	revision int64
}

func (t *term) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, want := range t.Targets.Latest() {
			t.step(ctx, want)
		}
		wait.Sleep(ctx, tick)
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		t.Log.Warn("holder steps down", zap.Int64("fence", t.held.Fence), zap.Error(cause))
	}
}

// step starts the updates that are due, and announces what has changed.
func (t *term) step(ctx context.Context, want catalog.Target) {
	engines := t.List(want.Model)
	starting := t.begin(want, engines)
	t.announce(ctx, want)
	for _, e := range starting {
		t.start(ctx, want, e)
	}
}

// begin marks the engines to be updated next and returns them.
func (t *term) begin(want catalog.Target, engines []Engine) []Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	if p == nil {
		p = &progress{updating: map[string]bool{}, done: map[string]int64{}, failed: map[string]time.Time{}, accepted: map[string]time.Time{}}
		t.models[want.Model] = p
	}
	byID := make(map[string]Engine, len(engines))
	var states []order.Endpoint
	for _, e := range engines {
		byID[e.ID] = e
		version := max(e.Weights, p.done[e.ID])
		states = append(states, order.Endpoint{ID: e.ID, State: stateOf(want.Model, min(version, want.Version)),
			Loading: p.loading(e.ID), Reachable: e.Live && !p.updating[e.ID] && time.Since(p.failed[e.ID]) > retryAfter,
			Behind: want.Version - version, Load: e.Running})
	}
	for id := range p.done {
		if _, ok := byID[id]; !ok {
			delete(p.done, id)
			delete(p.failed, id)
		}
	}
	slots := (len(engines) + t.ShareDivisor - 1) / t.ShareDivisor
	var out []Engine
	for _, o := range order.Plan(stateOf(want.Model, want.Version), states, slots) {
		p.updating[o.Endpoint] = true
		out = append(out, byID[o.Endpoint])
	}
	return out
}

// loading reports whether an engine takes a slot. One that is about to end
// does not, so that the next can get ready meanwhile.
func (p *progress) loading(id string) bool {
	if !p.updating[id] {
		return false
	}
	accepted, ok := p.accepted[id]
	return !ok || p.loadTime == 0 || time.Since(accepted) < p.loadTime-overlap
}

func stateOf(model string, version int64) order.State {
	return order.State{Model: model, Version: strconv.FormatInt(version, 10)}
}

// start updates an engine in the background, once the announcement has spread.
func (t *term) start(ctx context.Context, want catalog.Target, e Engine) {
	t.wg.Go(func() {
		wait.Sleep(ctx, announceDelay)
		u := &update{engines: t.Client, remaining: t.held.Remaining, log: t.Log, accepted: func() { t.accepted(want.Model, e.ID) },
			order: Order{Endpoint: e.ID, Address: e.Address, Model: want.Model, Version: want.Version, Strategy: t.Strategy, Fence: t.held.Fence}}
		began := time.Now()
		err := u.run(ctx)
		t.Log.Info("engine updated", zap.String("endpoint", e.ID), zap.String("model", want.Model), zap.Int64("version", want.Version),
			zap.Duration("took", time.Since(began)), zap.Error(err))
		t.ended(want, e.ID, err)
	})
}

// accepted notes that an engine has taken its order.
func (t *term) accepted(model, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models[model].accepted[id] = time.Now()
}

func (t *term) ended(want catalog.Target, id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	delete(p.updating, id)
	accepted, ok := p.accepted[id]
	delete(p.accepted, id)
	if err == nil && ok {
		p.loadTime = time.Since(accepted)
	}
	if err == nil {
		p.done[id] = max(p.done[id], want.Version)
		delete(p.failed, id)
	} else {
		p.failed[id] = time.Now()
	}
	if errors.Is(err, errStale) {
		t.cancel(err)
	}
}

// announce tells the other processes of the plan, when it changes and from time
// to time while engines load. The first plan of a version is kept in the store.
func (t *term) announce(ctx context.Context, want catalog.Target) {
	plan := t.plan(want)
	p := t.models[want.Model]
	text := fmt.Sprint(plan)
	if text != p.announced || len(plan.Updating) > 0 && time.Since(p.announcedAt) > announceInterval {
		p.announced, p.announcedAt = text, time.Now()
		t.OnPlan(plan)
	}
	if p.stored != want.Version {
		t.store(ctx, plan, p)
	}
}

// store writes a plan to the store, for processes that start later.
func (t *term) store(ctx context.Context, plan Plan, p *progress) {
	key := PlanPrefix + plan.Model
	plan.Updating, plan.Current = nil, nil // only current while the holder announces them
	text, err := json.Marshal(plan)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	expect := max(p.revision, t.PlanRevision(key))
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := t.KV.CompareAndSwap(call, key, expect, text, 0)
	if err != nil {
		t.Log.Warn("plan not stored", zap.String("model", plan.Model), zap.Int64("version", plan.Version), zap.Error(err))
		return
	}
	p.revision, p.stored = rev, plan.Version
}

// plan returns the present plan.
func (t *term) plan(want catalog.Target) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	out := Plan{Model: want.Model, Version: want.Version, Updating: []string{}, Current: []string{},
		NamedMs: t.Targets.NamedAt(want).UnixMilli()}
	for id := range p.updating {
		out.Updating = append(out.Updating, id)
	}
	for id, v := range p.done {
		if v >= want.Version {
			out.Current = append(out.Current, id)
		}
	}
	slices.Sort(out.Updating)
	slices.Sort(out.Current)
	return out
}
