// Command quickstart runs a whole system in one process on loopback ports and
// sends requests through it.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

const key = "demo-key"

func run() error {
	f, err := fleet.New(fleet.Loopback{}, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := start(f); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	chat := `{"model":"guide","stream":%t,"max_tokens":8,"messages":[{"role":"system","content":"Shop instructions."},{"role":"user","content":"%s"}]}`
	calls := []struct{ path, body string }{
		{"/v1/chat/completions", fmt.Sprintf(chat, true, "How do I mend an aneroid?")},
		{"/v1/chat/completions", fmt.Sprintf(chat, false, "How do I clean wool?")},
		{"/book", `{"pickup":"Tuesday"}`},
	}
	for _, c := range calls {
		if err := send(f, c.path, c.body); err != nil {
			return err
		}
	}
	return nil
}

func start(f *fleet.Fleet) error {
	service := func(id string) string {
		if strings.HasPrefix(id, "desk") {
			return "desk"
		}
		return "guide"
	}
	for i := range 3 {
		spec := fleet.Spec{Name: fmt.Sprintf("agent-%d", i), Region: "region-a", FailureDomain: fmt.Sprintf("domain-%d", i), Service: service,
			Engines: []engine.Options{{ID: fmt.Sprintf("engine-%d", i), Model: "guide", Version: "v1", TokenGap: 5 * time.Millisecond, PrefillPerToken: 100 * time.Microsecond}},
			Plains:  []string{fmt.Sprintf("desk-%d", i)}}
		if _, err := f.AddAgent(spec); err != nil {
			return err
		}
	}
	for i := range 2 {
		opts := entry.DefaultOptions()
		opts.Region = "region-a"
		if _, err := f.AddEntry(fmt.Sprintf("entry-%d", i), opts); err != nil {
			return err
		}
	}
	store, err := f.Store()
	if err != nil {
		return err
	}
	account := fmt.Sprintf(`"accounts":[{"name":"demo","key_sha256":[%q]}]`, fleet.KeyHash(key))
	for _, doc := range []string{
		`{"service":"guide","kind":"engine","model":"guide","version":"v1",` + account + `}`,
		`{"service":"desk","kind":"plain","routes":[{"path":"/book"}],` + account + `}`,
	} {
		if _, err := store.Apply(context.Background(), []byte(doc), 0, "quickstart"); err != nil {
			return err
		}
	}
	return nil
}

func send(f *fleet.Fleet, path, body string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[0].Address+path, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	begin := time.Now()
	resp, err := f.Client().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	_, _ = r.Peek(1)
	first := time.Since(begin)
	answer, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	fmt.Printf("POST %s -> %d, endpoint %s, first byte after %s\n%s\n", path, resp.StatusCode,
		resp.Header.Get("X-Citrontiller-Endpoint"), first.Round(time.Microsecond), answer)
	return nil
}
