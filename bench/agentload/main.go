// Command agentload measures citrontiller-agent under its share of the design
// size: 5 engines with 180,000 cached blocks and 3,400 cache events/s, 37
// requests/s and 9,000 tokens/s. The agent, the stand-in engines and the load
// generator are processes of their own, connected over loopback.
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

// The agent's share of the design size.
const (
	engines          = 5
	blocksPerEngine  = 36_000
	eventsPerSecond  = 3_400
	requestsPerSec   = 37
	tokensPerRequest = 243
	tokenGap         = 20 * time.Millisecond
	// clockTicks is the unit of CPU times in /proc, in ticks a second.
	clockTicks = 100
	// warmup is the time for filling the cache views.
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

func measure(s settings) error {
	eng := exec.Command(os.Args[0], "--engines", "--agent", s.Agent)
	out, err := eng.StdoutPipe()
	if err != nil {
		return err
	}
	if err := eng.Start(); err != nil {
		return err
	}
	defer func() { _ = eng.Process.Kill(); _ = eng.Wait() }()
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
	ag := exec.Command(s.Agent, append(args, "--listen", listen)...)
	ag.Stderr = os.Stderr
	if err := ag.Start(); err != nil {
		return err
	}
	defer func() { _ = ag.Process.Signal(syscall.SIGTERM); _ = ag.Wait() }()
	time.Sleep(warmup)
	pid := ag.Process.Pid
	phase("control", pid, s.Time, func() int { time.Sleep(s.Time); return 0 })
	load, err := newLoad(listen)
	if err != nil {
		return err
	}
	phase("requests", pid, s.Time, func() int { return load.run(s.Time) })
	fmt.Printf("requests=%d failed=%d\n", load.requests.Load(), load.failed.Load())
	return nil
}

// phase prints the agent's CPU and memory while f runs; f returns the tokens
// relayed.
func phase(name string, pid int, d time.Duration, f func() int) {
	before := cpu(pid)
	began := time.Now()
	tokens := f()
	took := time.Since(began)
	used := cpu(pid) - before
	fmt.Printf("phase=%s cpu_percent=%.2f rss_kb=%d peak_kb=%d tokens_per_s=%.0f", name, 100*used.Seconds()/took.Seconds(),
		status(pid, "VmRSS:"), status(pid, "VmHWM:"), float64(tokens)/took.Seconds())
	if tokens > 0 {
		fmt.Printf(" tokens_per_core_second=%.0f", float64(tokens)/used.Seconds())
	}
	fmt.Println()
}

// cpu returns the user and system time of a process.
func cpu(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// status returns a field of the process's status in kB.
func status(pid int, field string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
