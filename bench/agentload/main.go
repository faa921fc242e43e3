// Command agentload measures the CPU time and memory of citrontiller-agent under
// one agent's share of the design load: 5 engines with 180,000 cached blocks and
// 3,400 cache events/s in total, 37 requests/s and 9,000 tokens/s. The agent, the
// stand-in engines and the load generator are separate processes, connected over
// loopback.
//
//	go build -o /tmp/citrontiller-agent ./cmd/citrontiller-agent
//	go run ./bench/agentload --agent /tmp/citrontiller-agent
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// The agent's share of the design load.
const (
	engines          = 5
	blocksPerEngine  = 36_000
	eventsPerSecond  = 3_400
	requestsPerSec   = 37
	tokensPerRequest = 243
	tokenGap         = 20 * time.Millisecond
	// clockTicks is the number of clock ticks per second, the unit of CPU times in
	// /proc.
	clockTicks = 100
	// warmup is the time for the agent to fill its views of the caches.
	warmup = 8 * time.Second
)

type settings struct {
	Agent   string        `arg:"--agent,required" help:"path of the citrontiller-agent binary"`
	Time    time.Duration `arg:"--time" default:"20s" help:"length of each phase"`
	Engines bool          `arg:"--engines" help:"run the stand-in engines; used by the program itself"`
}

func main() {
	var s settings
	arg.MustParse(&s)
	if s.Engines {
		serveEngines()
		return
	}
	if err := measure(s); err != nil {
		fmt.Fprintln(os.Stderr, "agentload:", err)
		os.Exit(1)
	}
}

// measure starts the engines and the agent and measures the agent, first with cache
// events and load reports alone and then with requests as well.
func measure(s settings) error {
	engineCmd := exec.Command(os.Args[0], "--engines", "--agent", s.Agent)
	out, err := engineCmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := engineCmd.Start(); err != nil {
		return err
	}
	defer func() { _ = engineCmd.Process.Kill(); _ = engineCmd.Wait() }()
	lines := bufio.NewScanner(out)
	args := []string{"--log-level", "warn", "--concurrency", "64"}
	for i := range engines {
		if !lines.Scan() {
			return fmt.Errorf("engine %d did not start", i)
		}
		args = append(args, "--endpoint", fmt.Sprintf("e%d,llm,engine,%s", i, lines.Text()))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listen := l.Addr().String()
	_ = l.Close()
	agentCmd := exec.Command(s.Agent, append(args, "--listen", listen)...)
	agentCmd.Stderr = os.Stderr
	if err := agentCmd.Start(); err != nil {
		return err
	}
	defer func() { _ = agentCmd.Process.Signal(syscall.SIGTERM); _ = agentCmd.Wait() }()
	time.Sleep(warmup)
	pid := agentCmd.Process.Pid
	measurePhase("control", pid, s.Time, func() int { time.Sleep(s.Time); return 0 })
	load, err := newLoadGenerator(listen)
	if err != nil {
		return err
	}
	measurePhase("requests", pid, s.Time, func() int { return load.run(s.Time) })
	fmt.Printf("requests=%d failed=%d\n", load.requests.Load(), load.failed.Load())
	return nil
}

// measurePhase prints the agent's CPU time and memory while f runs. f returns the
// number of tokens relayed.
func measurePhase(name string, pid int, d time.Duration, f func() int) {
	before := cpuTime(pid)
	start := time.Now()
	tokens := f()
	elapsed := time.Since(start)
	used := cpuTime(pid) - before
	fmt.Printf("phase=%s cpu_percent=%.2f rss_kb=%d peak_kb=%d tokens_per_s=%.0f", name, 100*used.Seconds()/elapsed.Seconds(),
		statusField(pid, "VmRSS:"), statusField(pid, "VmHWM:"), float64(tokens)/elapsed.Seconds())
	if tokens > 0 {
		fmt.Printf(" tokens_per_core_second=%.0f", float64(tokens)/used.Seconds())
	}
	fmt.Println()
}

// cpuTime returns the sum of the user and system time of a process.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// statusField returns a field of /proc/PID/status in kB, or 0 if it is absent.
func statusField(pid int, field string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
