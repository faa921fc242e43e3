// Package soak runs real gateways as processes, injects faults from outside and
// checks the promises that callers and endpoints can see.
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

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

var (
	seeds    = flag.Int("seeds", 2, "number of seeds")
	first    = flag.Int("first", 1, "first seed")
	duration = flag.Duration("time", 4*time.Second, "time with faults of each seed")
	gateways = flag.Int("gateways", 3, "number of gateway processes")
)

const (
	endpoints = 4
	callers   = 12
	// settle is the time after the last fault within which requests are served again.
	settle = 6 * time.Second
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
)

// proxy is a loopback proxy that cuts, delays and silences connections.
type proxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	conns  map[net.Conn]bool
	delay  atomic.Int64
	silent atomic.Bool
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
		go p.pass(in, out)
		go p.pass(out, in)
	}
}

// pass copies one direction until either side ends.
func (p *proxy) pass(from, to net.Conn) {
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
			for p.silent.Load() {
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

// reset breaks all connections.
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

// process is a gateway that is started again when it ends.
type process struct {
	name, callers, ready, settings, log string
	binary                              string
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	stopped                             bool
}

// start starts the process and restarts it until stop is called.
func (p *process) start(t *testing.T) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(p.binary, "gateway", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.cmd = cmd
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		_ = log.Close()
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
	_ = p.cmd.Process.Signal(s) // it may just have ended
}

func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
}

// world is the system under test with its surroundings.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	store     *platformtest.Store
	storeWays []*proxy
	ways      []*proxy
	processes []*process
	runs      *platformtest.Runs
	failures  atomic.Int64
	served    atomic.Int64
	last      atomic.Int64
}

func (w *world) fail(format string, args ...any) {
	w.failures.Add(1)
	w.t.Errorf(format, args...)
}

const configText = `{"version":%d,"routes":[
 {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":2},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":200,"service":"s","max_attempts":3},
 {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","timeout_ms":2000,"target_latency_ms":200,"service":"s","max_attempts":2,"resumable":true}],
 "services":[{"name":"s"}],"limits":{"max_body_bytes":100000},"tenants":[{"name":"t","api_keys":["key"]}]}`

// raw is text that is JSON already.
type raw string

func (r raw) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func newWorld(t *testing.T, binary string, seed int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(uint64(seed), 1)), store: platformtest.NewStore(), runs: &platformtest.Runs{}}
	store := httptest.NewServer(w.store)
	t.Cleanup(store.Close)
	w.store.Put("op/config", raw(fmt.Sprintf(configText, 1)))
	for i := range endpoints {
		id := fmt.Sprintf("i-%d", i)
		s := httptest.NewServer(&platformtest.Endpoint{ID: id, Runs: w.runs, RefuseProbability: 0.05, BreakProbability: 0.03})
		t.Cleanup(s.Close)
		way := newProxy(t, s.Listener.Addr().String())
		w.ways = append(w.ways, way)
		w.store.Put("servers/"+id, map[string]any{"service": "s", "address": way.Addr().String(), "zone": "z", "slots": 8,
			"state": "ready", "born": 1})
	}
	dir := t.TempDir()
	for i := range *gateways {
		way := newProxy(t, store.Listener.Addr().String())
		w.storeWays = append(w.storeWays, way)
		p := &process{name: fmt.Sprintf("g%d", i), callers: free(t), ready: free(t), binary: binary}
		p.settings, p.log = filepath.Join(dir, p.name+".yaml"), filepath.Join(dir, p.name+".log")
		text := fmt.Sprintf("node: %s\nip: 127.0.0.1\nzone: z\nregion: r\nzones: {z: r}\nlisten: {front: %q, ready: %q, control: %q}\n"+
			"limits: {memory_mb: 200}\nbounds: {grace_s: %d, version_ms: 12000, retry_budget_ratio: 0.2}\nplatform: {address: %q}\n",
			p.name, p.callers, p.ready, free(t), int(graceTime.Seconds()), way.Addr())
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.processes = append(w.processes, p)
		p.start(t)
		t.Cleanup(p.stop)
	}
	return w
}

