// Package sessions compares complete sessions with golden files, which hold every
// message between caller, entry, agent, endpoint and platform in virtual time.
package sessions

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/standin/kv"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// key is the API key of the callers.
const key = "secret"

// session is a recorded fleet: two agents with an engine and a plain service
// each, and two entries in the same region.
type session struct {
	*fleet.Fleet
	t    *testing.T
	rec  *fleet.Recorder
	net  *fleet.MemoryNetwork
	opts agent.Options
}

// networkDelay returns the one-way delay of connections to an address. The delays
// differ, so that messages of different processes don't coincide.
func networkDelay(address string) time.Duration {
	name, _, _ := strings.Cut(address, ":")
	switch {
	case name == "agent-1":
		return 1140 * time.Microsecond
	case strings.HasPrefix(name, "entry"):
		return time.Millisecond
	case strings.HasPrefix(name, "agent"):
		return 1100 * time.Microsecond
	case strings.HasPrefix(name, "kv"):
		return 1300 * time.Microsecond
	default:
		return 130 * time.Microsecond
	}
}

// runScenario runs a scenario in virtual time and compares its transcript with the
// golden file of the name.
func runScenario(t *testing.T, name string, scenario func(s *session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := startSession(t)
		scenario(s)
		time.Sleep(time.Second) // for background work after the last response
		goldie.New(t).Assert(t, name, s.rec.Transcript())
		s.Close()
		// Virtual time stops when the test returns, so let data in flight arrive first.
		time.Sleep(time.Second)
	})
}

// startSession starts the fleet and resets the recorder when it is ready.
func startSession(t *testing.T) *session {
	is := is.New(t)
	rec, net := fleet.NewRecorder(), fleet.NewMemoryNetwork()
	f, err := fleet.NewRecorded(fleet.DelayedNetwork{Network: net, Delay: networkDelay}, nil, rec)
	is.NoErr(err)
	s := &session{Fleet: f, t: t, rec: rec, net: net, opts: agent.DefaultOptions()}
	s.opts.LoadInterval, s.opts.Concurrency = time.Hour, 2
	s.opts.Random = func() float64 { return 0.5 }
	service := func(id string) string { return strings.TrimRight(id, "-0123456789") }
	for i := range 2 {
		_, err = f.AddAgent(fleet.AgentSpec{Name: fmt.Sprintf("agent-%d", i), Region: "r1", FailureDomain: fmt.Sprintf("d%d", i), Service: service, Options: s.opts,
			Engines: []engine.Options{{ID: fmt.Sprintf("engine-%d", i), Model: "m", Version: "v1", TokenGap: 10 * time.Millisecond}},
			Plains:  []string{fmt.Sprintf("desk-%d", i)}})
		is.NoErr(err)
	}
	account := fmt.Sprintf(`"accounts":[{"name":"a","key_sha256":[%q]}]`, fleet.KeyHash(key))
	store, err := f.Store()
	is.NoErr(err)
	for _, doc := range []string{
		`{"service":"engine","kind":"engine","model":"m","version":"v1",` + account + `}`,
		`{"service":"desk","kind":"plain","routes":[{"path":"/book"}],` + account + `}`,
	} {
		_, err := store.Apply(t.Context(), []byte(doc), 0, "operator")
		is.NoErr(err)
	}
	for range 2 {
		s.addEntry()
	}
	time.Sleep(time.Second)
	rec.Reset()
	return s
}

// addEntry starts another entry and waits until it is ready.
func (s *session) addEntry() {
	is := is.New(s.t)
	opts := entry.DefaultOptions()
	opts.Region = "r1"
	// Periodic polls run at random times, so their intervals exceed every session.
	opts.HostInterval, opts.ConfigInterval, opts.LeaseTTL = time.Hour, time.Hour, time.Hour
	opts.Random = func() uint64 { return 1 }
	// Each entry has a longer delay to all addresses than the previous one.
	network, n := s.Network, len(s.Entries)
	s.Network = fleet.DelayedNetwork{Network: s.net, Delay: func(address string) time.Duration {
		return networkDelay(address) + time.Duration(n)*70*time.Microsecond
	}}
	_, err := s.AddEntry(fmt.Sprintf("entry-%d", n), opts)
	s.Network = network
	is.NoErr(err)
	is.NoErr(s.WaitReady(s.t.Context()))
}

