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
	// stepInterval is the time between two checks for due updates.
	stepInterval = 50 * time.Millisecond
	// updateRetryDelay is the delay before a failed update of an engine is retried.
	updateRetryDelay = time.Second
	// announceInterval is the time after which an unchanged plan is announced
	// again while engines load.
	announceInterval = 500 * time.Millisecond
	// minStateLag is the minimum age of the state that engines report.
	minStateLag = 200 * time.Millisecond
	// prepareLead is how long before a load is reported as finished the next engine
	// is announced, so that its order arrives when the load has ended.
	prepareLead = announceDelay + minStateLag
	// announceDelay is the time that an announcement needs to reach all processes.
	announceDelay = 80 * time.Millisecond
)

// Engine is an engine as listed by the process that runs the coordinator.
type Engine struct {
	ID      string
	Address string
	// WeightsVersion is the version of the weights of the model for which the engine is listed.
	WeightsVersion int64
	// Live is false for an engine that is leaving.
	Live bool
	// Running is the number of running requests; the least loaded engines are
	// updated first.
	Running int64
}

// LockKey is the key of the lock whose holder sends orders to the engines.
const LockKey = "citrontiller/rollout-lock"

// Coordinator updates the engines to the wanted versions while it holds the lock.
type Coordinator struct {
	KV      infra.KV
	Lock    *lease.Lock
	Client  EngineClient
	Targets *Targets
	// List returns the engines of a model.
	List func(model string) []Engine
	// PlanRevision returns the locally known revision of a plan's key, 0 when it
	// doesn't exist.
	PlanRevision func(key string) int64
	// OnPlan is called with each plan that this process announces.
	OnPlan   func(p Plan)
	Strategy Strategy
	// ShareDivisor bounds the engines of a model that are updated at the same time:
	// one in this many, rounded up.
	ShareDivisor int
	Log          *zap.Logger
}

// Run competes for the lock and updates engines while this process holds it,
// until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.Lock.Run(ctx, func(ctx context.Context, h *lease.Held) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		t := &term{Coordinator: c, held: h, cancel: cancel, models: map[string]*progress{}}
		t.run(ctx)
		t.wg.Wait()
	})
}

// term is the work during the time for which this process holds the lock.
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
	// updating holds the engines that are being updated.
	updating map[string]bool
	// doneVersion is the version that each engine was last updated to.
	doneVersion map[string]int64
	// failedAt is when the last update of each engine failed.
	failedAt map[string]time.Time
	// acceptedAt is when each engine that is being updated accepted its order.
	acceptedAt map[string]time.Time
	// loadTime is the time from acceptance to completion of the last successful
	// update, 0 when unknown.
	loadTime time.Duration
	// announced is the last announced plan, printed for comparison.
	announced   string
	announcedAt time.Time
	// plans counts the announced plans.
	plans int64
	// storedVersion is the version of the plan that this process has stored, and
	// storedRevision is the revision of the plan's key.
	storedVersion  int64
	storedRevision int64
}

func (t *term) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, want := range t.Targets.Latest() {
			t.step(ctx, want)
		}
		wait.Sleep(ctx, stepInterval)
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		t.Log.Warn("order refused as stale; releasing the lock", zap.Int64("fence", t.held.Fence), zap.Error(cause))
	}
}

// step selects the due updates, announces the plan if it changed and starts them.
func (t *term) step(ctx context.Context, want catalog.Target) {
	engines := t.List(want.Model)
	starting := t.selectDue(want, engines)
	t.announce(ctx, want)
	for _, e := range starting {
		t.start(ctx, want, e)
	}
}

