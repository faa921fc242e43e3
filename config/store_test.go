package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/standin/kv"
)

const key = config.ServicePrefix + "llm"

func document(retries int) []byte {
	return fmt.Appendf(nil, `{"service":"llm","model":"m","budgets":{"retry_percent":%d}}`, retries)
}

// runInBubble runs f in a synctest bubble, with a fleet that consists of the
// stand-ins only.
func runInBubble(t *testing.T, f func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl, err := fleet.New(fleet.NewMemoryNetwork(), nil)
		is.NoErr(err)
		s, err := fl.Store()
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		f(is, fl, s, ctx)
		cancel()
		synctest.Wait()
		fl.Close()
	})
}

func apply(is *is.I, s *config.Store, base int64, retries int) *config.Record {
	is.Helper()
	r, err := s.Apply(context.Background(), document(retries), base, "test")
	is.NoErr(err)
	return r
}

// operation is the input of a call in the history that porcupine checks: Apply with
// a base generation, or Get.
type operation struct {
	apply bool
	base  int64
}

// outcome is the output of a call and the state of registerModel.
type outcome struct {
	generation int64
	changeID   string
	conflict   bool
}

// registerModel is the sequential specification of the store: a register that Apply
// changes by compare-and-swap of its generation.
var registerModel = porcupine.Model{
	Init: func() any { return outcome{} },
	Step: func(state, in, out any) (bool, any) {
		st, i, o := state.(outcome), in.(operation), out.(outcome)
		switch {
		case !i.apply:
			return st == o, st
		case o.conflict:
			return st.generation != i.base, st
		default:
			return st.generation == i.base && o.generation == i.base+1, o
		}
	},
}

// Guards against two edits from the same base both being accepted, and against an
// accepted edit reported as refused, when requests and responses of writes are
// lost.
func TestApplyIsLinearizable(t *testing.T) {
	runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
		const operators, edits = 4, 12
		var clock atomic.Int64
		var mu sync.Mutex
		var history []porcupine.Operation
		step := func(client int, in operation, f func() outcome) outcome {
			call := clock.Add(1)
			out := f()
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: clock.Add(1)})
			return out
		}
		var wg sync.WaitGroup
		for c := range operators {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(7, uint64(c)))
				for range edits {
					got := step(c, operation{}, func() outcome {
						r, _, err := s.Get(ctx, "llm")
						if errors.Is(err, infra.ErrNotFound) {
							return outcome{}
						}
						is.NoErr(err)
						return outcome{generation: r.Generation, changeID: r.ChangeID}
					})
					fl.KV.SetFaults(kv.Faults{LoseWrites: rng.IntN(2), LoseWriteResponses: rng.IntN(2), Delay: time.Duration(rng.IntN(20)) * time.Millisecond})
					step(c, operation{apply: true, base: got.generation}, func() outcome {
						r, err := s.Apply(ctx, document(rng.IntN(100)), got.generation, fmt.Sprint(c))
						var conflict *config.ConflictError
						if errors.As(err, &conflict) {
							return outcome{conflict: true}
						}
						is.NoErr(err)
						return outcome{generation: r.Generation, changeID: r.ChangeID}
					})
				}
			})
		}
		wg.Wait()
		is.True(porcupine.CheckOperations(registerModel, history))
		final, _, err := s.Get(ctx, "llm")
		is.NoErr(err)
		fl.KV.SetFaults(kv.Faults{})
		records, err := s.History(ctx, "llm")
		is.NoErr(err)
		is.Equal(len(records), int(final.Generation)) // every accepted edit is in the history
	})
}

// lostResponseKV loses the response of the first write and calls afterWrite before
// it returns.
type lostResponseKV struct {
	infra.KV
	once       sync.Once
	afterWrite func()
}

func (o *lostResponseKV) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
	rev, err := o.KV.CompareAndSwap(ctx, key, expect, value, lease)
	o.once.Do(func() {
		o.afterWrite()
		rev, err = 0, &infra.Error{Code: infra.Unknown, Op: "swap"}
	})
	return rev, err
}

// Guards against an accepted edit being reported as a conflict because another
// operator's edit followed before the outcome of the lost response was known.
func TestApplyLostResponseThenNewerEdit(t *testing.T) {
	runInBubble(t, func(is *is.I, _ *fleet.Fleet, s *config.Store, ctx context.Context) {
		first := &config.Store{KV: &lostResponseKV{KV: s.KV, afterWrite: func() { apply(is, s, 1, 20) }}}
		r, err := first.Apply(ctx, document(10), 0, "first")
		is.NoErr(err)
		is.Equal(r.Generation, int64(1))
		current, _, err := s.Get(ctx, "llm")
		is.NoErr(err)
		is.Equal(current.Generation, int64(2))
	})
}

