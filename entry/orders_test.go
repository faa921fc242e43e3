package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/standin/kv"
)

// weightStore is a weight store with versions v1 and v2.
type weightStore struct{}

func (weightStore) Stat(_ context.Context, _, version string) error {
	if version != "v1" && version != "v2" {
		return &infra.Error{Code: infra.NotFound, Op: "stat " + version}
	}
	return nil
}

const engines = 6

func document(version string) []byte {
	return fmt.Appendf(nil, `{"format_version":1,"service":"llm","kind":"engine","model":"m","version":%q,"engine":{"weight_load_slots":2},
		"accounts":[{"name":"a","key_sha256":[%q],"weight":1}]}`, version, fleet.KeyHash("secret"))
}

// withRolloutFleet runs scenario on a fleet of six engines behind three agents with
// two entries, all in virtual time.
func withRolloutFleet(t *testing.T, scenario func(t *testing.T, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, err := fleet.New(fleet.NewMemoryNetwork(), nil)
		is.NoErr(err)
		st, err := f.Store()
		is.NoErr(err)
		_, err = st.Apply(t.Context(), document("v1"), 0, "test")
		is.NoErr(err)
		for i := range engines / 2 {
			spec := fleet.AgentSpec{Name: fmt.Sprintf("agent-%d", i), Region: "r1", Service: func(string) string { return "llm" }}
			for j := range 2 {
				spec.Engines = append(spec.Engines, engine.Options{ID: fmt.Sprintf("engine-%d", 2*i+j), Model: "m", Version: "v1",
					TokenGap: time.Millisecond, LoadTime: time.Second, ChecksFence: j == 0})
			}
			_, err = f.AddAgent(spec)
			is.NoErr(err)
		}
		for i := range 2 {
			opts := entry.DefaultOptions()
			opts.Region, opts.Weights = "r1", weightStore{}
			_, err = f.AddEntry(fmt.Sprintf("entry-%d", i), opts)
			is.NoErr(err)
		}
		is.NoErr(f.WaitReady(t.Context()))
		time.Sleep(time.Minute)
		scenario(t, f)
		f.Close()
		// Virtual time stops when the test function returns, but the remaining
		// goroutines need time to finish.
		time.Sleep(6 * time.Minute)
	})
}

func sendRequest(f *fleet.Fleet, i int) error {
	body := fmt.Sprintf(`{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"question %d"}]}`, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[i%len(f.Entries)].Address+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer secret")
	c := f.Client()
	defer c.CloseIdleConnections()
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return err
}

// countLoaded returns the number of engines whose last order is to load a version,
// and the number of orders of all engines.
func countLoaded(f *fleet.Fleet, version string) (n, orders int) {
	for _, e := range f.Engines {
		c := e.Counts()
		orders += len(c.Orders)
		if len(c.Orders) > 0 && c.Orders[len(c.Orders)-1].Version == version {
			n++
		}
	}
	return n, orders
}

// Guards against a change of the weights version that takes longer than 19 s,
// loads weights on more engines at once than the document allows, or leaves the
// service without endpoints while the engines load.
func TestRolloutServesThroughout(t *testing.T) {
	withRolloutFleet(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		st, err := f.Store()
		is.NoErr(err)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var failures []error
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if err := sendRequest(f, i); err != nil {
					failures = append(failures, err)
				}
			}
		})
		begin := time.Now()
		_, err = st.Apply(t.Context(), document("v2"), 1, "test")
		is.NoErr(err)
		maxLoading := 0
		for n := 0; n < engines; n, _ = countLoaded(f, "v2") {
			loading := 0
			for _, e := range f.Engines {
				if e.Loading() {
					loading++
				}
			}
			maxLoading = max(maxLoading, loading)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		took := time.Since(begin)
		t.Logf("%d engines changed within %s, at most %d at once", engines, took, maxLoading)
		is.True(took < 19*time.Second)
		is.True(maxLoading <= 2)
		time.Sleep(19 * time.Second)
		close(stop)
		wg.Wait()
		is.Equal(failures, nil)
		_, orders := countLoaded(f, "v2")
		is.Equal(orders, engines) // one order per engine
	})
}

// Guards against orders for weights that don't exist, and against two controllers
// that both send orders after an outage of the key-value service.
func TestControllerThroughOutage(t *testing.T) {
	withRolloutFleet(t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		st, err := f.Store()
		is.NoErr(err)
		_, err = st.Apply(t.Context(), document("v9"), 1, "test")
		is.NoErr(err)
		time.Sleep(30 * time.Second)
		_, orders := countLoaded(f, "v9")
		is.Equal(orders, 0)
		_, err = st.Apply(t.Context(), document("v2"), 2, "test")
		is.NoErr(err)
		time.Sleep(time.Second)
		f.KV.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Minute)
		f.KV.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		n, orders := countLoaded(f, "v2")
		is.Equal(n, engines)
		is.Equal(orders, engines)
		fences := map[int64]bool{}
		for _, e := range f.Engines {
			for _, o := range e.Counts().Orders {
				fences[o.Fence] = true
			}
		}
		is.True(len(fences) <= 2)
	})
}
