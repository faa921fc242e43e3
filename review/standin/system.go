package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

// gatewayCommand is the command of the deploy file.
var gatewayCommand = []string{"target/citrontiller", "gateway"}

// readyTimeout bounds the time in which gateways start.
const readyTimeout = 10 * time.Second

// system is the gateways with the store around them.
type system struct {
	// trouble is false if the disruption is left out.
	trouble bool
	store   *platformtest.Store
	// storeAddr is the address of the store.
	storeAddr string
	// bounds are settings under "bounds" that differ from the usual ones.
	bounds map[string]any
	dir    string
	began  time.Time

	mu       sync.Mutex
	out      io.Writer
	gateways []*gateway
}

// gateway is a gateway process.
type gateway struct {
	name, front, ready string
	cmd                *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newSystem(out io.Writer, trouble bool) (*system, error) {
	dir, err := os.MkdirTemp("", "citrontiller-review-")
	if err != nil {
		return nil, err
	}
	s := &system{trouble: trouble, store: platformtest.NewStore(), dir: dir, began: time.Now(), out: out, bounds: map[string]any{}}
	if s.storeAddr, err = serve(s.store); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	s.record("trouble: %v", trouble)
	return s, nil
}

// serve serves h on a free loopback port until the process ends and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

// record writes a line with the time since the start.
func (s *system) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// put stores a value as JSON, as the operator or an endpoint does.
func (s *system) put(key string, value any) {
	s.store.Put(key, value)
	text, _ := json.Marshal(value) // Put has encoded it
	s.record("store: %s = %s", key, text)
}

// Ports are taken from below the range from which the system takes those of outgoing
// connections, which could otherwise take a port before the gateway listens on it.
const firstPort, lastPort, portTries = 20000, 30000, 100

// freePort returns an address with a port that is free now.
func freePort() (string, error) {
	var err error
	for range portTries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			_ = l.Close() // nothing was accepted
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// start starts a gateway in a zone that is its own region. store is the address of the
// store, or of a proxy before it.
func (s *system) start(name, zone, store string) (*gateway, error) {
	g := &gateway{name: name, ended: make(chan struct{})}
	var control string
	for _, p := range []*string{&g.front, &g.ready, &control} {
		var err error
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	bounds := map[string]any{"contact_ms": 4000, "drain_ms": 2500, "grace_s": 8, "config_apply_ms": 2500, "retry_budget_ratio": 0.2,
		"retry_slack": 52, "require_fence": true, "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 12000, "version_all_ms": 17000}
	for k, v := range s.bounds {
		bounds[k] = v
	}
	// JSON is YAML.
	text, err := json.MarshalIndent(map[string]any{
		"node": name, "role": "gateway", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": "127.0.0.1", "zone": zone, "region": zone, "zones": map[string]string{zone: zone},
		"listen":       map[string]string{"front": g.front, "ready": g.ready, "control": control},
		"limits":       map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"heartbeat_ms": 1200, "bounds": bounds, "discovery": "platform", "entry": "vip",
		"platform": map[string]any{"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has its own descriptor
	g.cmd = exec.Command(gatewayCommand[0], gatewayCommand[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONTILLER_BOOT=" + path}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait() // a killed process returns an error
		close(g.ended)
	}()
	s.mu.Lock()
	s.gateways = append(s.gateways, g)
	s.mu.Unlock()
	s.record("start %s, callers at %s, store at %s", name, g.front, store)
	return g, nil
}

// awaitReady waits until a gateway says that it is ready.
func (s *system) awaitReady(g *gateway) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.record("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, readyTimeout)
}

// stop ends all processes and removes the temporary folder. KEEP_LOGS=1 keeps it.
func (s *system) stop() {
	for _, g := range s.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGCONT) // the process may have ended
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	if os.Getenv("KEEP_LOGS") == "1" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if the connection ended without a whole answer.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, then %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, stamp %q, text %.60q", a.status, len(a.body), a.header.Get("Citrontiller-Server-Stamp"), a.body)
}

// send sends one request on a kept connection of the client and reads the answer. It is
// never repeated.
func send(c *http.Client, req *http.Request) answer {
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

// newRequest returns a caller's request. Its body hides that it could be read again, so
// that the HTTP client can't repeat the request.
func newRequest(method, address, path, id, body string, deadline time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+address+path, struct{ io.Reader }{bytes.NewReader([]byte(body))})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = "shop.example"
	req.Header.Set("Citrontiller-Request-Id", id)
	req.Header.Set("Citrontiller-Credential", "key-1")
	req.Header.Set("Citrontiller-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return req, nil
}
