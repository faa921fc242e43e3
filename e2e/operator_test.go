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

// inForceWithin is the time in which an accepted edit is in force everywhere.
const inForceWithin = 19 * time.Second

// ended is a finished operator command.
type ended struct {
	exit     int
	out, err string
}

// operate runs an operator command against the system.
func (s *system) operate(stdin string, args ...string) ended {
	cmd := exec.Command(filepath.Join(binaries, "citrontiller"), args...)
	cmd.Env = append(os.Environ(), "CITRONTILLER_KV="+s.KVAddress, "CITRONTILLER_AUTHOR=ana", "CITRONTILLER_ENTRIES="+strings.Join(s.apis, ","))
	cmd.Stdin = strings.NewReader(stdin)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		s.t.Error(err)
	}
	return ended{cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// holds reports whether every entry and agent holds a generation of the service.
func (s *system) holds(service string, generation int64) bool {
	var answers []struct{ Value entry.Status }
	if err := json.Unmarshal([]byte(s.operate("", "status", "--json").out), &answers); err != nil {
		s.t.Error(err)
	}
	for _, a := range answers {
		held := int64(0)
		for _, sv := range a.Value.Services {
			if sv.Service == service {
				held = sv.Generation
			}
		}
		if held != generation || len(a.Value.Agents) != len(s.agents) {
			return false
		}
		for _, g := range a.Value.Agents {
			if g.Generations[service] != generation {
				return false
			}
		}
	}
	return len(answers) == len(s.apis)
}

// inForce waits until a generation is in force everywhere.
func (s *system) inForce(service string, generation int64) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !s.holds(service, generation) {
		if time.Since(start) > inForceWithin {
			s.t.Fatalf("generation %d of %s is not in force everywhere:\n%s", generation, service, s.operate("", "status").out)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against an edit that overwrites another, a refused one that changes
// anything, exit statuses that scripts can't rely on, and an accepted edit that
// some entry or agent doesn't obey in time.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	s := boot(t)
	got := s.operate("", "service", "get", "llm")
	is.Equal(got.exit, 0)
	file := filepath.Join(t.TempDir(), "llm.json")
	is.NoErr(os.WriteFile(file, []byte(got.out), 0o600))

	// Each edits the same generation in another way.
	const racers = 4
	exits := make([]int, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Go(func() {
			edit := strings.Replace(got.out, `"kind":`, fmt.Sprintf(`"budgets":{"retry_percent":%d},"kind":`, 20+i), 1)
			exits[i] = s.operate(edit, "service", "apply", "-").exit
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
	is.Equal(refused, racers-1)
	late := s.operate("", "service", "apply", file)
	is.Equal(late.exit, 3)
	is.True(strings.Contains(late.err, "budgets.retry_percent"))
	t.Logf("in force everywhere after %s", s.inForce("llm", 2))

	invalid := s.operate(`{"service":"llm","model":"m","budgets":{"retry_percent":101}}`, "service", "apply", "-")
	is.Equal(invalid.exit, 4)
	is.True(strings.Contains(invalid.err, "budgets.retry_percent: got 101, allowed: 0 to 100"))
	is.Equal(s.operate("", "service", "apply", "--base", "x", file).exit, 2)
	is.Equal(s.operate("", "service", "get", "none").exit, 1)

	s.KV.SetFaults(kv.Faults{SilentWatch: true})
	is.Equal(s.operate("", "service", "apply", "--base", "2", file).exit, 0)
	t.Logf("in force everywhere after %s with a silent watch", s.inForce("llm", 3))
	s.KV.SetFaults(kv.Faults{})
	is.Equal(strings.Count(s.operate("", "service", "history", "llm").out, "ana"), 2)

	req, err := http.NewRequest(http.MethodPost, "http://"+s.ports[1]+"/v1/chat/completions", strings.NewReader(chat("why", 3)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := s.client.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	why := s.operate("", "explain", resp.Header.Get("X-Request-Id"))
	is.Equal(why.exit, 0)
	is.True(strings.Contains(why.out, "chosen "+resp.Header.Get("X-Citrontiller-Endpoint")+" "))
	is.True(strings.Contains(why.out, "engine-0") && strings.Contains(why.out, "engine-1"))

	s.entries[0].kill()
	lost := s.operate("", "status")
	is.Equal(lost.exit, 1)
	is.True(strings.Contains(lost.out, "no answer"))
}
