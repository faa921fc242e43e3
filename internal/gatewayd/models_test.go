package gatewayd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/platform"
)

// modelEngine is a test double of an engine that holds several models.
type modelEngine struct {
	id string

	mu       sync.Mutex
	versions map[string]int64
	// salts holds the cache salts by model.
	salts map[string]string
}

// ServeHTTP implements http.Handler. It refuses requests that expect another version.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	model := r.Header.Get("Citrontiller-Model")
	version := strconv.FormatInt(e.versions[model], 10)
	e.salts[model] = r.Header.Get("Citrontiller-Cache-Salt")
	e.mu.Unlock()
	w.Header().Set("Citrontiller-Request-Id", r.Header.Get("Citrontiller-Request-Id"))
	w.Header().Set("Citrontiller-Weight-Versions", version)
	if expected := r.Header.Get("Citrontiller-Expect-Version"); expected != "" && expected != version {
		w.Header().Set("Citrontiller-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Citrontiller-Server-Stamp", "s")
	_, _ = io.WriteString(w, "fine") // the gateway may have left
}

// load sets the version of a model's weights.
func (e *modelEngine) load(model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[model] = version
}

// modelFleet is a gateway in front of engines that hold several models.
type modelFleet struct {
	*announcedFleet
	engines   []*modelEngine
	addresses []string
}

// modelDeadline is the time in which engines must have a named version.
const modelDeadline = 2 * time.Second

func newModelFleet(t *testing.T, engines int) *modelFleet {
	t.Helper()
	f := &modelFleet{announcedFleet: newAnnouncedGatewayWith(t, platform.Settings{Name: "g0", WeightsDeadline: modelDeadline})}
	for i := range engines {
		e := &modelEngine{id: fmt.Sprint("e", i), versions: map[string]int64{"alpha": 1, "beta": 1}, salts: map[string]string{}}
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		f.engines, f.addresses = append(f.engines, e), append(f.addresses, s.Listener.Addr().String())
		f.listModels(i)
	}
	return f
}

// listModels applies an engine's list entry.
func (f *modelFleet) listModels(i int) {
	type model struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
	}
	e := f.engines[i]
	e.mu.Lock()
	versions := maps.Clone(e.versions)
	e.mu.Unlock()
	var models []model
	for name, v := range versions {
		models = append(models, model{name, v})
	}
	text, err := json.Marshal(models)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put("servers/"+e.id, entryAt(f.addresses[i], "models", string(text)))
}

// ask sends a request of a model and returns the status.
func (f *modelFleet) ask(model string) int {
	f.t.Helper()
	return f.callWith(map[string]string{"Citrontiller-Model": model, "Citrontiller-Token-Usage": "1460,80",
		"Citrontiller-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660"}).StatusCode
}

// Guards against one version for all models of an engine: once that of a model had risen, the
// answers to requests of another one made the engine look outdated, and the first model got no
// requests any more.
func TestModelsOfAnEngineHaveVersionsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	f := newModelFleet(t, 3)
	for range 6 {
		is.Equal(f.ask("alpha"), http.StatusOK)
		is.Equal(f.ask("beta"), http.StatusOK)
	}
	for i, e := range f.engines {
		e.load("beta", 2)
		f.listModels(i)
	}
	f.put(platform.TargetPrefix+"beta", `{"model":"beta","version":2}`)
	for range 6 {
		is.Equal(f.ask("alpha"), http.StatusOK)
	}
	time.Sleep(modelDeadline) // from now on older weights are of no use
	for range 6 {
		is.Equal(f.ask("beta"), http.StatusOK)
		is.Equal(f.ask("alpha"), http.StatusOK)
	}
	engines := f.process.gateway.Directory.Engines("beta")
	is.Equal(len(engines), 3)
	for _, e := range engines {
		is.Equal(e.WeightsVersion, int64(2))
	}
	for _, e := range f.process.gateway.Directory.Engines("alpha") {
		is.Equal(e.WeightsVersion, int64(1)) // the rollout of its next version needs it
	}
}

// Guards against prompts that are cached under the version of another model: what was cached for
// a model's older weights would be used on.
func TestCacheSaltFollowsVersionOfItsModel(t *testing.T) {
	is := is.New(t)
	f := newModelFleet(t, 1)
	e := f.engines[0]
	salts := func() map[string]string {
		for _, model := range []string{"alpha", "beta"} {
			is.Equal(f.ask(model), http.StatusOK)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		return maps.Clone(e.salts)
	}
	before := salts()
	e.load("beta", 2)
	f.listModels(0)
	after := salts()
	is.Equal(after["alpha"], before["alpha"])
	is.True(after["beta"] != before["beta"])
}
