// Package sessions holds golden files of whole sessions: every message between
// caller, entry, agent, endpoint and platform under a virtual clock.
package sessions

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

const key = "secret"

// session is a recorded fleet: two agents with an engine and a plain service
// each, and two entries in the same region.
type session struct {
	*fleet.Fleet
	t   *testing.T
	rec *fleet.Recorder
}

// delays gives each pair of processes its own delay, so that messages of
// different processes don't fall on the same instant.
func delays(address string) time.Duration {
	name, _, _ := strings.Cut(address, ":")
	switch {
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

func run(t *testing.T, name string, play func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		play(s)
		goldie.New(t).Assert(t, name, s.rec.Session())
		s.Close()
		// Virtual time stops when the test returns; data on its way needs some.
		time.Sleep(time.Second)
	})
}

func start(t *testing.T) *session {
	is := is.New(t)
	rec := fleet.NewRecorder()
	f, err := fleet.NewRecorded(fleet.Delayed{Network: fleet.NewMemory(), Delay: delays}, nil, rec)
	is.NoErr(err)
	s := &session{Fleet: f, t: t, rec: rec}
	service := func(id string) string { return strings.TrimRight(id, "-0123456789") }
	for i := range 2 {
		_, err = f.AddAgent(fleet.Spec{Name: fmt.Sprintf("agent-%d", i), Region: "r1", FailureDomain: fmt.Sprintf("d%d", i), Service: service,
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
	for i := range 2 {
		opts := entry.DefaultOptions()
		opts.Region = "r1"
		// The session ends before the first regular polls, whose times are random.
		opts.HostInterval, opts.ConfigInterval, opts.LeaseTTL = time.Hour, time.Hour, time.Hour
		opts.Random = func() uint64 { return 1 }
		_, err = f.AddEntry(fmt.Sprintf("entry-%d", i), opts)
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(t.Context()))
	time.Sleep(time.Second)
	rec.Reset()
	return s
}

// post sends a request through an entry and returns status and body.
func (s *session) post(entry int, path, body string, headers ...string) (int, string) {
	s.t.Helper()
	is := is.New(s.t)
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
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
	is.NoErr(err)
	return resp.StatusCode, string(b)
}

const chat = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"system","content":"instructions"},{"role":"user","content":"question"}]}`

// Guards the order and content of all messages of a streamed answer.
func TestStreamedAnswer(t *testing.T) {
	run(t, "streamed_answer", func(s *session) {
		is := is.New(s.t)
		code, body := s.post(0, "/v1/chat/completions", chat)
		is.Equal(code, 200)
		is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	})
}

// Guards a non-idempotent call: one Open, one POST at the endpoint.
func TestBooking(t *testing.T) {
	run(t, "booking", func(s *session) {
		is := is.New(s.t)
		code, _ := s.post(1, "/book", `{"van":"Tuesday"}`)
		is.Equal(code, 200)
		is.Equal(s.Plains["desk-0"].Total()+s.Plains["desk-1"].Total(), 1)
	})
}
