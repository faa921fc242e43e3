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

// fakeEngine loads weights for a while after an order.
type fakeEngine struct {
	version int64
	// before is the version before the last order.
	before   int64
	accepted int64
	fence    int64
	busy     time.Time
	next     int64
	// lose is how many orders get no answer and are not carried out.
	lose int
	// dead engines answer nothing.
	dead bool
}

// fakeEngines is a set of engines.
type fakeEngines struct {
	mu     sync.Mutex
	load   time.Duration
	all    map[string]*fakeEngine
	orders []Order
	// most is the highest number of engines that loaded at the same time.
	most int
}

func newFakeEngines(n int, load time.Duration) *fakeEngines {
	f := &fakeEngines{load: load, all: map[string]*fakeEngine{}}
	for i := range n {
		f.all[fmt.Sprintf("e%02d", i)] = &fakeEngine{version: 1}
	}
	return f
}

var errLost = errors.New("no answer")

// settle ends a load that is over; the caller holds mu.
func (e *fakeEngine) settle() {
	if e.next > 0 && !time.Now().Before(e.busy) {
		e.version, e.next = e.next, 0
	}
}

func (f *fakeEngines) Load(_ context.Context, o Order) (Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	e := f.all[o.Endpoint]
	e.settle()
	switch {
	case e.dead:
		return "", errLost
	case e.lose > 0:
		e.lose--
		return "", errLost
	case o.Fence < e.fence:
		return Stale, nil
	case e.next > 0 || o.Expected != nil && *o.Expected != e.accepted:
		return Busy, nil
	case e.version == o.Version:
		return Current, nil
	}
	e.before = e.version
	e.fence, e.accepted, e.next, e.busy = o.Fence, e.accepted+1, o.Version, time.Now().Add(f.load)
	loading := 0
	for _, other := range f.all {
		other.settle()
		if other.next > 0 {
			loading++
		}
	}
	f.most = max(f.most, loading)
	return Accepted, nil
}

func (f *fakeEngines) State(_ context.Context, endpoint, _ string) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[endpoint]
	e.settle()
	if e.dead {
		return State{}, errLost
	}
	st := State{Weights: map[string]int64{model: e.version}, Busy: e.next > 0, Accepted: e.accepted}
	if e.accepted > 0 && time.Since(e.busy) < stateAge { // what it says is old
		st.Weights[model], st.Busy = e.before, true
	}
	return st, nil
}

func (f *fakeEngines) list(string) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Engine
	for id, e := range f.all {
		e.settle()
		out = append(out, Engine{ID: id, Address: id, Weights: e.version, Live: true})
	}
	return out
}

// versions counts the engines by version.
func (f *fakeEngines) versions() map[int64]int {
	out := map[int64]int{}
	for _, e := range f.list(model) {
		out[e.Weights]++
	}
	return out
}

// fakeKV is a key-value service without leases that lapse.
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

// coordinate runs a coordinator and returns it with a stop function.
func coordinate(f *fakeEngines, kv *fakeKV) (*Coordinator, func()) {
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

// Guards against engines that stay on older weights because an order was lost,
// and against loading more engines at once than the store bears.
func TestRolloutReachesAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		f.all["e03"].lose = 2
		c, stop := coordinate(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(12 * time.Second)
		is.Equal(f.versions(), map[int64]int{2: 12})
		is.True(f.most <= 2)
		stop()
	})
}

// Guards against passing the deadline of the oldest weights when a version is
// named before the last one is everywhere.
func TestOldestWeightsChangeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		c, stop := coordinate(f, &fakeKV{})
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

// Guards against a dead engine that occupies a slot of the rollout.
func TestDeadEngineDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(12, 1100*time.Millisecond)
		f.all["e00"].dead = true
		c, stop := coordinate(f, &fakeKV{})
		c.Targets.SetIfNewer(catalog.Target{Model: model, Version: 2}, time.Now())
		time.Sleep(12 * time.Second)
		is.Equal(f.versions(), map[int64]int{1: 1, 2: 11})
		stop()
	})
}

// Guards against orders of a holder after another one has given orders.
func TestStaleHolderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEngines(2, time.Second)
		for _, e := range f.all {
			e.fence = 1000
		}
		c, stop := coordinate(f, &fakeKV{})
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
// the deadline, also in a process that started since.
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

// Guards against a process that takes its own start for the time at which a
// version was named, because it read the plan before the version.
func TestNamingTimeBeforeTheVersion(t *testing.T) {
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
		is.Equal(targets.NamedAt(want), named)
		required, _ := targets.Version("m", start.Add(4*time.Second))
		is.Equal(required, int64(4))
	}
}
