// Package e2e tests the binaries as separate processes, with real signals.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

const key = "secret"

// binaries is the folder that TestMain builds the commands into.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "citrontiller-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// maxLogged is how much of a process's log a failed test shows, in bytes.
const maxLogged = 2 << 10

// process is a started binary.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	args []string
	done chan struct{}
	mu   sync.Mutex
	log  bytes.Buffer
}

func launch(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: append([]string{name}, args...)}
	p.start()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			out := p.output()
			t.Logf("%s:\n%s", name, out[max(0, len(out)-maxLogged):])
		}
	})
	return p
}

// start runs the binary, again with the same arguments after it has exited.
func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	pipe, err := p.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func(done chan struct{}, cmd *exec.Cmd) {
		defer close(done)
		lines := bufio.NewScanner(pipe)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.mu.Lock()
			fmt.Fprintln(&p.log, lines.Text())
			p.mu.Unlock()
		}
		_ = cmd.Wait()
	}(p.done, p.cmd)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exited waits for the process to end by itself.
func (p *process) exited(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// system is a set of processes with stand-ins in this one.
type system struct {
	*fleet.Fleet
	t       *testing.T
	agents  []*process
	entries []*process
	ports   []string
	// apis are the entries' operator APIs.
	apis   []string
	client *http.Client
	hosts  []infra.Host
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// boot starts two agents with an engine and a desk each, and two entries.
func boot(t *testing.T) *system {
	t.Helper()
	is := is.New(t)
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	is.NoErr(err)
	t.Cleanup(f.Close)
	s := &system{Fleet: f, t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range 2 {
		s.addAgent(i)
	}
	f.Hosts.Set(s.hosts)
	s.applyDocuments()
	for range 2 {
		port, api := freePort(t), freePort(t)
		s.ports, s.apis = append(s.ports, port), append(s.apis, api)
		s.entries = append(s.entries, launch(t, "citrontiller", "entry", "--listen", port, "--operator-listen", api, "--kv", f.KVAddress, "--hosts", f.HostsAddress,
			"--region", "r1", "--failure-domain", "d1", "--drain-delay", "500ms"))
	}
	s.waitReady(0, 1)
	return s
}

func (s *system) addAgent(i int) {
	s.t.Helper()
	is := is.New(s.t)
	eng, desk := fmt.Sprintf("engine-%d", i), fmt.Sprintf("desk-%d", i)
	o := engine.Options{ID: eng, Model: "m", Version: "v1", TokenGap: 10 * time.Millisecond}
	engineAddr, err := s.StartEngine(o)
	is.NoErr(err)
	deskAddr, err := s.StartPlain(desk)
	is.NoErr(err)
	port := freePort(s.t)
	s.agents = append(s.agents, launch(s.t, "citrontiller-agent", "--listen", port,
		"--endpoint", eng+",llm,engine,"+engineAddr, "--endpoint", desk+",desk,plain,"+deskAddr))
	host := infra.Host{Agent: port, Region: "r1", FailureDomain: fmt.Sprintf("d%d", i), State: infra.Live}
	for _, e := range []infra.Host{{ID: eng, Service: "llm", Kind: infra.Engine, Address: engineAddr},
		{ID: desk, Service: "desk", Kind: infra.Plain, Address: deskAddr}} {
		e.Agent, e.Region, e.FailureDomain, e.State = host.Agent, host.Region, host.FailureDomain, host.State
		s.hosts = append(s.hosts, e)
	}
}

func (s *system) applyDocuments() {
	s.t.Helper()
	is := is.New(s.t)
	store, err := s.Store()
	is.NoErr(err)
	account := fmt.Sprintf(`"accounts":[{"name":"a","key_sha256":[%q]}]`, fleet.KeyHash(key))
	for _, doc := range []string{
		`{"service":"llm","kind":"engine","model":"m","version":"v1",` + account + `}`,
		`{"service":"desk","kind":"plain","routes":[{"path":"/book"}],` + account + `}`,
	} {
		_, err := store.Apply(s.t.Context(), []byte(doc), 0, "test")
		is.NoErr(err)
	}
}

// waitReady waits until the entries answer that they are ready.
func (s *system) waitReady(entries ...int) {
	s.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for _, i := range entries {
		for {
			resp, err := s.client.Get("http://" + s.ports[i] + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("entry %d is not ready: %v", i, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	err    error
	// first is the time to the first byte of the body.
	first time.Duration
	total time.Duration
}

func (s *system) call(entry int, path, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.ports[entry]+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{err: err, total: time.Since(start)}
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	_, _ = r.Peek(1)
	out := reply{status: resp.StatusCode, first: time.Since(start)}
	b, err := io.ReadAll(r)
	out.body, out.err, out.total = string(b), err, time.Since(start)
	return out
}

func chat(question string, tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, question)
}

// whole reports whether a streamed reply is the engine's complete answer.
func whole(r reply, question string, tokens int) error {
	if r.err != nil || r.status != http.StatusOK {
		return fmt.Errorf("status %d, error %v, body %.200s", r.status, r.err, r.body)
	}
	text, done := fleet.StreamedText(r.body)
	want := engine.Answer(fmt.Sprintf("<user>%q", question), tokens)
	if !done || text != want {
		return fmt.Errorf("got %q (done %t), want %q", text, done, want)
	}
	return nil
}
