package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a gateway process that is restarted when it exits.
type process struct {
	name, listenAddr, readyAddr, settingsPath, logPath string
	binary                                             string
	// faults are the unplanned faults of all its incarnations.
	faults  faultTimes
	mu      sync.Mutex
	cmd     *exec.Cmd
	now     *incarnation
	stopped bool
}

// incarnation is one run of a process. Incarnations share an address.
type incarnation struct {
	process *process
	// terminated is the time just after its first SIGTERM, zero before. The process's mu
	// guards it.
	terminated time.Time
	// late is whether it was stopped when SIGTERM came.
	late bool
	// graceEnded is whether it was sent SIGKILL at the end of its grace.
	graceEnded bool
}

// start starts a process and restarts it until its stop is called.
func (s *system) start(p *process) {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(p.binary, "gateway", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	i := &incarnation{process: p}
	p.cmd, p.now = cmd, i
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = log.Close()
		if status := cmd.ProcessState.ExitCode(); status > 0 {
			s.t.Errorf("gateway %s ended by itself with status %d", p.name, status)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopped {
			s.checkEnd(i, cmd.ProcessState.Sys().(syscall.WaitStatus))
			s.start(p)
		}
	}()
}

// incarnation returns the present incarnation.
func (p *process) incarnation() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// terminatedAt returns the time of the incarnation's first SIGTERM, zero before.
func (i *incarnation) terminatedAt() time.Time {
	i.process.mu.Lock()
	defer i.process.mu.Unlock()
	return i.terminated
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

// terminate sends SIGTERM, and SIGKILL at the end of the grace, as the operator does. The
// process notices a first SIGTERM only after noticeAfter. This delay stands for a busy host,
// so it isn't an unplanned fault.
func (p *process) terminate(noticeAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.now.terminated.IsZero()
	if first && noticeAfter > 0 {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(noticeAfter, func() { p.signal(syscall.SIGCONT) })
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	if first {
		i := p.now
		i.terminated, i.late = time.Now(), noticeAfter > 0
		time.AfterFunc(graceTime, i.killAtGraceEnd)
	}
}

// killAtGraceEnd kills an incarnation that still runs at the end of its grace.
func (i *incarnation) killAtGraceEnd() {
	i.process.mu.Lock()
	defer i.process.mu.Unlock()
	if !i.process.stopped && i.process.now == i {
		i.graceEnded = true
		_ = i.process.cmd.Process.Kill() // it may have exited
	}
}

// checkEnd checks that an incarnation ended by itself within its grace, unless it was paused
// when SIGTERM came or after it. The caller holds the process's mu.
func (s *system) checkEnd(i *incarnation, status syscall.WaitStatus) {
	if !i.graceEnded || status.Signal() != syscall.SIGKILL {
		return
	}
	if !i.late && !i.process.faults.since(i.terminated) {
		s.fail("gateway %s still ran at the end of its grace", i.process.name)
	}
	s.t.Log(i.process.name, "SIGTERM at", i.terminated.Format(logTime), "noticed late:", i.late, "killed at the end of its grace")
}

func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
}
