package fleet

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// runWithoutAgents runs a test on a fleet whose only live endpoints have no agent.
func runWithoutAgents(t *testing.T, test func(t *testing.T, f *Fleet, hosts []infra.Host)) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		for _, a := range f.Agents {
			a.Leave()
		}
		var hosts []infra.Host
		for _, id := range []string{"near-0", "near-1"} {
			addr, err := f.StartEngine(engine.Options{ID: id, Model: "m", Version: "v1", TokenGap: time.Millisecond})
			is.NoErr(err)
			hosts = append(hosts, infra.Host{ID: id, Service: "llm", Kind: infra.Engine, Address: addr, Region: "r1", State: infra.Live})
		}
		addr, err := f.StartPlain("near-desk")
		is.NoErr(err)
		f.SetDirectHosts(append(hosts, infra.Host{ID: "near-desk", Service: "desk", Kind: infra.Plain, Address: addr, Region: "r1", State: infra.Live})...)
		time.Sleep(3 * time.Second)
		test(t, f, hosts)
	})
}

// Guards against endpoints without an agent that get no requests, or whose streams
// and bookings differ from those of other endpoints.
func TestEndpointWithoutAgent(t *testing.T) {
	runWithoutAgents(t, func(t *testing.T, f *Fleet, _ []infra.Host) {
		is := is.New(t)
		for i := range 20 {
			checkChat(t, f, i, 8, i%2 == 0)
		}
		code, _ := post(t, f, "/book", "van")
		is.Equal(code, 200)
		is.Equal(f.Plains["near-desk"].Bookings("van"), 1)
		for _, id := range []string{"near-0", "near-1"} {
			f.Engines[id].SetFaults(engine.Faults{CrashAfterTokens: 5})
		}
		for i := range 10 {
			checkChat(t, f, i, 8, true)
		}
	})
}

// Guards against a booking that runs twice, or is reported as "not run" although it
// ran, when an endpoint without an agent fails after or before the request.
func TestEndpointWithoutAgentFails(t *testing.T) {
	runWithoutAgents(t, func(t *testing.T, f *Fleet, _ []infra.Host) {
		is := is.New(t)
		desk := f.Plains["near-desk"]
		desk.SetFaults(plain.Faults{DropResponses: 1})
		_, body := post(t, f, "/book", "dropped")
		is.True(strings.Contains(body, `"run":"unknown"`))
		is.Equal(desk.Bookings("dropped"), 1)
		f.Network.(*MemoryNetwork).Stop("near-desk:80")
		_, body = post(t, f, "/book", "down")
		is.True(strings.Contains(body, `"run":"not_run"`))
		is.Equal(desk.Bookings("down"), 0)
	})
}

// Guards against new requests on an endpoint without an agent after the host list
// reports it as leaving, and against a restart being needed to add or remove such
// endpoints.
func TestEndpointWithoutAgentLeaves(t *testing.T) {
	runWithoutAgents(t, func(t *testing.T, f *Fleet, hosts []infra.Host) {
		is := is.New(t)
		resp, r, want := openStream(t, f, t.Context(), 1, 8_000)
		defer resp.Body.Close()
		leaving, staying := hosts[0], hosts[1]
		if resp.Header.Get("X-Citrontiller-Endpoint") == staying.ID {
			leaving, staying = staying, leaving
		}
		leaving.State = infra.Leaving
		f.SetDirectHosts(leaving, staying)
		time.Sleep(2 * time.Second)
		before := f.Engines[leaving.ID].Counts().Requests
		for i := range 20 {
			checkChat(t, f, i, 3, true)
		}
		is.Equal(f.Engines[leaving.ID].Counts().Requests, before)
		f.SetDirectHosts(staying) // removed from the list while its stream runs
		drained := f.Entries[0].Drain()
		body, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(completeText(t, string(body)), want)
		is.Equal(resp.Header.Get("X-Citrontiller-Endpoint"), leaving.ID)
		is.Equal(f.Engines[leaving.ID].Counts().Requests, before) // the stream did not move to another endpoint and back
		<-drained
	})
}