// Guards against a conflict without its changes, a change of unknown outcome without
// its id, and retries that ignore Retry-After.
func TestApplyErrors(t *testing.T) {
	runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
		fl.KV.SetFaults(kv.Faults{LoseWrites: 100})
		_, err := s.Apply(ctx, document(30), 0, "lost")
		var se *config.StoreError
		is.True(errors.As(err, &se) && se.ChangeID != "" && errors.Is(err, infra.ErrUnknown))
		fl.KV.SetFaults(kv.Faults{})
		apply(is, s, 0, 10)
		_, err = s.Apply(ctx, document(30), 0, "late")
		var conflict *config.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Changes, []config.Change{{Path: "budgets.retry_percent", Old: "10", New: "30"}})
		fl.KV.SetFaults(kv.Faults{LoseWrites: 100})
		_, err = s.Apply(ctx, document(30), 1, "lost")
		is.True(errors.As(err, &se) && se.ChangeID == "") // failed before the compare-and-swap
		fl.KV.SetFaults(kv.Faults{WritesPerSecond: 1})
		start := time.Now()
		apply(is, s, 1, 30)
		apply(is, s, 2, 31)
		is.True(time.Since(start) >= time.Second) // waits for Retry-After
	})
}

// startFollow starts Follow and returns its table and a function that waits until a
// generation is in force and returns the time taken, at most limit.
func startFollow(ctx context.Context, is *is.I, s *config.Store, interval time.Duration) (*config.Table, func(generation int64, limit time.Duration) time.Duration) {
	table := config.NewTable()
	highest := int64(0)
	table.OnChange(func(_ string, e config.ActiveRecord) {
		is.True(e.Record.Generation > highest) // generations never decrease
		highest = e.Record.Generation
	})
	go s.Follow(ctx, table, interval)
	return table, func(generation int64, limit time.Duration) time.Duration {
		start := time.Now()
		for time.Since(start) < limit {
			if e, ok := table.Get("llm"); ok && e.Record.Generation >= generation {
				return time.Since(start)
			}
			time.Sleep(10 * time.Millisecond)
		}
		return limit
	}
}

// inForceWithin is the time within which a change must be in force everywhere.
const inForceWithin = 19 * time.Second

// Guards against a change that is lost because the watch stops delivering events
// without closing. Without polls (an interval of an hour) it is not in force after
// 19 s.
func TestSilentWatch(t *testing.T) {
	for _, tt := range []struct {
		interval time.Duration
		want     bool
	}{{5 * time.Second, true}, {time.Hour, false}} {
		runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
			_, wait := startFollow(ctx, is, s, tt.interval)
			apply(is, s, 0, 1)
			wait(1, inForceWithin)
			fl.KV.SetFaults(kv.Faults{SilentWatch: true})
			apply(is, s, 1, 2)
			took := wait(2, inForceWithin)
			t.Logf("interval %v: in force after %v", tt.interval, took)
			is.Equal(took < inForceWithin, tt.want)
		})
	}
}

// Guards against a store that is restored to an older state and keeps it, and
// against the loss of an edit that was accepted on the older state.
func TestStoreRestoredToOlderState(t *testing.T) {
	runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
		apply(is, s, 0, 1)
		old := fl.KV.Snapshot()
		apply(is, s, 1, 2)
		apply(is, s, 2, 3)
		table, wait := startFollow(ctx, is, s, 5*time.Second)
		wait(3, inForceWithin)
		fl.KV.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Minute)
		fl.KV.Restore(old)
		fl.KV.SetFaults(kv.Faults{})
		time.Sleep(25 * time.Second)
		r, _, err := s.Get(ctx, "llm")
		is.NoErr(err)
		is.Equal(r.Generation, int64(3)) // written back
		fl.KV.Restore(old)
		apply(is, s, 1, 99)
		took := wait(4, inForceWithin)
		e, _ := table.Get("llm")
		t.Logf("edit of the older state in force after %v", took)
		is.Equal(e.Document.Budgets.RetryPercent, 99)
		is.Equal(e.Record.Generation, int64(4))
	})
}

// Guards against an invalid document coming into force when it is written without
// the operator command, and against a log line for it on every poll.
func TestInvalidDocument(t *testing.T) {
	runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
		core, logs := observer.New(zap.ErrorLevel)
		s.Log = zap.New(core)
		apply(is, s, 0, 7)
		table, wait := startFollow(ctx, is, s, 5*time.Second)
		wait(1, inForceWithin)
		bad := `{"generation":2,"change_id":"x","document":{"service":"llm","model":"m","budgets":{"retry_percent":101}}}`
		for _, value := range []string{bad, `{"generation":`} {
			fl.KV.Put(key, []byte(value))
			time.Sleep(time.Minute)
			e, _ := table.Get("llm")
			is.Equal(e.Document.Budgets.RetryPercent, 7)
		}
		is.Equal(logs.FilterMessageSnippet("configuration refused").Len(), 2)
		stored, _ := fl.KV.Value(key)
		is.Equal(string(stored), `{"generation":`) // left for an operator to repair
	})
}

// Guards against polls that exceed the call or byte limits of the store or the
// process. An idle process makes one keys-only read and one watch every 5 s.
func TestCallsAtRest(t *testing.T) {
	runInBubble(t, func(is *is.I, fl *fleet.Fleet, s *config.Store, ctx context.Context) {
		apply(is, s, 0, 1)
		_, wait := startFollow(ctx, is, s, 5*time.Second)
		wait(1, inForceWithin)
		before := fl.KV.Calls("/v3/kv/range")
		time.Sleep(10 * time.Minute)
		reads := fl.KV.Calls("/v3/kv/range") - before
		t.Logf("%d reads in 10 minutes", reads)
		is.True(reads <= 135)
	})
}
