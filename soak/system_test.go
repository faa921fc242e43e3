package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citrontiller/citrontiller/internal/testaddr"
	"github.com/citrontiller/citrontiller/platform/platformtest"
)

// endpoint is a stand-in of an endpoint behind a proxy.
type endpoint struct {
	*platformtest.Endpoint
	proxy *proxy
	// faults are the unplanned faults of the endpoint and its connections.
	faults faultTimes
	// boot counts its incarnations. Only the goroutine that injects faults and those that
	// remove them use it.
	boot atomic.Int64
}

// restart lists a new incarnation of an endpoint, which announces nothing.
func (s *system) restart(e *endpoint) {
	e.Announce(platformtest.Announcement{})
	e.boot.Add(1)
	s.list(e)
}

// list stores the list entry of an endpoint.
func (s *system) list(e *endpoint) {
	s.store.Put("servers/"+e.ID, map[string]any{"service": "s", "address": e.proxy.Addr().String(), "zone": "z", "version": "1", "slots": endpointSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": e.boot.Load()})
}

// endpointSlots is the number of requests that an endpoint runs at once. It leaves room for
// short requests beside the long ones.
const endpointSlots = 64

// system is the gateways under test with the stand-ins and proxies around them.
type system struct {
	t            *testing.T
	rng          *rand.Rand
	store        *platformtest.Store
	storeProxies []*proxy
	endpoints    []*endpoint
	processes    []*process
	runs         *platformtest.Runs
	// refused holds the ids of the requests that were answered 503.
	refused sync.Map
	// restore returns the store to an earlier state. Only the goroutine that injects faults
	// uses it.
	restore func()
	// version is that of the newest configuration.
	version atomic.Int64
	// ranLate counts the requests that ran and were sent later than lateTime after SIGTERM.
	ranLate  atomic.Int64
	failures atomic.Int64
	// settling is whether the faults are over and the long requests cancelled.
	settling atomic.Bool
	// limited are the runs of the account with a limit, overLimit counts its refusals.
	limited   limitedRuns
	overLimit atomic.Int64
	served    atomic.Int64
}

func (s *system) fail(format string, args ...any) {
	s.failures.Add(1)
	s.t.Errorf(format, args...)
}

// endpoint returns an endpoint by its id.
func (s *system) endpoint(id string) *endpoint {
	for _, e := range s.endpoints {
		if e.ID == id {
			return e
		}
	}
	panic("no endpoint " + id) // only endpoints of the system run requests
}

// longTimeout is the timeout of route long, timeouts are those of all routes of configText.
const longTimeout = 20 * time.Second

var timeouts = map[string]time.Duration{"book": 1500 * time.Millisecond, "read": 1500 * time.Millisecond, "stream": 2 * time.Second, "long": longTimeout}

// configText is the gateways' configuration, a format with its version, with the version in one
// of its credentials, and with whether each of the sharing accounts is dedicated.
const configText = `{"version":%d,"routes":[
 {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"long-book","host":"h","prefix":"/book/long/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":3},
 {"name":"long","host":"h","prefix":"/stream/lasts/","kind":"stream","timeout_ms":20000,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","timeout_ms":2000,"target_latency_ms":200,"service":"s","max_attempts":2,"resumable":true}],
 "services":[{"name":"s"}],"limits":{"max_body_bytes":16777216},"tenants":[{"name":"t","api_keys":["key","key-%d"]},{"name":"limited","api_keys":["limited"],"rate_per_s":20,"burst":20},
 {"name":"north","api_keys":["north"],"dedicated":%t},{"name":"south","api_keys":["south"],"dedicated":%t}]}`

// putConfig stores a configuration, as the operator does.
func (s *system) putConfig(version int64) {
	s.version.Store(version)
	s.store.Put("op/config", rawJSON(fmt.Sprintf(configText, version, version, isDedicated("north", version), isDedicated("south", version))))
}

// rewrite stores what the operator and the endpoints had written, as they do after the
// store was restored from an older copy.
func (s *system) rewrite() {
	s.putConfig(s.version.Load())
	for _, e := range s.endpoints {
		s.list(e)
	}
}

// checkCredentials checks that the newest configuration is in force at every gateway: it
// accepts that configuration's credential and none of an earlier one.
func (s *system) checkCredentials() {
	newest := s.version.Load()
	for _, p := range s.processes {
		for _, version := range []int64{newest, newest - 1} {
			req, err := http.NewRequest(http.MethodGet, "http://"+p.listenAddr+"/read/x", nil)
			if err != nil {
				s.t.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Citrontiller-Request-Id", fmt.Sprint("check-", p.name, version))
			req.Header.Set("Citrontiller-Credential", fmt.Sprint("key-", version))
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				s.fail("gateway %s doesn't answer after the faults: %v", p.name, err)
				continue
			}
			_ = resp.Body.Close()
			if refused := resp.StatusCode == http.StatusUnauthorized; refused != (version != newest) {
				s.fail("gateway %s answers %d to the credential of version %d, the newest is %d", p.name, resp.StatusCode, version, newest)
			}
		}
	}
}

// rawJSON is JSON text that is marshalled unchanged.
type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// newSystem starts a number of gateways with a limit of memory in MB.
func newSystem(t *testing.T, binary string, seed, gateways, memoryMB int) *system {
	s := &system{t: t, rng: rand.New(rand.NewPCG(uint64(seed), 1)), store: platformtest.NewStore(), runs: &platformtest.Runs{}}
	store := httptest.NewServer(s.store)
	t.Cleanup(store.Close)
	s.putConfig(1)
	for i := range endpoints {
		e := &endpoint{Endpoint: &platformtest.Endpoint{ID: fmt.Sprintf("i-%d", i), Runs: s.runs, RefuseProbability: 0.05, BreakProbability: 0.03}}
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		e.proxy = newProxy(t, srv.Listener.Addr().String())
		s.endpoints = append(s.endpoints, e)
		s.restart(e)
	}
	dir := t.TempDir()
	for i := range gateways {
		storeProxy := newProxy(t, store.Listener.Addr().String())
		s.storeProxies = append(s.storeProxies, storeProxy)
		p := &process{name: fmt.Sprintf("g%d", i), listenAddr: testaddr.Reserve(t), readyAddr: testaddr.Reserve(t), binary: binary}
		p.settingsPath, p.logPath = filepath.Join(dir, p.name+".yaml"), filepath.Join(dir, p.name+".log")
		text := fmt.Sprintf("node: %s\nip: 127.0.0.1\nzone: z\nregion: r\nzones: {z: r}\nlisten: {front: %q, ready: %q, control: %q}\n"+
			"limits: {memory_mb: %d}\nbounds: {grace_s: %d, version_ms: 12000, retry_budget_ratio: 0.2, quota_slack: %d}\nplatform: {address: %q}\n",
			p.name, p.listenAddr, p.readyAddr, testaddr.Reserve(t), memoryMB, int(graceTime.Seconds()), quotaSlack, storeProxy.Addr())
		if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.processes = append(s.processes, p)
		s.restore = s.store.Snapshot()
		s.start(p)
		t.Cleanup(p.stop)
	}
	return s
}
