package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/lease"
)

const model = "m"

// fakeEngine is an engine that loads weights after an order.
type fakeEngine struct {
	version int64
	// previous is the version before the last order.
	previous int64
	accepted int64
	fence    int64
	// busyUntil is when the last load ends.
	busyUntil time.Time
	// loadingVersion is the version being loaded, 0 when none.
	loadingVersion int64
	// ordersToLose is how many orders get no reply and are not executed.
	ordersToLose int
	// dead engines reply to nothing.
	dead bool
	// hanging engines' calls return only when hung is closed, whatever their context says.
	hanging bool
}

// fakeEngines is an EngineClient for a set of fake engines.
type fakeEngines struct {
	mu sync.Mutex
	// loadTime is how long a load takes.
	loadTime time.Duration
	all      map[string]*fakeEngine
	orders   []Order
	// maxLoading is the highest number of engines that loaded at the same time.
	maxLoading int
	// hung ends the calls of hanging engines.
	hung chan struct{}
}

func newFakeEngines(n int, load time.Duration) *fakeEngines {
	f := &fakeEngines{loadTime: load, all: map[string]*fakeEngine{}, hung: make(chan struct{})}
	for i := range n {
		f.all[fmt.Sprintf("e%02d", i)] = &fakeEngine{version: 1}
	}
	return f
}

var errNoResponse = errors.New("no response")

// finishLoad completes a load whose time is over; the caller holds mu.
func (e *fakeEngine) finishLoad() {
	if e.loadingVersion > 0 && !time.Now().Before(e.busyUntil) {
		e.version, e.loadingVersion = e.loadingVersion, 0
	}
}

func (f *fakeEngines) Load(_ context.Context, o Order) (Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	e := f.all[o.Endpoint]
	e.finishLoad()
	if e.hanging {
		f.mu.Unlock()
		<-f.hung
		f.mu.Lock()
	}
	switch {
	case e.dead:
		return "", errNoResponse
	case e.ordersToLose > 0:
		e.ordersToLose--
		return "", errNoResponse
	case o.Fence < e.fence:
		return Stale, nil
	case e.loadingVersion > 0 || o.Expected != nil && *o.Expected != e.accepted:
		return Busy, nil
	case e.version == o.Version:
		return Current, nil
	}
	e.previous = e.version
	e.fence, e.accepted, e.loadingVersion, e.busyUntil = o.Fence, e.accepted+1, o.Version, time.Now().Add(f.loadTime)
	loading := 0
	for _, other := range f.all {
		other.finishLoad()
		if other.loadingVersion > 0 {
			loading++
		}
	}
	f.maxLoading = max(f.maxLoading, loading)
	return Accepted, nil
}

func (f *fakeEngines) State(_ context.Context, endpoint, _ string) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[endpoint]
	if e.hanging {
		f.mu.Unlock()
		<-f.hung
		f.mu.Lock()
	}
	e.finishLoad()
	if e.dead {
		return State{}, errNoResponse
	}
	st := State{Weights: map[string]int64{model: e.version}, Busy: e.loadingVersion > 0, Accepted: e.accepted}
	if e.accepted > 0 && time.Since(e.busyUntil) < minStateLag { // reports lag behind the state
		st.Weights[model], st.Busy = e.previous, true
	}
	return st, nil
}

func (f *fakeEngines) list(string) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Engine
	for id, e := range f.all {
		e.finishLoad()
		out = append(out, Engine{ID: id, Address: id, WeightsVersion: e.version, Live: true})
	}
	return out
}

// versions counts the engines by version.
func (f *fakeEngines) versions() map[int64]int {
	out := map[int64]int{}
	for _, e := range f.list(model) {
		out[e.WeightsVersion]++
	}
	return out
}

// fakeKV is a key-value service whose leases never expire.
type fakeKV struct {
	mu    sync.Mutex
	items map[string]infra.Pair
	rev   int64
}

