package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/standin/kv"
)

// waitForGeneration waits until the table has a generation and returns the time
// that took.
func waitForGeneration(t *testing.T, table *config.Table, generation int64) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 19*time.Second {
		if e, ok := table.Get("llm"); ok && e.Record.Generation == generation {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("generation %d not in force after 19 s", generation)
	return 0
}

// Guards against agents that don't receive the configuration, an entry or agent
// that can't get it after a restart while the store is unavailable, and a process
// that reverts to an older generation when the store is restored from a snapshot.
func TestConfigurationThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, err := fleet.New(fleet.NewMemoryNetwork(), nil)
		is.NoErr(err)
		defer f.Close()
		addAgent := func(i int) *fleet.Agent {
			a, err := f.AddAgent(fleet.AgentSpec{Name: fmt.Sprintf("agent-%d", i), Service: func(string) string { return "llm" },
				Engines: []engine.Options{{ID: fmt.Sprintf("engine-%d", i), Model: "m"}}})
			is.NoErr(err)
			return a
		}
		addEntry := func(name string) *fleet.Entry {
			e, err := f.AddEntry(name, entry.DefaultOptions())
			is.NoErr(err)
			return e
		}
		first, second := addAgent(0), addAgent(1)
		before := addEntry("entry-0")
		store, err := f.Store()
		is.NoErr(err)
		apply := func(base int64) {
			_, err := store.Apply(context.Background(), []byte(`{"service":"llm","model":"m"}`), base, "test")
			is.NoErr(err)
		}
		apply(0)
		waitForGeneration(t, first.Config, 1)
		old := f.KV.Snapshot()
		apply(1)
		t.Logf("change at the agents after %v, %v", waitForGeneration(t, first.Config, 2), waitForGeneration(t, second.Config, 2))

		f.KV.SetFaults(kv.Faults{Down: true})
		restarted := addEntry("entry-1")
		t.Logf("entry restarted during the outage has it after %v", waitForGeneration(t, restarted.Config, 2))
		t.Logf("agent restarted during the outage has it after %v", waitForGeneration(t, addAgent(2).Config, 2))

		f.KV.Restore(old)
		f.KV.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		for _, table := range []*config.Table{before.Config, restarted.Config, first.Config, second.Config} {
			waitForGeneration(t, table, 2)
		}
		r, _, err := store.Get(context.Background(), "llm")
		is.NoErr(err)
		is.Equal(r.Generation, int64(2)) // written back
		apply(2)
		t.Logf("change after the outage in force after %v, %v", waitForGeneration(t, restarted.Config, 3), waitForGeneration(t, first.Config, 3))
	})
}
