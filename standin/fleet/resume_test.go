package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/engine"
)

// Guards against lost, repeated or reordered tokens when an engine crashes after any
// token, and when the engine that resumes the stream crashes too.
func TestCrashAtEveryToken(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		const tokens = 8
		for k := 1; k < tokens; k++ {
			f.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: k})
			before := f.Engines["engine-0"].Counts().Requests
			// A crashed engine is ejected. The loop goes on until it gets a request again.
			for i := 0; i < 8 || (i < 200 && f.Engines["engine-0"].Counts().Requests == before); i++ {
				checkChat(t, f, 1000*k+i, tokens, true)
			}
			is.True(f.Engines["engine-0"].Counts().Requests > before)
		}
		for k := 1; k <= tokens; k++ {
			for _, e := range f.Engines {
				e.SetFaults(engine.Faults{CrashAfterTokens: k})
			}
			checkChat(t, f, k, min(3*k, tokens), true)
		}
	})
}

// Guards against a completion of /v1/completions that loses or repeats text when it
// is resumed.
func TestResumePlainCompletion(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		for _, e := range f.Engines {
			e.SetFaults(engine.Faults{CrashAfterTokens: 3})
		}
		code, body := post(t, f, "/v1/completions", `{"model":"m","stream":true,"max_tokens":8,"prompt":"once"}`)
		is.Equal(code, 200)
		var text strings.Builder
		for line := range strings.Lines(body) {
			if _, rest, ok := strings.Cut(line, `"text":"`); ok {
				word, _, _ := strings.Cut(rest, `"`)
				text.WriteString(word)
			}
		}
		is.Equal(text.String(), engine.Output("once", 8))
		is.Equal(strings.Count(body, "[DONE]"), 1)
		is.Equal(strings.Count(body, `"usage"`), 1)
	})
}

// Guards against a stream that can't be resumed after a crash and ends without an
// error.
func TestUnresumableStreamEndsWithError(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		for _, e := range f.Engines {
			e.SetFaults(engine.Faults{CrashAfterTokens: 3})
		}
		_, body := post(t, f, "/v1/chat/completions",
			`{"model":"m","stream":true,"n":2,"max_tokens":8,"messages":[{"role":"user","content":"x"}]}`)
		is.True(strings.Contains(body, "event: error\n"))
		is.True(!strings.Contains(body, "[DONE]"))
	})
}

// openStream sends a streamed chat request and returns the response, a reader of
// its body and the expected text.
func openStream(t *testing.T, f *Fleet, ctx context.Context, i, tokens int) (*http.Response, *bufio.Reader, string) {
	t.Helper()
	is := is.New(t)
	body, want := chatRequest(i, tokens, true)
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.Entries[0].Address+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := f.Client().Do(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	return resp, bufio.NewReader(resp.Body), want
}

// Guards against a response that ends when its agent is killed.
func TestAgentKilledMidStream(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		resp, r, want := openStream(t, f, t.Context(), 1, 200)
		defer resp.Body.Close()
		first, err := r.ReadString('\n')
		is.NoErr(err)
		var n int
		_, err = fmt.Sscanf(resp.Header.Get("X-Citrontiller-Endpoint"), "engine-%d", &n)
		is.NoErr(err)
		f.Agents[n].GRPC.Stop()
		rest, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(completeText(t, first+string(rest)), want)
	})
}

// Guards against an engine that continues a request whose caller has disconnected.
func TestCancelFreesTheEngine(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		resp, r, _ := openStream(t, f, ctx, 1, 100_000)
		_, err := r.ReadString('\n')
		is.NoErr(err)
		cancel()
		_ = resp.Body.Close()
		synctest.Wait()
		time.Sleep(2 * time.Millisecond)
		is.Equal(f.Engines["engine-0"].Counts().Cancelled+f.Engines["engine-1"].Counts().Cancelled, 1)
	})
}

// Guards against a caller that stops reading and occupies an engine indefinitely.
func TestStalledReaderIsDisconnected(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		resp, _, _ := openStream(t, f, t.Context(), 1, 50_000)
		defer resp.Body.Close()
		time.Sleep(2 * time.Minute)
		is.Equal(f.Engines["engine-0"].Counts().Cancelled+f.Engines["engine-1"].Counts().Cancelled, 1)
	})
}
