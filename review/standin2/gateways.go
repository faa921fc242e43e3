package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// startTimeout bounds the time until a gateway is ready.
	startTimeout = 10 * time.Second
)

// gateway is a gateway that runs as a process of its own.
type gateway struct {
	name, caller, ready, control string
	settings, log                string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// firstPort and lastPort bound the gateways' ports. The host gives none of them to connections.
const firstPort, lastPort = 12000, 30000

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// newGateway writes the settings of a gateway in a region of its own. bounds are further bounds.
func newGateway(folder, name, store, bounds string) (*gateway, error) {
	g := &gateway{name: name, settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log")}
	for _, a := range []*string{&g.caller, &g.ready, &g.control} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	text := fmt.Sprintf("node: %[1]s\nrole: gateway\nip: 127.0.0.1\nzone: zone-%[1]s\nregion: region-%[1]s\n"+
		"zones: {zone-%[1]s: region-%[1]s, zone-e: region-e}\nlisten: {front: %[2]q, ready: %[3]q, control: %[4]q}\nlimits: {memory_mb: 284}\n"+
		"bounds: {grace_s: 8, contact_ms: 5000, version_ms: 15000, retry_budget_ratio: 0.2, retry_slack: 80, %[5]s}\nplatform: {address: %[6]q}\n",
		name, g.caller, g.ready, g.control, bounds, store)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the gateway with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a process that was stopped by a signal returns an error
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// terminate sends SIGTERM and returns when the process has ended, by SIGKILL after the grace.
func (g *gateway) terminate() {
	g.signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(graceTime):
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
}

// stop ends the process at once.
func (g *gateway) stop() {
	if g.cmd != nil {
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // the process may have ended
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // it has no body
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s isn't ready", g.name)
}
