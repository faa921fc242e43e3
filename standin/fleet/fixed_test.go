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

// Guards against a call that is answered "unknown" although it never left the
// agent's queue before its deadline.
func TestDeadlineInQueueIsNotRun(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		editDesk(t, f, `"timeouts":{"request_ms":2000,"max_wait_ms":600000}`, "")
		setFaults(f, plain.Faults{Delay: 3 * time.Second})
		var answers []<-chan answer
		for i := range 40 { // two agents run 16 each
			answers = append(answers, ask(f, 0, fmt.Sprint("van", i), ""))
		}
		notRun := 0
		for i, c := range answers {
			a := <-c
			booked := f.Plains["desk-0"].Bookings(fmt.Sprint("van", i)) + f.Plains["desk-1"].Bookings(fmt.Sprint("van", i))
			if a.says("not_run") {
				notRun++
				is.Equal(booked, 0)
			} else {
				is.True(a.says("unknown") && booked == 1)
			}
		}
		is.Equal(notRun, 8)
	})
}

// Guards against an idle connection whose silence costs the next request more
// than the acknowledgement timeout of 20 ms.
func TestIdleSilentConnection(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient, BothWays} {
		simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
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
			t.Logf("silent connection, direction %d: %s", d, took)
			is.True(took <= 20*time.Millisecond)
			is.Equal(f.Plains["desk-0"].Bookings("van")+f.Plains["desk-1"].Bookings("van"), 1)
		})
	}
}

// Guards against a slow caller whose stream piles up in the entry or the agent,
// or arrives incomplete: the engine must wait for the caller.
func TestSlowCallerStopsTheEngine(t *testing.T) {
	virtual(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		const tokens, pause = 20_000, 15 * time.Second // 1 ms and 170 bytes a token
		begin := time.Now()
		resp, r, want := stream(t, f, t.Context(), 1, tokens)
		defer resp.Body.Close()
		first, err := r.ReadString('\n')
		is.NoErr(err)
		time.Sleep(pause)
		rest, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(streamedText(t, first+string(rest)), want)
		ahead := pause + tokens*time.Millisecond - time.Since(begin)
		t.Logf("the engine ran ahead of the caller by %s of tokens", ahead)
		is.True(ahead < 3*time.Second) // 0.5 MB in all buffers together
	})
}

// Guards against two readers of one booking that take it from each other: each
// loss costs a new connection.
func TestTwoReadersOfOneBooking(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		addEntry(t, f)
		setFaults(f, plain.Faults{Delay: 2500 * time.Millisecond})
		before := dialled(f)
		first := ask(f, 0, "van", "k")
		time.Sleep(200 * time.Millisecond)
		second, third := ask(f, 1, "van", "k"), ask(f, 1, "van", "k")
		for _, c := range []<-chan answer{first, second, third} {
			is.Equal((<-c).code, 200)
		}
		is.Equal(total(f), 1)
		is.Equal(dialled(f), before)
	})
}

// dialled is the number of open connections to the agents.
func dialled(f *Fleet) (n int) {
	for _, a := range f.Agents {
		n += len(f.Network.(*MemoryNetwork).connections(a.Address))
	}
	return n
}

// Guards against connections that a call dials after its link was closed and
// that nobody closes.
func TestClosedLinkClosesItsConnections(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		setFaults(f, plain.Faults{Delay: 10 * time.Second})
		c := ask(f, 0, "van", "")
		time.Sleep(time.Second)
		f.Hosts.Set(nil) // the agents are no longer listed: their links close
		time.Sleep(2 * time.Second)
		for _, a := range f.Agents {
			n.DropTraffic(a.Address, BothWays)
		}
		is.Equal((<-c).code, 200)
		time.Sleep(time.Second)
		is.Equal(dialled(f), 0)
	})
}