func (k *fakeKV) Get(_ context.Context, key string) (infra.Pair, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.items[key]
	if !ok {
		return infra.Pair{}, infra.ErrNotFound
	}
	return p, nil
}

func (k *fakeKV) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, _ int64) (int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.items[key].Revision != expect {
		return 0, infra.ErrConflict
	}
	k.rev++
	if k.items == nil {
		k.items = map[string]infra.Pair{}
	}
	k.items[key] = infra.Pair{Key: key, Value: value, Revision: k.rev}
	return k.rev, nil
}

func (k *fakeKV) Delete(_ context.Context, key string, expect int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.items[key].Revision != expect {
		return infra.ErrConflict
	}
	delete(k.items, key)
	return nil
}

func (k *fakeKV) List(context.Context, string) ([]infra.Pair, int64, error) { return nil, 0, nil }
func (k *fakeKV) Watch(context.Context, string, int64) (<-chan infra.Event, error) {
	return nil, infra.ErrUnavailable
}
func (k *fakeKV) Grant(context.Context, time.Duration) (int64, error) { return 1, nil }
func (k *fakeKV) KeepAlive(context.Context, int64) (time.Duration, error) {
	return time.Minute, nil
}

// startCoordinator runs a coordinator and returns it with a stop function.
func startCoordinator(f *fakeEngines, kv *fakeKV) (*Coordinator, func()) {
	c := &Coordinator{KV: kv, Lock: &lease.Lock{KV: kv, Key: LockKey, Holder: "h", TTL: 3 * time.Second, Log: zap.NewNop()},
		Client: f, Targets: &Targets{}, List: f.list, OnPlan: func(Plan) {}, Strategy: Keep, ShareDivisor: 6, Log: zap.NewNop(),
		PlanRevision: func(key string) int64 {
			p, err := kv.Get(context.Background(), key)
			if err != nil {
				return 0
			}
			return p.Revision
		}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	return c, func() { cancel(); <-done }
}

// Guards against engines that keep older weights after an order was lost, and
// against more concurrent loads than the weight store can serve.
func TestRolloutReachesAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		f.all["e03"].ordersToLose = 2
		c, stop := startCoordinator(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(12 * time.Second)
		is.Equal(f.versions(), map[int64]int{2: 12})
		is.True(f.maxLoading <= 2)
		stop()
	})
}

// Guards against missing the deadline of the oldest weights when a new version is
// named before all engines have the previous one.
func TestOldestWeightsChangeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		c, stop := startCoordinator(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(4800 * time.Millisecond)
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 3}, time.Now())
		time.Sleep(7 * time.Second)
		is.Equal(f.versions()[1], 0) // within 12 s of version 2
		time.Sleep(5 * time.Second)
		is.Equal(f.versions(), map[int64]int{3: 12})
		stop()
	})
}

// Guards against an unresponsive engine that permanently occupies a rollout slot.
func TestDeadEngineDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		f.all["e00"].dead = true
		c, stop := startCoordinator(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(12 * time.Second)
		is.Equal(f.versions(), map[int64]int{1: 1, 2: 11})
		stop()
	})
}

// Guards against a call to an engine that outlasts its context: the rollout would stall
// while its holder keeps the lease, and the process would not end.
func TestHangingCallDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		defer close(f.hung)
		f.all["e00"].hanging = true
		c, stop := startCoordinator(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(20 * time.Second)
		is.Equal(f.versions(), map[int64]int{1: 1, 2: 11})
		stopped := time.Now()
		stop()
		is.True(time.Since(stopped) < time.Second)
	})
}

// Guards against further orders from a holder after an engine has refused its
// fencing token as stale.
func TestStaleHolderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(2, time.Second)
		for _, e := range f.all {
			e.fence = 1000
		}
		c, stop := startCoordinator(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		first := len(f.orders)
		fence := f.orders[0].Fence
		f.mu.Unlock()
		is.True(first > 0)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		for _, o := range f.orders[first:] {
			is.True(o.Fence > fence) // only under a new term
		}
		f.mu.Unlock()
		stop()
	})
}

