package main

import (
	"context"
	"encoding/json"
	"errors"
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

// errNotRun means that a case could not run to its end.
var errNotRun = errors.New("the case could not run")

// record writes what happens to a file, a line each, with the time since its start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: io.MultiWriter(f, os.Stdout), start: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// system is the gateways of a case with the stand-ins around them.
type system struct {
	*record
	dir      string
	store    *platformtest.Store
	gateways []*gatewayProcess
	servers  []*http.Server
	// guards hold the ports of the gateways.
	guards []net.Listener
}

// newSystem starts the store.
func newSystem(r *record) (*system, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	return &system{record: r, dir: dir, store: platformtest.NewStore()}, nil
}

// listen serves a handler at a free loopback address.
func (s *system) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

const (
	// firstPort and lastPort bound the ports of gateways. They are below the range from which the
	// operating system takes the ports of outgoing connections.
	firstPort, lastPort = 12_000, 32_000
	// guardIP is the loopback address at which a port is bound until the case ends, so that other
	// cases don't take it.
	guardIP = "127.0.0.9"
)

// freeAddress returns a loopback address whose port is free.
func (s *system) freeAddress() (string, error) {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s:%d", guardIP, port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		s.guards = append(s.guards, guard)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return address, l.Close()
	}
}

// settingsText is a gateway's settings file: the bounds and limits are those of the sheet of
// sites/zgm-router.toml.
const settingsText = `node: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: %q
region: "amman"
zones: {amman-a: "amman", amman-b: "amman"}
listen: {front: %q, ready: %q, control: %q}
first_start: true
limits: {cpu_share: 0.304, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
bounds: {contact_ms: 4000, drain_ms: 2500, grace_s: 8, config_apply_ms: 2500, retry_budget_ratio: 0.2, retry_slack: 52,
  recovery_s: 12, require_fence: true, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 12000, version_all_ms: 17000}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// addGateway writes the settings of a gateway.
func (s *system) addGateway(name, storeAddress string) (*gatewayProcess, error) {
	var addresses [3]string
	for i := range addresses {
		a, err := s.freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	g := &gatewayProcess{name: name, front: addresses[0], ready: addresses[1], settings: filepath.Join(s.dir, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, "amman-a", addresses[0], addresses[1], addresses[2], storeAddress)
	s.gateways = append(s.gateways, g)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts a gateway with the command of the deploy file.
func (s *system) start(g *gatewayProcess) error {
	log, err := os.OpenFile(filepath.Join(s.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/citrontiller", "gateway")
	cmd.Env = append(os.Environ(), "CITRONTILLER_BOOT="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	s.add("gateway %s starts, process %d", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		s.add("gateway %s has ended: %v", g.name, err)
		close(ended)
	}()
	return nil
}

// awaitReady waits until all gateways say that they are ready.
func (s *system) awaitReady(longest time.Duration) error {
	until := time.Now().Add(longest)
	for _, g := range s.gateways {
		for !isReady(g.ready) {
			if time.Now().After(until) {
				return fmt.Errorf("%w: gateway %s isn't ready", errNotRun, g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and servers of the case. The logs of the gateways stay if keep is
// set.
func (s *system) close() {
	for _, g := range s.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill() // it may have ended
			<-g.ended
		}
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	for _, l := range s.guards {
		_ = l.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.add("logs are in %s", s.dir)
	}
}

// putJSON stores JSON text, as the operator does.
func (s *system) putJSON(key, text string) {
	s.store.Put(key, json.RawMessage(text))
	s.add("operator or engine writes %s: %s", key, text)
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
