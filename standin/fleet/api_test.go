package fleet

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against bad input that is forwarded, answered without a reason or
// crashes the entry.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f := start(t, Loopback{})
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
