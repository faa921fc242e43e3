package fleet

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/engine"
)

// longChat is a chat request whose prompt fills several cache blocks.
var longChat = fmt.Sprintf(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("history ", 500))

// applyEngineDocument applies a document of the engines with the client accounts a
// and b, and waits until it is in force.
func (f *Fleet) applyEngineDocument(t *testing.T, version string, generation int64) {
	t.Helper()
	store, err := f.Store()
	is.New(t).NoErr(err)
	_, err = store.Apply(t.Context(), fmt.Appendf(nil, `{"service":"llm","kind":"engine","model":"m","version":%q,"accounts":[
		{"name":"a","key_sha256":[%q]},{"name":"b","key_sha256":[%q]}]}`, version, KeyHash("secret"), KeyHash("other")), generation, "test")
	is.New(t).NoErr(err)
	time.Sleep(8 * time.Second) // longer than the interval of configuration polls
}

// Guards against cache hits on blocks of another client account, of older weights or
// of an earlier boot of the engine. The first request of each scope must not hit the
// engine's cache, and the next one of the same scope must.
func TestCacheScopes(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		f.Hosts.SetState("engine-1", infra.Leaving) // with one engine, each request could hit its cache
		f.applyEngineDocument(t, "v1", 1)
		e := f.Engines["engine-0"]
		cachedTokens := func(key string) int {
			before := e.Counts()
			code, _, err := f.postChat(key, longChat)
			is.NoErr(err)
			is.Equal(code, 200)
			is.Equal(e.Counts().Requests, before.Requests+1)
			return e.Counts().CachedTokens - before.CachedTokens
		}
		checkScope := func(key string, salts int) {
			t.Helper()
			is.Equal(cachedTokens(key), 0)
			is.True(cachedTokens(key) > 0)
			is.Equal(len(e.Counts().CachedBySalt), salts)
		}
		checkScope("secret", 1)
		checkScope("other", 2)
		e.CrashAndRestart("v1")
		time.Sleep(2 * time.Second)
		checkScope("secret", 2)
		e.CrashAndRestart("v2")
		f.applyEngineDocument(t, "v2", 2)
		checkScope("secret", 3)
		checkScope("other", 4)
		// The engine crashes while the Open is in flight to the agent.
		n.SetFault(f.Agents[0].Address, Fault{Direction: ToServer, Delay: 100 * time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() { e.CrashAndRestart("v2") })
		is.Equal(cachedTokens("secret"), 0)
		n.SetFault(f.Agents[0].Address, Fault{})
		is.Equal(e.Counts().InvalidCacheHits, 0)
	})
}

// Guards against a response spliced from two versions of the weights when its engine
// crashes. The caller must get the complete response of one version, or a part of it
// and an explicit error.
func TestNoSpliceOfVersions(t *testing.T) {
	const tokens = 200
	reboot := func(version string) func(*Fleet, *engine.Server) {
		return func(_ *Fleet, e *engine.Server) { e.CrashAndRestart(version) }
	}
	for name, c := range map[string]struct {
		// before runs before the request, changeOther 50 ms before the stream's engine
		// crashes; nil does nothing.
		before, changeOther func(f *Fleet, changeOther *engine.Server)
		// restartVersion is the version with which the stream's engine restarts. If it
		// is empty, both engines change to v2 at the same time.
		restartVersion string
		// wantVersion is the version of the expected text, wantComplete whether it must
		// be complete.
		wantVersion  string
		wantComplete bool
	}{
		"other engine keeps its weights":          {nil, nil, "v2", "v1", true},
		"other engine changes, report is current": {nil, reboot("v2"), "v2", "v1", false},
		"other engine changes by an order":        {nil, func(f *Fleet, e *engine.Server) { e.LoadWeights("v2") }, "v2", "v1", false},
		"both engines change at the same time":    {nil, nil, "", "v1", false},
		"both have new weights before the request and old ones after": {func(f *Fleet, _ *engine.Server) {
			for _, e := range f.Engines {
				e.LoadWeights("v2")
			}
		}, func(f *Fleet, e *engine.Server) { e.LoadWeights("v1") }, "v1", "v2", false},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
				is := is.New(t)
				if c.before != nil {
					c.before(f, nil)
				}
				resp, r, _ := openStream(t, f, t.Context(), 1, tokens)
				defer resp.Body.Close()
				serving, other := f.Engines["engine-0"], f.Engines["engine-1"]
				if resp.Header.Get("X-Citrontiller-Endpoint") == "engine-1" {
					serving, other = other, serving
				}
				time.Sleep(50 * time.Millisecond)
				if c.changeOther != nil {
					c.changeOther(f, other)
				}
				if c.restartVersion == "" {
					other.LoadWeights("v2")
					serving.CrashAndRestart("v2")
				} else {
					time.Sleep(50 * time.Millisecond)
					serving.CrashAndRestart(c.restartVersion)
				}
				body, err := io.ReadAll(r)
				is.NoErr(err)
				text, done := StreamedText(string(body))
				want := engine.OutputForVersion(c.wantVersion, `<user>"question 1"`, tokens)
				is.Equal(done, c.wantComplete)
				is.Equal(strings.Contains(string(body), "event: error\n"), !c.wantComplete)
				is.True(strings.HasPrefix(want, text))
				is.Equal(text == want, c.wantComplete)
				is.True(len(text) > 0)
			})
		})
	}
}
