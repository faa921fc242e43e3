package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/operator"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

type result struct {
	exit     int
	out, err string
}

func run(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var c operator.Commands
	p, err := arg.NewParser(arg.Config{Program: "citrontiller"}, &c)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(args); err != nil {
		return result{operator.ExitUsage, "", err.Error()}
	}
	var out, errs bytes.Buffer
	exit := c.Run(context.Background(), operator.Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return result{exit, out.String(), errs.String()}
}

// Guards against wrong exit statuses, an edit that overwrites another operator's, the
// loss of a refused document from standard input, and messages that do not name the
// flag.
func TestServiceCommands(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	is.NoErr(err)
	defer f.Close()
	t.Setenv("CITRONTILLER_KV", f.KVAddress)
	t.Setenv("CITRONTILLER_AUTHOR", "ana")
	const doc = `{"service":"llm","model":"m"}`

	is.Equal(run(t, doc, "service", "validate", "-").exit, operator.ExitDone)
	is.Equal(run(t, doc, "service", "get", "llm").exit, operator.ExitFailed)
	created := run(t, doc, "service", "apply", "-")
	is.Equal(created.exit, operator.ExitDone)
	is.True(strings.Contains(created.err, "edited from generation 0"))

	file := filepath.Join(t.TempDir(), "llm.json")
	got := run(t, "", "service", "get", "llm")
	is.NoErr(os.WriteFile(file, []byte(got.out), 0o600))
	edited := run(t, `{"service":"llm","model":"m","budgets":{"retry_percent":20}}`, "service", "apply", "--base", "1", "-")
	is.Equal(edited.exit, operator.ExitDone)
	is.True(strings.Contains(edited.out, "budgets.retry_percent: 10 -> 20"))

	late := run(t, "", "service", "apply", "--json", file)
	is.Equal(late.exit, operator.ExitConflict)
	var failure struct {
		Conflict struct {
			Base, Generation int64
			Changes          []struct{ Path string }
		}
	}
	is.NoErr(json.Unmarshal([]byte(late.err), &failure))
	is.Equal(failure.Conflict.Base, int64(1))
	is.Equal(failure.Conflict.Generation, int64(2))
	is.Equal(failure.Conflict.Changes[0].Path, "budgets.retry_percent")

	refused := run(t, doc, "service", "apply", "--base", "1", "-")
	is.Equal(refused.exit, operator.ExitConflict)
	is.Equal(refused.out, doc)
	is.Equal(run(t, `{"service":"llm"`, "service", "apply", "-").exit, operator.ExitInvalid)
	is.True(strings.Contains(run(t, doc, "service", "diff", "-").out, "retry_percent: 20 -> 10"))
	is.Equal(strings.Count(run(t, "", "service", "history", "llm").out, "\n"), 3)
	is.True(strings.Contains(run(t, "", "service", "list").out, "llm"))

	for flag, args := range map[string][]string{
		"--kv": {"service", "list", "--kv", "ftp://x"}, "--base": {"service", "apply", "--base", "-1", "-"},
		"--entry": {"status", "--entry", "nowhere"}, "FILE": {"service", "validate", "/does/not/exist"},
	} {
		r := run(t, doc, args...)
		is.Equal(r.exit, operator.ExitUsage)
		is.True(strings.Contains(r.err, flag))
	}
	t.Setenv("CITRONTILLER_KV", "")
	is.Equal(run(t, doc, "service", "list").exit, operator.ExitUsage)
	is.Equal(run(t, doc, "service", "validate", "-").exit, operator.ExitDone)
}

// Guards against an entry or agent that is missing in the status, an unreachable
// entry that is not reported, and a decision that explain does not find.
func TestStatusAndExplain(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	is.NoErr(err)
	defer f.Close()
	_, err = f.AddAgent(fleet.AgentSpec{Name: "agent", Region: "r", Service: func(string) string { return "llm" },
		Engines: []engine.Options{{ID: "engine-0", Model: "m"}}})
	is.NoErr(err)
	opts := entry.DefaultOptions()
	opts.Region = "r"
	e, err := f.AddEntry("entry-0", opts)
	is.NoErr(err)
	api := httptest.NewServer(e.OperatorHandler())
	defer api.Close()
	t.Setenv("CITRONTILLER_KV", f.KVAddress)
	doc := `{"service":"llm","model":"m","accounts":[{"name":"a","key_sha256":["` + fleet.KeyHash("k") + `"]}]}`
	is.Equal(run(t, doc, "service", "apply", "--author", "ana", "-").exit, operator.ExitDone)

	address := strings.TrimPrefix(api.URL, "http://")
	settled := false
	for range 100 {
		r := run(t, "", "status", "--entry", address)
		is.Equal(r.exit, operator.ExitDone)
		if settled = strings.Contains(strings.Join(strings.Fields(r.out), " "), "llm 1 1 1 - ENTRY SERVICE READY EJECTED JOINING LEAVING RUNNING QUEUED entry-0 llm 1 0 0 0"); settled {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.True(settled)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	lost := run(t, "", "status", "--entry", address, "--entry", l.Addr().String())
	is.Equal(lost.exit, operator.ExitFailed)
	is.True(strings.Contains(lost.err, "1 of 2 entries did not answer"))

	post := func(path, body string) string {
		req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+path, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer k")
		resp, err := f.Client().Do(req)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		return resp.Header.Get("X-Request-Id")
	}
	routed := run(t, "", "explain", "--entry", address, post("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	is.Equal(routed.exit, operator.ExitDone)
	is.True(strings.Contains(routed.out, "chosen engine-0  reason: lowest cost"))
	is.Equal(run(t, "", "explain", "--entry", address, post("/nowhere", "")).exit, operator.ExitFailed)
}
