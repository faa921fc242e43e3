// Package bench measures the entry and the agent as separate processes.
package bench

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

const (
	// engines and streams are the load on one agent, which by default runs 16
	// streams at once per engine.
	engines = 10
	streams = 120
	// tokenGap gives 200 tokens/s per stream, so that few streams suffice for a high
	// token rate.
	tokenGap = 5 * time.Millisecond
	// streamTokens is the number of tokens in one response.
	streamTokens = 400
	startTimeout = 20 * time.Second
)

// designTokensPerSecond is an entry's share of the peak load of the design:
// 3.7 million tokens/s over 10 entries.
const designTokensPerSecond = 370_000

// BenchmarkRelay relays streams and reports the tokens relayed per second of CPU
// time, and the peak memory, of the entry and of the agent. The engines, the
// platform and the callers run in the benchmark's process.
func BenchmarkRelay(b *testing.B) {
	dir := b.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	must(b, err)
	b.Cleanup(f.Close)
	agent := startAgent(b, f, dir)
	store, err := f.Store()
	must(b, err)
	_, err = store.Apply(b.Context(), fmt.Appendf(nil, `{"service":"llm","kind":"engine","model":"m","version":"v1","accounts":[{"name":"a","key_sha256":[%q]}]}`,
		fleet.KeyHash("secret")), 0, "bench")
	must(b, err)
	address := freeAddr(b)
	entry := launch(b, dir, "citrontiller", "entry", "--listen", address, "--kv", f.KVAddress, "--hosts", f.HostsAddress,
		"--region", "r1", "--failure-domain", "d1", "--drain-delay", "0s", "--log-level", "info")
	waitReady(b, address)

	b.ResetTimer()
	start := time.Now()
	tokens := relayStreams(b, address, int64(b.N))
	elapsed := time.Since(start)
	b.StopTimer()
	reportCPU(b, "entry", entry, tokens)
	reportCPU(b, "agent", agent, tokens)
	b.ReportMetric(float64(tokens)/elapsed.Seconds(), "tokens/s")
}

// relayStreams reads n responses, at most streams of them at once, and returns the
// number of their tokens.
func relayStreams(b *testing.B, address string, n int64) int64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	var started, tokens atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for i := started.Add(1); i <= n; i = started.Add(1) {
				got, err := readStream(client, address, i)
				if err != nil {
					b.Error(err)
					return
				}
				tokens.Add(got)
			}
		})
	}
	wg.Wait()
	return tokens.Load()
}

// readStream reads the response to request i and returns the number of its tokens.
func readStream(client *http.Client, address string, i int64) (int64, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, streamTokens, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	// The last two events are the chunk with the usage and [DONE].
	if n := int64(bytes.Count(got, []byte("data: "))) - 2; err != nil || resp.StatusCode != http.StatusOK || n != streamTokens {
		return 0, fmt.Errorf("response %d: status %d, %d tokens, error %v", i, resp.StatusCode, n, err)
	}
	return streamTokens, nil
}

// reportCPU stops a process and reports its peak memory, its tokens per second of
// CPU time and the cores it needs for designTokensPerSecond.
func reportCPU(b *testing.B, name string, cmd *exec.Cmd, tokens int64) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	cpu := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		b.ReportMetric(float64(u.Maxrss)/1024, name+"-peak-MiB")
	}
	perSecond := float64(tokens) / cpu.Seconds()
	b.ReportMetric(perSecond, name+"-tokens/core-s")
	b.ReportMetric(designTokensPerSecond/perSecond, name+"-cores@370k")
}

// startAgent starts the stand-in engines, and an agent that serves them.
func startAgent(b *testing.B, f *fleet.Fleet, dir string) *exec.Cmd {
	address := freeAddr(b)
	args := []string{"--listen", address}
	var hosts []infra.Host
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		a, err := f.StartEngine(engine.Options{ID: id, Model: "m", Version: "v1", TokenGap: tokenGap, Slots: streams})
		must(b, err)
		args = append(args, "--endpoint", id+",llm,engine,"+a)
		hosts = append(hosts, infra.Host{ID: id, Service: "llm", Kind: infra.Engine, Address: a, Agent: address, Region: "r1",
			FailureDomain: "d1", State: infra.Live})
	}
	f.Hosts.Set(hosts)
	return launch(b, dir, "citrontiller-agent", args...)
}

// launch starts a command that is killed at the end of the benchmark. Its standard
// error is printed if CITRONTILLER_BENCH_LOG is set.
func launch(b *testing.B, dir, name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(dir, name), args...)
	if os.Getenv("CITRONTILLER_BENCH_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	must(b, cmd.Start())
	b.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	return cmd
}

func waitReady(b *testing.B, address string) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			b.Fatalf("entry is not ready: %v", err)
		}
	}
}

func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	defer l.Close()
	return l.Addr().String()
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
