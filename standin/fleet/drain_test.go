package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/standin/kv"
)

// Guards against a shutdown of the entry that aborts running streams, refuses new
// requests before the load balancer sees the failed readiness check, or keeps
// reporting readiness.
func TestEntryDrain(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		const tokens = 8_000 // 8 s, well beyond the drain delay
		resp, r, want := openStream(t, f, t.Context(), 1, tokens)
		defer resp.Body.Close()
		drained := f.Entries[0].Drain()
		f.Entries[0].Drain() // a second signal has no effect
		time.Sleep(time.Second)
		ready, err := f.Client().Get("http://" + f.Entries[0].Address + "/readyz")
		is.NoErr(err)
		_ = ready.Body.Close()
		is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
		is.True(ready.Close) // the response announces the close of its keep-alive connection
		checkChat(t, f, 2, 3, true)
		body, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(completeText(t, string(body)), want)
		<-drained
	})
}

// Guards against a request that is read and never answered, because the drain of its entry
// ended as its connection, open for a while, carried it.
func TestEntryDrainAnswersFirstRequestOfConnection(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, network *MemoryNetwork) {
		is := is.New(t)
		drained := f.Entries[0].Drain()
		time.Sleep(DrainDelay - time.Second)
		conn, err := network.Dial(t.Context(), "tcp", f.Entries[0].Address)
		is.NoErr(err)
		defer conn.Close()
		time.Sleep(time.Second + 500*time.Millisecond)
		_, err = fmt.Fprintf(conn, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		defer resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		<-drained
	})
}

// Guards against new requests on an endpoint later than 3 s after the host list or
// its agent reports it as leaving, also while the key-value service or the host
// list is down.
func TestLeavingEndpoint(t *testing.T) {
	for _, list := range []bool{false, true} {
		for _, agent := range []bool{false, true} {
			for _, outage := range []string{"none", "kv", "hosts"} {
				if (!list && !agent) || (outage == "hosts" && !agent) {
					continue
				}
				t.Run(fmt.Sprintf("list=%t,agent=%t,outage=%s", list, agent, outage), func(t *testing.T) {
					runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) { testLeaving(t, f, list, agent, outage) })
				})
			}
		}
	}
}

func testLeaving(t *testing.T, f *Fleet, list, agent bool, outage string) {
	is := is.New(t)
	for i := range 20 {
		checkChat(t, f, i, 3, true)
	}
	f.KV.SetFaults(kv.Faults{Down: outage == "kv"})
	f.Hosts.SetDown(outage == "hosts")
	if list {
		f.Hosts.SetState("engine-0", infra.Leaving)
	}
	if agent {
		f.Agents[0].Leave()
	}
	time.Sleep(3 * time.Second)
	before := f.Engines["engine-0"].Counts().Requests
	is.True(before > 0)
	for i := range 40 {
		checkChat(t, f, i, 3, i%2 == 0)
	}
	is.Equal(f.Engines["engine-0"].Counts().Requests, before)
}