// free returns an address that nobody listens on.
func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// call makes one request and checks what came of it.
func (w *world) call(client *http.Client, n int64, kind, address string) {
	id := fmt.Sprintf("r%d", n)
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+kind+"/x", strings.NewReader("b"))
	if err != nil {
		w.t.Fatal(err)
	}
	req.GetBody = nil // the caller repeats nothing by itself
	req.Host = "h"
	req.Header.Set("Citrontiller-Request-Id", id)
	req.Header.Set("Citrontiller-Credential", "key")
	req.Header.Set("Citrontiller-Deadline-Ms", "2500")
	resp, err := client.Do(req)
	if err == nil {
		w.check(id, kind, resp)
	}
	if kind == "book" && w.runs.Count(id) > 1 {
		w.fail("%s: a request that may run once has run %d times", id, w.runs.Count(id))
	}
}

// check compares an answer with what the endpoints did.
func (w *world) check(id, kind string, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && kind == "book" && w.runs.Count(id) > 0:
		w.fail("%s: refused as not run, and has run", id)
	case resp.StatusCode/100 == 4:
		w.fail("%s: %s for a proper request", id, resp.Status)
	case resp.StatusCode != http.StatusOK || err != nil:
		return // an error promises nothing
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
		w.fail("%s: got %q, want %q", id, body, want)
	}
	w.served.Add(1)
	w.last.Store(time.Now().UnixNano())
}

// load calls the gateways until ctx ends, over connections that are kept.
func (w *world) load(ctx context.Context, next *atomic.Int64, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	kinds := []string{"book", "read", "stream"}
	for ctx.Err() == nil {
		p := w.processes[rng.IntN(len(w.processes))]
		w.call(client, next.Add(1), kinds[rng.IntN(len(kinds))], p.callers)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// fault injects one fault for a while and returns what it was.
func (w *world) fault(version int) string {
	p := w.processes[w.rng.IntN(len(w.processes))]
	store := w.storeWays[w.rng.IntN(len(w.storeWays))]
	way := w.ways[w.rng.IntN(len(w.ways))]
	length := time.Duration(200+w.rng.IntN(1500)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(length, f) }
	switch w.rng.IntN(9) {
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
		store.silent.Store(true)
		later(func() { store.silent.Store(false) })
		return "silence a way to the store"
	case 4:
		way.silent.Store(true)
		later(func() { way.silent.Store(false); way.reset() })
		return "silence an endpoint"
	case 5:
		way.reset()
		store.reset()
		return "reset"
	case 6:
		way.delay.Store(int64(100 * time.Millisecond))
		later(func() { way.delay.Store(0) })
		return "delay an endpoint"
	case 7:
		w.store.SetDown(true)
		later(func() { w.store.SetDown(false) })
		return "store down"
	default:
		w.store.Put("op/config", raw(fmt.Sprintf(configText, version)))
		p.signal(syscall.SIGHUP)
		return "new configuration, SIGHUP " + p.name
	}
}

// play runs one seed.
func play(t *testing.T, binary string, seed int) {
	is := is.New(t)
	w := newWorld(t, binary, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var next atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(i)+2))
		wg.Go(func() { w.load(ctx, &next, rng) })
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		t.Log(time.Now().Format("05.000"), w.fault(int(next.Load())+2))
		time.Sleep(time.Duration(100+w.rng.IntN(500)) * time.Millisecond)
	}
	time.Sleep(settle)
	before := w.served.Load()
	time.Sleep(time.Second)
	after := w.served.Load()
	cancel()
	wg.Wait()
	t.Logf("seed %d: %d requests, %d served, %d in the last second", seed, next.Load(), after, after-before)
	is.True(after-before > 50) // served again after the faults
	is.Equal(w.failures.Load(), int64(0))
	if t.Failed() {
		w.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed seed next to the test's output.
func (w *world) keepLogs(seed int) {
	for _, p := range w.processes {
		text, err := os.ReadFile(p.log)
		if err == nil {
			name := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s.log", seed, p.name))
			err = os.WriteFile(name, text, 0o600)
			w.t.Log("log kept:", name)
		}
		if err != nil {
			w.t.Log("log not kept:", err)
		}
	}
}

// regressions are seeds that have failed, each with its cause.
var regressions = []int{}

// Guards the promises to callers and endpoints under faults that overlap.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citrontiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/citrontiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { play(t, binary, seed) })
	}
	for i := range *seeds {
		seed := *first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); play(t, binary, seed) })
	}
}