// selectDue marks the engines to update next as updating and returns them.
func (t *term) selectDue(want catalog.Target, engines []Engine) []Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	if p == nil {
		p = &progress{updating: map[string]bool{}, doneVersion: map[string]int64{}, failedAt: map[string]time.Time{}, acceptedAt: map[string]time.Time{}}
		t.models[want.Model] = p
	}
	byID := make(map[string]Engine, len(engines))
	var states []order.Endpoint
	for _, e := range engines {
		byID[e.ID] = e
		version := max(e.WeightsVersion, p.doneVersion[e.ID])
		states = append(states, order.Endpoint{ID: e.ID, State: stateOf(want.Model, min(version, want.Version)),
			Loading: p.occupiesSlot(e.ID), Reachable: e.Live && !t.updatesAny(e.ID) && time.Since(p.failedAt[e.ID]) > updateRetryDelay,
			Behind: want.Version - version, Load: e.Running})
	}
	for id := range p.doneVersion {
		if _, ok := byID[id]; !ok {
			delete(p.doneVersion, id)
			delete(p.failedAt, id)
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

// updatesAny reports whether an engine is being updated for any of its models: it executes one
// order at a time. The caller holds mu.
func (t *term) updatesAny(id string) bool {
	for _, p := range t.models {
		if p.updating[id] {
			return true
		}
	}
	return false
}

// occupiesSlot reports whether an engine that is being updated occupies a slot.
// An update that is about to finish doesn't, so that the next engine can be
// announced meanwhile.
func (p *progress) occupiesSlot(id string) bool {
	if !p.updating[id] {
		return false
	}
	accepted, ok := p.acceptedAt[id]
	return !ok || p.loadTime == 0 || time.Since(accepted) < p.loadTime-prepareLead
}

func stateOf(model string, version int64) order.State {
	return order.State{Model: model, Version: strconv.FormatInt(version, 10)}
}

// start updates an engine in the background, after announceDelay.
func (t *term) start(ctx context.Context, want catalog.Target, e Engine) {
	t.wg.Go(func() {
		wait.Sleep(ctx, announceDelay)
		u := &update{engines: t.Client, remaining: t.held.Remaining, log: t.Log, onAccepted: func() { t.markAccepted(want.Model, e.ID) },
			order: Order{Endpoint: e.ID, Address: e.Address, Model: want.Model, Version: want.Version, Strategy: t.Strategy, Fence: t.held.Fence}}
		began := time.Now()
		err := u.run(ctx)
		t.Log.Info("engine updated", zap.String("endpoint", e.ID), zap.String("model", want.Model), zap.Int64("version", want.Version),
			zap.Duration("took", time.Since(began)), zap.Error(err))
		t.finishUpdate(want, e.ID, err)
	})
}

// markAccepted records that an engine has accepted its order.
func (t *term) markAccepted(model, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models[model].acceptedAt[id] = time.Now()
}

// finishUpdate records the result of an update. A stale fencing token ends the
// term.
func (t *term) finishUpdate(want catalog.Target, id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	delete(p.updating, id)
	accepted, ok := p.acceptedAt[id]
	delete(p.acceptedAt, id)
	if err == nil && ok {
		p.loadTime = time.Since(accepted)
	}
	if err == nil {
		p.doneVersion[id] = max(p.doneVersion[id], want.Version)
		delete(p.failedAt, id)
	} else {
		p.failedAt[id] = time.Now()
	}
	if errors.Is(err, errStale) {
		t.cancel(err)
	}
}

// announce calls OnPlan when the plan has changed, and every announceInterval
// while engines load. The first plan of a version is also written to the store.
func (t *term) announce(ctx context.Context, want catalog.Target) {
	plan := t.plan(want)
	p := t.models[want.Model]
	text := fmt.Sprint(plan)
	if text != p.announced || len(plan.Updating) > 0 && time.Since(p.announcedAt) > announceInterval {
		p.announced, p.announcedAt = text, time.Now()
		p.plans++
		plan.Number = p.plans
		t.OnPlan(plan)
	}
	if p.storedVersion != want.Version {
		t.store(ctx, plan, p)
	}
}

// store writes a plan to the store, so that processes that start later read when
// the version and those before it were named. A failure is logged, and the next step retries.
func (t *term) store(ctx context.Context, plan Plan, p *progress) {
	key := PlanPrefix + plan.Model
	text, err := json.Marshal(plan.Stored(t.Targets, time.Now()))
	if err != nil {
		panic(err) // can't happen: strings and integers always encode
	}
	expect := max(p.storedRevision, t.PlanRevision(key))
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := t.KV.CompareAndSwap(call, key, expect, text, 0)
	if err != nil {
		t.Log.Warn("plan not stored", zap.String("model", plan.Model), zap.Int64("version", plan.Version), zap.Error(err))
		return
	}
	p.storedRevision, p.storedVersion = rev, plan.Version
}

// plan returns the plan to announce for a target.
func (t *term) plan(want catalog.Target) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.models[want.Model]
	out := Plan{Model: want.Model, Version: want.Version, Updating: []string{}, Current: []string{}, Fence: t.held.Fence}
	out.Named, out.Witnessed = t.Targets.NamedAt(want)
	for id := range p.updating {
		out.Updating = append(out.Updating, id)
	}
	for id, v := range p.doneVersion {
		if v >= want.Version {
			out.Current = append(out.Current, id)
		}
	}
	slices.Sort(out.Updating)
	slices.Sort(out.Current)
	return out
}
