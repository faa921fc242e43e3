package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// wallRequests is the number of requests of each kind.
	wallRequests = 10
	// configApply is the time in which a configuration must be in force (config_apply_ms).
	configApply = 2500 * time.Millisecond
	// afterChange is the time from the change of the configuration until the next requests.
	afterChange = 6 * time.Second
)

// wallConfig is a configuration with its version and whether tenant alpha is dedicated.
const wallConfig = `{"version":%d,"routes":[{"name":"draft","host":"h","prefix":"/draft/","kind":"stream","timeout_ms":3000,"target_latency_ms":500,
"priority":0,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"llm","health_path":"/health","max_connections":610,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity":400000,"token_kv_bytes":18432,"link_mbps":370000,"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"alpha","api_keys":["key-alpha"],"priority":1,"dedicated":%v},{"name":"beta","api_keys":["key-beta"],"priority":1,"dedicated":false}]}`

// cachingEngine is a stand-in of a model engine that keeps the parts of prompts it has read, by
// cache salt, with the tenant whose request made them.
type cachingEngine struct {
	id     string
	record *record
	server *httptest.Server

	mu sync.Mutex
	// makers maps a salt and the parts up to one to the tenant that made this part.
	makers map[string]string
	// foreign counts, by tenant and maker, the requests that used another tenant's parts.
	foreign map[[2]string]int
}

func newCachingEngine(id string, r *record) *cachingEngine {
	e := &cachingEngine{id: id, record: r, makers: map[string]string{}, foreign: map[[2]string]int{}}
	e.server = httptest.NewServer(e)
	return e
}

// entry returns the engine's entry in the store.
func (e *cachingEngine) entry() any {
	return map[string]any{"service": "llm", "address": e.server.Listener.Addr().String(), "zone": "zone-e", "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}},
		"sequence": 1, "born": bornMs}
}

// ServeHTTP answers requests and reports. No weights are named, so there are no orders.
func (e *cachingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // it isn't needed
	w.Header().Set("Citrontiller-Request-Id", r.Header.Get("Citrontiller-Request-Id"))
	if r.Header.Get("Citrontiller-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "colocated", "busy": false, "sequence": 0,
			"models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}}) // the caller may have left
		return
	}
	e.read(r)
	w.Header().Set("Citrontiller-Server-Stamp", e.id+".1")
	w.Header().Set("Citrontiller-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n") // the caller may have left
}

// read finds the parts of a prompt in the cache as long as all parts before are there, and adds
// the others.
func (e *cachingEngine) read(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tenant, salt := r.Header.Get("Citrontiller-Tenant-Id"), r.Header.Get("Citrontiller-Cache-Salt")
	key, hit := salt, true
	var used []string
	others := map[string]bool{}
	for part := range strings.SplitSeq(r.Header.Get("Citrontiller-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		key += "/" + id
		maker, cached := e.makers[key]
		hit = hit && cached
		if !hit {
			e.makers[key] = tenant
			continue
		}
		used = append(used, id+" made by "+maker)
		if maker != tenant {
			others[maker] = true
		}
	}
	for maker := range others {
		e.foreign[[2]string{tenant, maker}]++
	}
	e.record.add("%s runs request %s of %s, salt %.8s, from the cache: %s", e.id, r.Header.Get("Citrontiller-Request-Id"), tenant, salt, strings.Join(used, ", "))
}

// playWall has tenant alpha read documents. With trouble, alpha is then made dedicated. Later, tenant
// beta asks about the same documents.
func playWall(r *record, trouble bool) (bool, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // it is temporary
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	defer server.CloseClientConnections()
	store.Put("op/config", rawJSON(fmt.Sprintf(wallConfig, 1, false)))
	var engines []*cachingEngine
	for i := range 3 {
		e := newCachingEngine("i-"+strconv.Itoa(i), r)
		defer e.server.Close()
		defer e.server.CloseClientConnections()
		engines = append(engines, e)
		store.Put("servers/"+e.id, e.entry())
	}
	var gateways []*gateway
	for _, name := range []string{"a", "b"} {
		g, err := newGateway(folder, name, server.Listener.Addr().String(), "config_apply_ms: 2500")
		if err != nil {
			return false, err
		}
		if err := g.start(); err != nil {
			return false, err
		}
		defer g.stop()
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	if err := ask(r, gateways, "alpha"); err != nil {
		return false, err
	}
	if trouble {
		r.add("the operator makes alpha dedicated; in force within %v", configApply)
		store.Put("op/config", rawJSON(fmt.Sprintf(wallConfig, 2, true)))
	}
	time.Sleep(afterChange)
	if err := ask(r, gateways, "beta"); err != nil {
		return false, err
	}
	return checkWall(r, engines, map[string]bool{"alpha": trouble}), nil
}

// checkWall reports whether a request used parts of another tenant's although one of the two is
// dedicated.
func checkWall(r *record, engines []*cachingEngine, dedicated map[string]bool) bool {
	broken := false
	for _, e := range engines {
		for pair, n := range e.foreign {
			if dedicated[pair[0]] || dedicated[pair[1]] {
				r.add("WALL broken: %d requests of %s at %s used parts that a request of %s made", n, pair[0], e.id, pair[1])
				broken = true
			}
		}
	}
	return broken
}

// ask sends requests of a tenant about a document each. All share the first part.
func ask(r *record, gateways []*gateway, tenant string) error {
	client := &http.Client{Timeout: 4 * time.Second}
	for i := range wallRequests {
		g := gateways[i%len(gateways)]
		req, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/draft/x", strings.NewReader("x"))
		if err != nil {
			return err
		}
		req.Host = "h"
		for name, value := range map[string]string{"Request-Id": fmt.Sprintf("%s-%d", tenant, i), "Model": model, "Token-Usage": "2100,20", "Deadline-Ms": "3000",
			"Prompt-Prefix": fmt.Sprintf("5c1e:800,d0c%d:1200,%x%d:100", i, tenant, i), "Credential": "key-" + tenant} {
			req.Header.Set("Citrontiller-"+name, value)
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // it was read
		if err != nil {
			return err
		}
		r.add("request %s-%d through %s is answered %d", tenant, i, g.name, resp.StatusCode)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("request %s-%d was answered %d", tenant, i, resp.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
