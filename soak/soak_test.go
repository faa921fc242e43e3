// Package soak runs gateways as separate processes under load, injects random
// faults from outside and checks the guarantees that callers and endpoints can
// observe. A seed determines the faults and the requests; their timing and the
// failures of the endpoints vary between runs.
//
//	go test ./soak -run Soak -seeds 50 -time 6s -first 1
package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/internal/testaddr"
	"github.com/citrontiller/citrontiller/platform/platformtest"
)

var (
	seeds    = flag.Int("seeds", 2, "number of seeds")
	first    = flag.Int("first", 1, "first seed")
	duration = flag.Duration("time", 4*time.Second, "duration of fault injection per seed")
	gateways = flag.Int("gateways", 3, "number of gateway processes")
)

const (
	endpoints = 4
	callers   = 12
	// settleTime is the time after the last fault within which requests must be
	// served again.
	settleTime = 6 * time.Second
	// graceTime is the gateways' grace_s setting, the time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
	// soakMemoryMB is the gateways' memory_mb setting.
	soakMemoryMB = 200
)

// proxy is a loopback TCP proxy that can reset, delay and stall its connections.
type proxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	conns  map[net.Conn]bool
	// delay is the delay of each forwarded read, as a time.Duration.
	delay atomic.Int64
	// stalled holds back all data; connections stay open.
	stalled atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	go p.run()
	return p
}

func (p *proxy) run() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(in, out)
		go p.forward(out, in)
	}
}

