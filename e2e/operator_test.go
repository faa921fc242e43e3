package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/kv"
)

// inForceTimeout bounds the time until an accepted edit is in force everywhere.
const inForceTimeout = 19 * time.Second

// commandResult is the result of an operator command.
type commandResult struct {
	exit     int
	out, err string
}

// runOperator runs an operator command against the system.
func (s *system) runOperator(stdin string, args ...string) commandResult {
	cmd := exec.Command(filepath.Join(binDir, "citrontiller"), args...)
	cmd.Env = append(os.Environ(), "CITRONTILLER_KV="+s.KVAddress, "CITRONTILLER_AUTHOR=ana", "CITRONTILLER_ENTRIES="+strings.Join(s.operatorAddrs, ","))
	cmd.Stdin = strings.NewReader(stdin)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		s.t.Error(err)
	}
	return commandResult{cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// hasGeneration reports whether every entry and agent has a generation of the
// service.
func (s *system) hasGeneration(service string, generation int64) bool {
	var responses []struct{ Value entry.Status }
	if err := json.Unmarshal([]byte(s.runOperator("", "status", "--json").out), &responses); err != nil {
		s.t.Error(err)
	}
	for _, r := range responses {
		held := int64(0)
		for _, sv := range r.Value.Services {
			if sv.Service == service {
				held = sv.Generation
			}
		}
		if held != generation || len(r.Value.Agents) != len(s.agents) {
			return false
		}
		for _, g := range r.Value.Agents {
			if g.Generations[service] != generation {
				return false
			}
		}
	}
	return len(responses) == len(s.operatorAddrs)
}

// waitInForce waits until a generation is in force at every entry and agent, and
// returns the time it took.
func (s *system) waitInForce(service string, generation int64) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !s.hasGeneration(service, generation) {
		if time.Since(start) > inForceTimeout {
			s.t.Fatalf("generation %d of %s is not in force everywhere:\n%s", generation, service, s.runOperator("", "status").out)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against concurrent edits that overwrite each other, rejected edits that
// change something, wrong exit statuses, accepted edits that don't reach every
// entry and agent in time, and missing explanations of decisions.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	got := s.runOperator("", "service", "get", "llm")
	is.Equal(got.exit, 0)
	file := filepath.Join(t.TempDir(), "llm.json")
	is.NoErr(os.WriteFile(file, []byte(got.out), 0o600))

	// Each editor changes the same generation differently.
	const editors = 4
	exits := make([]int, editors)
	var wg sync.WaitGroup
	for i := range editors {
		wg.Go(func() {
			edit := strings.Replace(got.out, `"kind":`, fmt.Sprintf(`"budgets":{"retry_percent":%d},"kind":`, 20+i), 1)
			exits[i] = s.runOperator(edit, "service", "apply", "-").exit
		})
	}
	wg.Wait()
	accepted, refused := 0, 0
	for _, e := range exits {
		switch e {
		case 0:
			accepted++
		case 3:
			refused++
		}
	}
	is.Equal(accepted, 1)
	is.Equal(refused, editors-1)
	late := s.runOperator("", "service", "apply", file)
	is.Equal(late.exit, 3)
	is.True(strings.Contains(late.err, "budgets.retry_percent"))
	t.Logf("in force everywhere after %s", s.waitInForce("llm", 2))

	invalid := s.runOperator(`{"service":"llm","model":"m","budgets":{"retry_percent":101}}`, "service", "apply", "-")
	is.Equal(invalid.exit, 4)
	is.True(strings.Contains(invalid.err, "budgets.retry_percent: got 101, allowed: 0 to 100"))
	is.Equal(s.runOperator("", "service", "apply", "--base", "x", file).exit, 2)
	is.Equal(s.runOperator("", "service", "get", "none").exit, 1)

	s.KV.SetFaults(kv.Faults{SilentWatch: true})
	is.Equal(s.runOperator("", "service", "apply", "--base", "2", file).exit, 0)
	t.Logf("in force everywhere after %s with a silent watch", s.waitInForce("llm", 3))
	s.KV.SetFaults(kv.Faults{})
	is.Equal(strings.Count(s.runOperator("", "service", "history", "llm").out, "ana"), 2)

	req, err := http.NewRequest(http.MethodPost, "http://"+s.addrs[1]+"/v1/chat/completions", strings.NewReader(chatBody("why", 3)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := s.client.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	why := s.runOperator("", "explain", resp.Header.Get("X-Request-Id"))
	is.Equal(why.exit, 0)
	is.True(strings.Contains(why.out, "chosen "+resp.Header.Get("X-Citrontiller-Endpoint")+" "))
	is.True(strings.Contains(why.out, "engine-0") && strings.Contains(why.out, "engine-1"))

	s.entries[0].kill()
	lost := s.runOperator("", "status")
	is.Equal(lost.exit, 1)
	is.True(strings.Contains(lost.out, "no answer"))
}