// Guards against serving with weights whose successor was named longer ago than
// the deadline, also in a process that started after that.
func TestTargetsDeadlineByVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	targets := &Targets{Deadline: 12 * time.Second}
	is.True(targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, now))
	is.True(!targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, now))
	is.True(targets.SetIfNewer(catalog.Target{Model: model, Version: 3}, now.Add(5*time.Second)))
	required, preferred := targets.Version(model, now.Add(6500*time.Millisecond))
	is.Equal(required, int64(0))
	is.Equal(preferred, int64(3))
	required, _ = targets.Version(model, now.Add(12*time.Second))
	is.Equal(required, int64(2))
	targets.Backdate(catalog.Target{Model: model, Version: 3}, now)
	required, _ = targets.Version(model, now.Add(12*time.Second))
	is.Equal(required, int64(3))
	targets.Backdate(catalog.Target{Model: model, Version: 3}, now.Add(time.Hour))
	required, _ = targets.Version(model, now.Add(12*time.Second))
	is.Equal(required, int64(3))
}

// Guards against refusals of all requests because a rollout could not go on while the store
// was being restored: that time doesn't count toward the deadline.
func TestDeadlineCountsFromSettledStore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	settled := now.Add(6 * time.Second)
	targets := &Targets{Deadline: 12 * time.Second, UnsettledUntil: func() time.Time { return settled }}
	targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, now)
	required, preferred := targets.Version(model, now.Add(17*time.Second))
	is.Equal(required, int64(0))
	is.Equal(preferred, int64(2))
	required, _ = targets.Version(model, now.Add(18*time.Second))
	is.Equal(required, int64(2))
	targets.SetIfNewer(catalog.Target{Model: model, Version: 3}, now.Add(10*time.Second)) // after the restore
	required, _ = targets.Version(model, now.Add(21*time.Second))
	is.Equal(required, int64(2))
	required, _ = targets.Version(model, now.Add(22*time.Second))
	is.Equal(required, int64(3))
}

// Guards against a process that uses its own start time as the time at which a
// version was named, because it read the plan before the version.
func TestTargetTimeKnownBeforeVersion(t *testing.T) {
	is := is.New(t)
	named := time.Unix(100, 0)
	want := catalog.Target{Model: "m", Version: 4}
	for _, planFirst := range []bool{true, false} {
		targets := &Targets{Deadline: 12 * time.Second}
		start := named.Add(8 * time.Second)
		if planFirst {
			targets.Backdate(want, named)
		}
		is.True(targets.SetIfNewer(want, start))
		if !planFirst {
			targets.Backdate(want, named)
		}
		at, _ := targets.NamedAt(want)
		is.Equal(at, named)
		required, _ := targets.Version("m", start.Add(4*time.Second))
		is.Equal(required, int64(4))
	}
}

// Guards against an order to an engine that carries out one for another of its models: it is
// refused, and the update holds a slot that another engine could use.
func TestEngineIsUpdatedForOneModelAtATime(t *testing.T) {
	is := is.New(t)
	tm := &term{Coordinator: &Coordinator{ShareDivisor: 1}, models: map[string]*progress{}}
	engines := []Engine{{ID: "e-1", WeightsVersion: 1, Live: true}, {ID: "e-2", WeightsVersion: 1, Live: true}}
	first := tm.selectDue(catalog.Target{Model: "alpha", Version: 2}, engines[:1])
	is.Equal(len(first), 1)
	second := tm.selectDue(catalog.Target{Model: "beta", Version: 2}, engines)
	is.Equal(len(second), 1)
	is.Equal(second[0].ID, "e-2")
	tm.finishUpdate(catalog.Target{Model: "alpha", Version: 2}, "e-1", nil)
	is.Equal(len(tm.selectDue(catalog.Target{Model: "beta", Version: 2}, engines)), 1)
}