// post sends a request through an entry and returns status and body.
func (s *session) post(entry int, path, body string, headers ...string) (int, string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	return s.postWithContext(ctx, entry, path, body, headers...)
}

// postWithContext is post by a caller that disconnects when ctx ends.
func (s *session) postWithContext(ctx context.Context, entry int, path, body string, headers ...string) (int, string) {
	s.t.Helper()
	is := is.New(s.t)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Entries[entry].Address+path, bytes.NewBufferString(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.True(err == nil || ctx.Err() != nil)
	return resp.StatusCode, string(b)
}

// chatRequest returns a streamed chat request with the given max_tokens.
func chatRequest(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"instructions"},{"role":"user","content":"question"}]}`, tokens)
}

// checkStream fails the test unless the response is the complete stream for
// chatRequest.
func (s *session) checkStream(code int, body string, tokens int) {
	s.t.Helper()
	text, done := fleet.StreamedText(body)
	is := is.New(s.t)
	is.Equal(code, 200)
	is.True(done)
	is.Equal(text, engine.Output(`<system>"instructions"<user>"question"`, tokens))
}

// streamChat streams a chat response through entry 0 and checks it.
func (s *session) streamChat(tokens int) {
	s.t.Helper()
	code, body := s.post(0, "/v1/chat/completions", chatRequest(tokens))
	s.checkStream(code, body, tokens)
}

// bookVan makes a booking of a van with an idempotency key.
func (s *session) bookVan(entry int) (int, string) {
	s.t.Helper()
	return s.post(entry, "/book", "van", "Idempotency-Key", "k")
}

// checkBookings fails the test unless the endpoints counted n bookings of a van.
func (s *session) checkBookings(n int) {
	s.t.Helper()
	is.New(s.t).Equal(s.Plains["desk-0"].Bookings("van")+s.Plains["desk-1"].Bookings("van"), n)
}

func (s *session) setPlainFaults(f plain.Faults) {
	for _, p := range s.Plains {
		p.SetFaults(f)
	}
}

// background runs f in a goroutine; the returned function waits for it.
func background(f func()) (wait func()) {
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	return func() { <-done }
}

// scenarios maps the name of a golden file to its session. Each comment names the
// failures that the session guards against.
var scenarios = map[string]func(s *session, is *is.I){
	// Messages of a streamed response that change, are repeated or are reordered.
	"streamed_answer": func(s *session, is *is.I) { s.streamChat(3) },
	// A non-streamed response that is forwarded before it is complete.
	"whole_answer": func(s *session, is *is.I) {
		code, body := s.post(0, "/v1/chat/completions", strings.Replace(chatRequest(3), `"stream":true,`, "", 1))
		is.Equal(code, 200)
		is.True(strings.Contains(body, engine.Output(`<system>"instructions"<user>"question"`, 3)))
	},
	// A non-idempotent call with more than one Open or POST.
	"booking": func(s *session, is *is.I) {
		code, _ := s.post(1, "/book", "van")
		is.Equal(code, 200)
		s.checkBookings(1)
	},
	// A stream that ends when its engine crashes, or repeats or loses text when it is
	// resumed.
	"engine_crash_resume": func(s *session, is *is.I) {
		s.Engines["engine-0"].SetFaults(engine.Faults{CrashAfterTokens: 2})
		s.streamChat(4)
	},
	// A caller that waits for a frozen engine, and a hedged attempt that is not
	// cancelled when the other one wins.
	"hedge": func(s *session, is *is.I) {
		s.Engines["engine-0"].SetFaults(engine.Faults{Frozen: true})
		s.streamChat(2)
	},
	// A stream that hangs when its connection drops traffic, or is run again instead
	// of reattached.
	"silent_connection_reattach": func(s *session, is *is.I) {
		time.AfterFunc(15*time.Millisecond, func() { s.net.DropTraffic(s.Agents[0].Address, fleet.BothWays) })
		s.streamChat(5)
	},
	// A stream that hangs when its agent is paused, and late messages of the agent
	// that reach the caller.
	"agent_paused": func(s *session, is *is.I) {
		time.AfterFunc(15*time.Millisecond, func() { s.net.Pause(s.Agents[0].Address) })
		s.streamChat(5)
		s.net.Resume(s.Agents[0].Address)
	},
	// A refusal or a second booking when a claim is written but the store's response
	// is lost.
	"claim_answer_lost": func(s *session, is *is.I) {
		s.KV.SetFaults(kv.Faults{LoseWriteResponses: 1})
		code, _ := s.bookVan(0)
		is.Equal(code, 200)
		s.checkBookings(1)
	},
	// A repeated call that books again while the first one runs.
	"repeat_while_running": func(s *session, is *is.I) {
		s.setPlainFaults(plain.Faults{Delay: 300 * time.Millisecond})
		var first string
		wait := background(func() { _, first = s.bookVan(0) })
		time.Sleep(100 * time.Millisecond)
		code, second := s.bookVan(1)
		wait()
		is.Equal(code, 200)
		is.Equal(first, second)
		s.checkBookings(1)
	},
	// A repeated call that books again after the first one has finished.
	"repeat_after_end": func(s *session, is *is.I) {
		_, first := s.bookVan(0)
		time.Sleep(100 * time.Millisecond)
		_, second := s.bookVan(1)
		is.Equal(first, second)
		s.checkBookings(1)
	},
	// A repeated call that books again, or gets "not run", after the agent of the
	// first call has restarted without its state and before the store has the result.
	"repeat_after_agent_restart": func(s *session, is *is.I) {
		s.setPlainFaults(plain.Faults{Delay: 300 * time.Millisecond})
		time.AfterFunc(100*time.Millisecond, func() { s.KV.SetFaults(kv.Faults{Down: true}) })
		_, first := s.bookVan(0)
		for i := range s.Agents {
			time.Sleep(100 * time.Millisecond)
			s.net.Stop(s.Agents[i].Address)
			is.NoErr(s.RestartAgent(i, 5*time.Millisecond))
			s.net.Restore(s.Agents[i].Address)
		}
		time.Sleep(500 * time.Millisecond)
		s.KV.SetFaults(kv.Faults{})
		code, second := s.bookVan(1)
		is.Equal(code, 409)
		is.True(strings.Contains(second, `"run":"unknown"`))
		time.Sleep(3 * time.Second) // entry 0 stores the result meanwhile
		_, third := s.bookVan(1)
		is.Equal(third, first)
		s.checkBookings(1)
	},
	// A booking with an idempotency key that runs without a claim.
	"store_down": func(s *session, is *is.I) {
		s.KV.SetFaults(kv.Faults{Down: true})
		code, body := s.bookVan(0)
		is.Equal(code, 503)
		is.True(strings.Contains(body, `"run":"not_run"`))
		s.checkBookings(0)
	},
	// A response to another call that is delivered or reported as a success.
	"crossed_answer": func(s *session, is *is.I) {
		for range 2 {
			code, _ := s.post(0, "/book", "bike")
			is.Equal(code, 200)
		}
		s.setPlainFaults(plain.Faults{MisroutedResponses: 1})
		code, body := s.post(0, "/book", "van")
		is.Equal(code, 502)
		is.True(strings.Contains(body, `"run":"unknown"`) && !strings.Contains(body, "bike"))
		s.checkBookings(1)
	},
	// New requests at a leaving agent, and a running stream that the agent aborts.
	"leaving_agent": func(s *session, is *is.I) {
		wait := background(func() { s.streamChat(8) })
		time.Sleep(30 * time.Millisecond)
		s.Agents[0].Leave()
		time.Sleep(10 * time.Millisecond)
		code, body := s.post(1, "/v1/chat/completions", chatRequest(2))
		s.checkStream(code, body, 2)
		wait()
		is.Equal(s.Engines["engine-0"].Counts().Requests, 1)
	},
	// An engine that continues a request whose caller has disconnected.
	"caller_leaves": func(s *session, is *is.I) {
		ctx, cancel := context.WithTimeout(s.t.Context(), 35*time.Millisecond)
		defer cancel()
		s.postWithContext(ctx, 0, "/v1/chat/completions", chatRequest(100))
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Engines["engine-0"].Counts().Cancelled, 1)
	},
	// A request that waits at busy engines although it can't start in time, or is
	// refused with a run state other than "not run".
	"overload": func(s *session, is *is.I) {
		s.applyDocument("engine", 1, `"timeouts":{"max_wait_ms":10}`)
		time.Sleep(100 * time.Millisecond)
		s.streamChat(12) // gives an agent a sample of response lengths
		s.streamChat(12)
		var waits []func()
		var refused atomic.Int64
		for i := range 6 {
			waits = append(waits, background(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				code, body := s.post(0, "/v1/chat/completions", chatRequest(12))
				if code != 503 {
					s.checkStream(code, body, 12)
					return
				}
				refused.Add(1)
				is.True(strings.Contains(body, `"run":"not_run"`))
			}))
		}
		for _, wait := range waits {
			wait()
		}
		is.True(refused.Load() > 0)
		is.Equal(s.Engines["engine-0"].Counts().Requests+s.Engines["engine-1"].Counts().Requests, 8-int(refused.Load()))
	},
	// A lost update when two operators edit the same generation, and an edit that one
	// of the entries doesn't apply.
	"racing_operators": func(s *session, is *is.I) {
		var errs [2]error
		var waits []func()
		for i := range errs {
			waits = append(waits, background(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				errs[i] = s.tryApplyDocument("desk", 1, fmt.Sprintf(`"routes":[{"path":"/book"},{"path":"/hire-%d"}]`, i))
			}))
		}
		for _, wait := range waits {
			wait()
		}
		var conflict *config.ConflictError
		is.NoErr(errs[0])
		is.True(errors.As(errs[1], &conflict))
		time.Sleep(100 * time.Millisecond)
		for entry := range s.Entries {
			code, _ := s.post(entry, "/hire-0", "cart")
			is.Equal(code, 200)
			code, _ = s.post(entry, "/hire-1", "cart")
			is.Equal(code, 404)
		}
	},
	// A new entry that waits for the store during an outage instead of reading the
	// documents from the agents.
	"entry_restart_in_outage": func(s *session, is *is.I) {
		s.KV.SetFaults(kv.Faults{Down: true})
		s.addEntry()
		code, body := s.post(2, "/v1/chat/completions", chatRequest(2))
		s.checkStream(code, body, 2)
	},
}

// applyDocument applies a document for a service; fields are added to kind and
// accounts.
func (s *session) applyDocument(service string, generation int64, fields string) {
	s.t.Helper()
	is.New(s.t).NoErr(s.tryApplyDocument(service, generation, fields))
}

func (s *session) tryApplyDocument(service string, generation int64, fields string) error {
	store, err := s.Store()
	if err != nil {
		return err
	}
	kind := `"kind":"plain"`
	if service == "engine" {
		kind = `"kind":"engine","model":"m","version":"v1"`
	}
	_, err = store.Apply(s.t.Context(), fmt.Appendf(nil, `{"service":%q,%s,"accounts":[{"name":"a","key_sha256":[%q]}],%s}`,
		service, kind, fleet.KeyHash(key), fields), generation, "operator")
	return err
}

// Guards against unintended changes of the messages of a session.
func TestSessions(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			runScenario(t, name, func(s *session) { scenario(s, is.New(s.t)) })
		})
	}
}
