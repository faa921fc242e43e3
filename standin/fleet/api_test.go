package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against invalid input that is forwarded, gets a response without an error
// code or crashes the entry.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f := start(t, LoopbackNetwork{})
	const chat = "/v1/chat/completions"
	message := `"messages":[{"role":"user","content":"x"}]`
	for _, c := range []struct {
		method, path, key, body string
		status                  int
		code                    string
	}{
		{"POST", chat, "secret", `{`, 400, "invalid_request"},
		{"POST", chat, "secret", `[]`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m",` + message + `} {}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","model":"m",` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"Model":"m",` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","messages":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","messages":[null]}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","max_tokens":-1,` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","max_tokens":1e300,` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","max_tokens":99999999,` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"m","n":-1,` + message + `}`, 400, "invalid_request"},
		{"POST", chat, "secret", `{"model":"x",` + message + `}`, 404, "model_not_found"},
		{"POST", chat, "wrong", `{"model":"m",` + message + `}`, 401, "invalid_api_key"},
		{"POST", chat, "", `{"model":"m",` + message + `}`, 401, "invalid_api_key"},
		{"GET", chat, "secret", ``, 405, "invalid_request"},
		{"DELETE", "/v1/models", "secret", ``, 405, "invalid_request"},
		{"GET", "/v1/models", "wrong", ``, 401, "invalid_api_key"},
		{"POST", "/nothing", "secret", ``, 404, "not_found"},
		{"POST", chat, "secret", `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, 413, "body_too_large"},
	} {
		req, err := http.NewRequest(c.method, "http://"+f.Entries[0].Address+c.path, strings.NewReader(c.body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+c.key)
		req.Header.Set("X-Request-Id", "theirs")
		status, id, body := do(t, f, req)
		name := c.body[:min(len(c.body), 60)]
		if status != c.status || !strings.Contains(body, `"code":"`+c.code+`"`) {
			t.Errorf("%s %s %s: status %d, body %s", c.method, c.path, name, status, body)
		}
		is.True(id != "" && id != "theirs")
		is.True(strings.Contains(body, `"run":"not_run","request_id":"`+id+`"`))
	}
	is.Equal(f.Engines["engine-0"].Counts().Requests+f.Engines["engine-1"].Counts().Requests, 0)
}

// do sends a request and returns the response's status, its X-Request-Id and its
// text with the headers.
func do(t *testing.T, f *Fleet, req *http.Request) (status int, id, body string) {
	t.Helper()
	is := is.New(t)
	resp, err := f.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var b strings.Builder
	_ = resp.Write(&b)
	return resp.StatusCode, resp.Header.Get("X-Request-Id"), b.String()
}

// Guards against an account that exceeds its limit of running requests, and against
// finished requests that still count towards it.
func TestAccountLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		store, err := f.Store()
		is.NoErr(err)
		_, err = store.Apply(t.Context(), []byte(fmt.Sprintf(`{"service":"llm","kind":"engine","model":"m","version":"v1",
			"limits":{"max_running_per_account":1},"accounts":[{"name":"a","key_sha256":[%q]}]}`, KeyHash("secret"))), 1, "test")
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		resp, r, _ := openStream(t, f, t.Context(), 1, 100)
		body, _ := chatRequest(2, 3, true)
		req, err := http.NewRequest("POST", "http://"+f.Entries[0].Address+"/v1/chat/completions", strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer secret")
		status, _, text := do(t, f, req)
		is.Equal(status, http.StatusTooManyRequests)
		is.True(strings.Contains(text, "Retry-After: 1\r\n"))
		_, err = io.Copy(io.Discard, r)
		is.NoErr(err)
		_ = resp.Body.Close()
		checkChat(t, f, 2, 3, true)
	})
}

// Guards against a caller that never completes its request body and occupies a
// connection.
func TestSlowBody(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		c, err := n.Dial(t.Context(), "tcp", f.Entries[0].Address)
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 9\r\n\r\n{")
		is.NoErr(err)
		begin := time.Now()
		reply, err := io.ReadAll(c)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(reply), "HTTP/1.1 408 "))
		is.True(time.Since(begin) < 11*time.Second)
	})
}