// forward copies data in one direction until either connection closes.
func (p *proxy) forward(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			for p.stalled.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// process is a gateway process that is restarted when it exits.
type process struct {
	name, listenAddr, readyAddr, settingsPath, logPath string
	binary                                             string
	mu                                                 sync.Mutex
	cmd                                                *exec.Cmd
	stopped                                            bool
}

// start starts the process and restarts it until stop is called.
func (p *process) start(t *testing.T) {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(p.binary, "gateway", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.cmd = cmd
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = log.Close()
		if status := cmd.ProcessState.ExitCode(); status > 0 {
			t.Errorf("gateway %s ended by itself with status %d", p.name, status)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopped {
			p.start(t)
		}
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
}

// endpoint is a stand-in of an endpoint behind a proxy.
type endpoint struct {
	*platformtest.Endpoint
	proxy *proxy
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
	s.store.Put("servers/"+e.ID, map[string]any{"service": "s", "address": e.proxy.Addr().String(), "zone": "z", "slots": 8,
		"state": "ready", "born": e.boot.Load()})
}

// system is the gateways under test with the stand-ins and proxies around them.
type system struct {
	t            *testing.T
	rng          *rand.Rand
	store        *platformtest.Store
	storeProxies []*proxy
	endpoints    []*endpoint
	processes    []*process
	runs         *platformtest.Runs
	// restore returns the store to an earlier state. Only the goroutine that injects faults
	// uses it.
	restore func()
	// version is that of the newest configuration.
	version  atomic.Int64
	failures atomic.Int64
	served   atomic.Int64
	// lastServed is the time of the last complete response in Unix nanoseconds.
	lastServed atomic.Int64
}

func (s *system) fail(format string, args ...any) {
	s.failures.Add(1)
	s.t.Errorf(format, args...)
}

// configText is the gateways' configuration, a format with its version and with the version
// in one of its credentials.
const configText = `{"version":%d,"routes":[
 {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"long-book","host":"h","prefix":"/book/long/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":3},
 {"name":"long","host":"h","prefix":"/stream/lasts/","kind":"stream","timeout_ms":20000,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","timeout_ms":2000,"target_latency_ms":200,"service":"s","max_attempts":2,"resumable":true}],
 "services":[{"name":"s"}],"limits":{"max_body_bytes":100000},"tenants":[{"name":"t","api_keys":["key","key-%d"]}]}`

// putConfig stores a configuration, as the operator does.
func (s *system) putConfig(version int64) {
	s.version.Store(version)
	s.store.Put("op/config", rawJSON(fmt.Sprintf(configText, version, version)))
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
			"limits: {memory_mb: %d}\nbounds: {grace_s: %d, version_ms: 12000, retry_budget_ratio: 0.2}\nplatform: {address: %q}\n",
			p.name, p.listenAddr, p.readyAddr, testaddr.Reserve(t), memoryMB, int(graceTime.Seconds()), storeProxy.Addr())
		if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.processes = append(s.processes, p)
		s.restore = s.store.Snapshot()
		p.start(t)
		t.Cleanup(p.stop)
	}
	return s
}

// call sends one request and checks the response and the number of runs.
func (s *system) call(client *http.Client, n int64, kind, address string) {
	id := fmt.Sprintf("r%d", n)
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+kind+"/x", strings.NewReader("b"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.GetBody = nil // keeps the HTTP client from retrying
	req.Host = "h"
	req.Header.Set("Citrontiller-Request-Id", id)
	req.Header.Set("Citrontiller-Credential", "key")
	req.Header.Set("Citrontiller-Deadline-Ms", "2500")
	resp, err := client.Do(req)
	if err == nil {
		s.checkResponse(id, kind, resp)
	}
	if kind == "book" && s.runs.Count(id) > 1 {
		s.fail("%s: non-idempotent request ran %d times", id, s.runs.Count(id))
	}
}

// checkResponse compares a response with the runs that the endpoints counted.
func (s *system) checkResponse(id, kind string, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && kind == "book" && s.runs.Count(id) > 0:
		s.fail("%s: response reports that the request did not run, but it ran", id)
	case resp.StatusCode/100 == 4:
		s.fail("%s: status %s for a valid request", id, resp.Status)
	case resp.StatusCode != http.StatusOK || err != nil:
		return // an error response guarantees nothing
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	want := platformtest.ResponseBody(id)
	if kind == "stream" {
		want = ""
		for i := 1; i <= platformtest.StreamEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
		}
	}
	if string(body) != want || resp.Header.Get("Citrontiller-Request-Id") != id {
		s.fail("%s: got %q, want %q", id, body, want)
	}
	s.served.Add(1)
	s.lastServed.Store(time.Now().UnixNano())
}

// sendRequests sends random requests to random gateways over keep-alive
// connections until ctx ends.
func (s *system) sendRequests(ctx context.Context, next *atomic.Int64, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	kinds := []string{"book", "read", "stream"}
	for ctx.Err() == nil {
		p := s.processes[rng.IntN(len(s.processes))]
		s.call(client, next.Add(1), kinds[rng.IntN(len(kinds))], p.listenAddr)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// injectFault injects a random fault, which it removes after a random time, and
// returns a description.
func (s *system) injectFault(version int64) string {
	p := s.processes[s.rng.IntN(len(s.processes))]
	storeProxy := s.storeProxies[s.rng.IntN(len(s.storeProxies))]
	e := s.endpoints[s.rng.IntN(len(s.endpoints))]
	endpointProxy := e.proxy
	length := time.Duration(200+s.rng.IntN(1500)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(length, f) }
	switch s.rng.IntN(15) {
	case 0:
		p.signal(syscall.SIGKILL)
		return "kill " + p.name
	case 1:
		p.signal(syscall.SIGTERM)
		return "terminate " + p.name
	case 2:
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
		return "pause " + p.name
	case 3:
		storeProxy.stalled.Store(true)
		later(func() { storeProxy.stalled.Store(false) })
		return "stall the store connections of a gateway"
	case 4:
		endpointProxy.stalled.Store(true)
		later(func() { endpointProxy.stalled.Store(false); endpointProxy.reset() })
		return "stall the connections to an endpoint"
	case 5:
		endpointProxy.reset()
		storeProxy.reset()
		return "reset the connections to an endpoint and those of a gateway to the store"
	case 6:
		endpointProxy.delay.Store(int64(100 * time.Millisecond))
		later(func() { endpointProxy.delay.Store(0) })
		return "delay the connections to an endpoint"
	case 7:
		s.store.SetDown(true)
		later(func() { s.store.SetDown(false) })
		return "store down"
	case 8:
		e.Announce(platformtest.Announcement{Leaving: true})
		later(func() { s.restart(e) })
		return e.ID + " announces leaving, then restarts"
	case 9:
		e.Announce(platformtest.Announcement{RateLimit: 0.5 + 5*s.rng.Float64()})
		later(func() { e.Announce(platformtest.Announcement{}) })
		return e.ID + " announces a rate limit"
	case 10:
		e.Announce(platformtest.Announcement{Pause: length})
		later(func() { e.Announce(platformtest.Announcement{}) })
		return e.ID + " asks for pauses"
	case 11:
		s.store.SetHanging(true)
		later(func() { s.store.SetHanging(false) })
		return "store hangs"
	case 12:
		restore := s.restore
		s.restore = s.store.Snapshot()
		restore()
		time.AfterFunc(length/4, s.rewrite)
		return "store returns to the state of the last such fault, or of the start"
	case 13:
		fault := platformtest.Fault(1 + s.rng.IntN(int(platformtest.Faults)-1))
		e.SetFault(fault)
		later(func() { e.SetFault(platformtest.NoFault) })
		return e.ID + " answers wrongly: " + fault.String()
	default:
		s.putConfig(version)
		p.signal(syscall.SIGHUP)
		return "new configuration, SIGHUP " + p.name
	}
}

// runSeed injects the faults of a seed under load and checks that requests are
// served again afterwards.
func runSeed(t *testing.T, binary string, seed int) {
	is := is.New(t)
	s := newSystem(t, binary, seed, *gateways, soakMemoryMB)
	t.Cleanup(func() {
		if t.Failed() {
			s.saveLogs(seed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var next atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(i)+2))
		wg.Go(func() { s.sendRequests(ctx, &next, rng) })
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		// The number of requests grows, so it serves as the configuration version.
		t.Log(time.Now().Format("05.000"), s.injectFault(next.Load()+2))
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	time.Sleep(settleTime)
	s.checkCredentials()
	before, arrivals := s.served.Load(), s.arrivals()
	time.Sleep(time.Second)
	after := s.served.Load()
	for i, n := range s.arrivals() {
		if n == arrivals[i] {
			s.fail("endpoint %s gets no requests after the faults", s.endpoints[i].ID)
		}
	}
	cancel()
	wg.Wait()
	for _, p := range s.processes {
		if peak := p.peakMemoryMB(t); peak >= soakMemoryMB {
			s.fail("gateway %s has taken %d MB of memory", p.name, peak)
		}
	}
	t.Logf("seed %d: %d requests, %d served, %d in the last second", seed, next.Load(), after, after-before)
	is.True(after-before > 50) // served again after the faults
	is.Equal(s.failures.Load(), int64(0))
}

// arrivals returns the number of requests that each endpoint has received.
func (s *system) arrivals() []int {
	out := make([]int, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, e.Arrivals())
	}
	return out
}

// saveLogs copies the gateways' logs of a failed seed to the temporary directory.
func (s *system) saveLogs(seed int) {
	for _, p := range s.processes {
		text, err := os.ReadFile(p.logPath)
		if err == nil {
			name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s.log", seed, p.name))
			err = os.WriteFile(name, text, 0o600)
			s.t.Log("log saved:", name)
		}
		if err != nil {
			s.t.Log("log not saved:", err)
		}
	}
}

// regressionSeeds are seeds that once failed, each with the cause in a comment.
var regressionSeeds = []int{}

// Guards against a non-idempotent request that runs twice, a false "not run", a
// wrong or mixed-up response, and gateways that stay unavailable, all under
// overlapping faults: kills, pauses, stalled and reset connections, store outages, stores
// that hang or return in an older state, configuration changes, and endpoints that announce that they leave, take few requests or
// want none, or answer without end or with a status that answers nothing; and against endpoints that are left out afterwards, and gateways in which an
// older configuration is in force.
func TestSoak(t *testing.T) {
	binary := buildGateway(t)
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
	for i := range *seeds {
		seed := *first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); runSeed(t, binary, seed) })
	}
}

// buildGateway builds the program and returns its path.
func buildGateway(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "citrontiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/citrontiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}
