package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
)

// start runs one entry and two agents, each with an engine and a plain service.
func start(t testing.TB, n Network) *Fleet {
	t.Helper()
	is := is.New(t)
	f, err := New(n, nil)
	is.NoErr(err)
	t.Cleanup(f.Close)
	service := func(id string) string {
		if strings.HasPrefix(id, "desk") {
			return "desk"
		}
		return "llm"
	}
	for i := range 2 {
		_, err = f.AddAgent(AgentSpec{Name: fmt.Sprintf("agent-%d", i), Region: "r1", FailureDomain: "d1", Service: service,
			Engines: []engine.Options{{ID: fmt.Sprintf("engine-%d", i), Model: "m", Version: "v1", TokenGap: time.Millisecond}},
			Plains:  []string{fmt.Sprintf("desk-%d", i)}})
		is.NoErr(err)
	}
	opts := entry.DefaultOptions()
	opts.Region = "r1"
	_, err = f.AddEntry("entry-0", opts)
	is.NoErr(err)
	store, err := f.Store()
	is.NoErr(err)
	apply := func(doc string) {
		_, err := store.Apply(context.Background(), []byte(doc), 0, "test")
		is.NoErr(err)
	}
	account := fmt.Sprintf(`"accounts":[{"name":"a","key_sha256":[%q]}]`, KeyHash("secret"))
	apply(`{"service":"llm","kind":"engine","model":"m","version":"v1",` + account + `}`)
	apply(`{"service":"desk","kind":"plain","routes":[{"path":"/book"}],` + account + `}`)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(f.WaitReady(ctx))
	// An entry is ready once it has one service; the tests use both.
	for len(f.Entries[0].Config.Services()) < 2 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	return f
}

// post posts through the first entry and fails the test if there is no response.
func post(t *testing.T, f *Fleet, path, body string) (int, string) {
	t.Helper()
	code, b, err := tryPost(f, 0, path, body, "")
	is.New(t).NoErr(err)
	return code, b
}

// tryPost posts through an entry, with an idempotency key unless it is empty. The
// client does not retry.
func tryPost(f *Fleet, entry int, path, body, idempotencyKey string) (int, string, error) {
	return f.send(entry, path, body, idempotencyKey, "secret")
}

// postChat posts a chat request with the given API key through the first entry.
func (f *Fleet) postChat(apiKey, body string) (int, string, error) {
	return f.send(0, "/v1/chat/completions", body, "", apiKey)
}

func (f *Fleet) send(entry int, path, body, idempotencyKey, apiKey string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[entry].Address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	c := &http.Client{Transport: &http.Transport{DialContext: f.Network.Dial, DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a break anywhere between caller and endpoint: configuration from
// the store, endpoint selection, agent, engine, and the complete response in order.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	f := start(t, LoopbackNetwork{})
	seed := `<user>"hello"`
	code, body := post(t, f, "/v1/chat/completions", `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
	is.Equal(code, 200)
	text, done := StreamedText(body)
	is.True(done)
	is.Equal(text, engine.Output(seed, 5))
	code, body = post(t, f, "/v1/chat/completions", `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`)
	is.Equal(code, 200)
	is.True(strings.Contains(body, engine.Output(seed, 5)))
	code, body = post(t, f, "/book", `{"van":1}`)
	is.Equal(code, 200)
	is.Equal(f.Plains["desk-0"].Total()+f.Plains["desk-1"].Total(), 1)
	is.True(strings.Contains(body, "van"))
	code, _ = post(t, f, "/v1/chat/completions", `{"model":"x","messages":[{}]}`)
	is.Equal(code, 404)
}

// completeText returns the text of a streamed response. It fails the test if the
// stream does not end with its [DONE] event.
func completeText(t *testing.T, body string) string {
	t.Helper()
	text, done := StreamedText(body)
	is.New(t).True(done)
	return text
}
