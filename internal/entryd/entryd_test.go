package entryd_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/internal/entryd"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

func parse(t *testing.T, args ...string) entryd.Settings {
	t.Helper()
	var s entryd.Settings
	p, err := arg.NewParser(arg.Config{}, &s)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(args); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an entry that starts with a setting out of range, an error that
// does not name the flag, and errors that are reported one at a time.
func TestCheck(t *testing.T) {
	is := is.New(t)
	good := []string{"--listen", ":1", "--kv", "h:1", "--hosts", "http://h:1", "--region", "r", "--failure-domain", "d"}
	is.NoErr(parse(t, good...).Check())
	for _, flag := range []string{"--drain-delay", "--kv-timeout", "--hosts-timeout", "--host-interval", "--weights-timeout", "--lease-ttl", "--config-interval", "--revoke-timeout",
		"--result-timeout", "--claim-lease-span", "--min-ack-timeout", "--agent-give-up", "--ticket-lifetime"} {
		for _, bad := range []string{"-1s", "99h"} {
			err := parse(t, append(good, flag+"="+bad)...).Check()
			is.True(err != nil && strings.HasPrefix(err.Error(), flag+" ("))
		}
	}
	for flag, bad := range map[string]string{"--decision-records": "0", "--decision-log-sample": "-1", "--operator-listen": "x", "--weights": "ftp://w"} {
		err := parse(t, append(good, flag+"="+bad)...).Check()
		is.True(err != nil && strings.HasPrefix(err.Error(), flag+" ("))
	}
	is.Equal(strings.Count(parse(t).Check().Error(), "got nothing"), 5)
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against an operator API that lacks a path, and against a drain that
// closes the listener before the readiness check fails.
func TestRun(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	is.NoErr(err)
	defer f.Close()
	_, err = f.AddAgent(fleet.AgentSpec{Name: "agent", Region: "r", Service: func(string) string { return "llm" },
		Engines: []engine.Options{{ID: "engine-0", Model: "m"}}})
	is.NoErr(err)
	store, err := f.Store()
	is.NoErr(err)
	_, err = store.Apply(t.Context(), []byte(`{"service":"llm","model":"m"}`), 0, "test")
	is.NoErr(err)
	listen, operatorListen := freeAddress(t), freeAddress(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- entryd.Run(ctx, parse(t, "--listen", listen, "--operator-listen", operatorListen, "--kv", f.KVAddress, "--hosts", f.HostsAddress,
			"--region", "r", "--failure-domain", "d", "--id", "one", "--drain-delay", "400ms", "--log-level", "error"))
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	get := func(url string) (int, string) {
		resp, err := client.Get("http://" + url)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	waitForStatus := func(want int, url string) {
		t.Helper()
		for range 200 {
			if code, _ := get(url); code == want {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("%s did not respond with status %d", url, want)
	}
	waitForStatus(http.StatusOK, listen+"/readyz")
	for _, path := range []string{"/healthz", "/readyz", "/decisions/none"} {
		code, _ := get(operatorListen + path)
		is.Equal(code, http.StatusOK)
	}
	get(listen + "/v1/chat/completions")
	_, metrics := get(operatorListen + "/metrics")
	is.True(strings.Contains(metrics, "citrontiller_entry_requests_total{"))
	var st entry.Status
	_, body := get(operatorListen + "/status")
	is.NoErr(json.Unmarshal([]byte(body), &st))
	is.Equal(st.Entry, "one")
	is.Equal(st.Services[0].Generation, int64(1))
	is.Equal(st.Endpoints[0].ID, "engine-0")

	stop()
	waitForStatus(http.StatusServiceUnavailable, listen+"/readyz")
	code, _ := get(operatorListen + "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.NoErr(<-done)
	code, _ = get(listen + "/readyz")
	is.Equal(code, 0)
}
