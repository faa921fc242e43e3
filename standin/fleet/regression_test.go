package fleet

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/plain"
)

// Guards against a call that is reported as "unknown" although its deadline passed
// while it was still queued at the agent, so that it did not run.
func TestDeadlineInQueueIsNotRun(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		editDesk(t, f, `"timeouts":{"request_ms":2000,"max_wait_ms":600000}`, "")
		setPlainFaults(f, plain.Faults{Delay: 3 * time.Second})
		var responses []<-chan response
		for i := range 40 { // two agents run 16 calls each, the others stay queued
			responses = append(responses, postAsync(f, 0, fmt.Sprint("van", i), ""))
		}
		notRun := 0
		for i, c := range responses {
			a := <-c
			booked := f.Plains["desk-0"].Bookings(fmt.Sprint("van", i)) + f.Plains["desk-1"].Bookings(fmt.Sprint("van", i))
			if a.runIs("not_run") {
				notRun++
				is.Equal(booked, 0)
			} else {
				is.True(a.runIs("unknown") && booked == 1)
			}
		}
		is.Equal(notRun, 8)
	})
}

// Guards against an idle connection that drops traffic and delays the next request
// by more than the acknowledgement timeout of 20 ms.
func TestIdleSilentConnection(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient, BothWays} {
		runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			is := is.New(t)
			for i := range 8 {
				post(t, f, "/book", fmt.Sprint("warm", i))
			}
			time.Sleep(10 * time.Second)
			for _, a := range f.Agents {
				n.DropTraffic(a.Address, d)
			}
			begin := time.Now()
			code, body := post(t, f, "/book", "van")
			took := time.Since(begin)
			is.Equal(code, 200)
			is.True(strings.Contains(body, "van"))
			t.Logf("connection drops traffic, direction %d: %s", d, took)
			is.True(took <= 20*time.Millisecond)
			is.Equal(f.Plains["desk-0"].Bookings("van")+f.Plains["desk-1"].Bookings("van"), 1)
		})
	}
}

// Guards against missing backpressure: the stream of a slow caller must arrive
// complete and must not accumulate in the entry or the agent.
func TestSlowCallerAppliesBackpressure(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		const tokens, pause = 20_000, 15 * time.Second // 1 ms and 170 bytes a token
		begin := time.Now()
		resp, r, want := openStream(t, f, t.Context(), 1, tokens)
		defer resp.Body.Close()
		first, err := r.ReadString('\n')
		is.NoErr(err)
		time.Sleep(pause)
		rest, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(completeText(t, first+string(rest)), want)
		bufferedTime := pause + tokens*time.Millisecond - time.Since(begin)
		t.Logf("buffered ahead of the caller: %s of tokens", bufferedTime)
		is.True(bufferedTime < 3*time.Second) // 0.5 MB in all buffers together
	})
}

// Guards against two repeats of a call that keep detaching each other from its
// attempt, which costs a new connection each time.
func TestTwoReadersOfOneBooking(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		addEntry(t, f)
		setPlainFaults(f, plain.Faults{Delay: 2500 * time.Millisecond})
		before := openConnections(f)
		first := postAsync(f, 0, "van", "k")
		time.Sleep(200 * time.Millisecond)
		second, third := postAsync(f, 1, "van", "k"), postAsync(f, 1, "van", "k")
		for _, c := range []<-chan response{first, second, third} {
			is.Equal((<-c).code, 200)
		}
		is.Equal(totalCalls(f), 1)
		is.Equal(openConnections(f), before)
	})
}

// openConnections returns the number of open connections to the agents.
func openConnections(f *Fleet) (n int) {
	for _, a := range f.Agents {
		n += len(f.Network.(*MemoryNetwork).connections(a.Address))
	}
	return n
}

// Guards against a connection leak: a call whose link was closed may dial a new
// connection, which must be closed as well.
func TestClosedLinkClosesItsConnections(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		setPlainFaults(f, plain.Faults{Delay: 10 * time.Second})
		c := postAsync(f, 0, "van", "")
		time.Sleep(time.Second)
		f.Hosts.Set(nil) // the agents leave the host list, so their links are closed
		time.Sleep(2 * time.Second)
		for _, a := range f.Agents {
			n.DropTraffic(a.Address, BothWays)
		}
		is.Equal((<-c).code, 200)
		time.Sleep(time.Second)
		is.Equal(openConnections(f), 0)
	})
}
