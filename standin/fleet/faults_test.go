package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// settleTime is longer than a request's deadline: whatever still runs then is leaked.
const settleTime = 6 * time.Minute

// simulate runs a fleet on an in-memory network under virtual time. It fails
// when a goroutine outlives the fleet by more than settleTime.
func simulate(t *testing.T, test func(t *testing.T, f *Fleet, n *MemoryNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(settleTime) }) // after the fleet's Close
		n := NewMemoryNetwork()
		f := start(t, n)
		time.Sleep(2 * time.Second) // agents and hosts are known
		test(t, f, n)
	})
}

// total is the number of calls the plain endpoints counted.
func total(f *Fleet) (n int) {
	for _, p := range f.Plains {
		n += p.Total()
	}
	return n
}

func setFaults(f *Fleet, faults plain.Faults) {
	for _, p := range f.Plains {
		p.SetFaults(faults)
	}
}

// Guards against a connection that goes silent in one or both directions: the
// booking must run once, its answer arrive whole, and the watch must not stay
// behind on the silent connection, where it would miss that the agent leaves.
func TestSilentConnection(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient, BothWays} {
		simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			is := is.New(t)
			setFaults(f, plain.Faults{Delay: 500 * time.Millisecond, Padding: 200 << 10})
			time.AfterFunc(200*time.Millisecond, func() {
				for _, a := range f.Agents {
					n.DropTraffic(a.Address, d)
				}
			})
			code, body := post(t, f, "/book", "van")
			is.Equal(code, 200)
			is.True(len(body) > 200<<10)
			is.Equal(total(f), 1)
			for _, a := range f.Agents {
				a.Leave()
			}
			time.Sleep(3 * time.Second)
			left := 0
			for _, m := range f.Entries[0].Members.Service("desk") {
				if m.State == member.Leaving {
					left++
				}
			}
			is.True(left >= 1) // the agent that served the call
		})
	}
}

// Guards against a non-idempotent call that holds its slot for good because
// its response outgrew the replay buffer after the entry was gone.
func TestAbandonedResponseFreesSlot(t *testing.T) {
	simulate(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		setFaults(f, plain.Faults{Delay: time.Second, Padding: 200 << 10})
		go func() { _, _, _ = tryPost(f, 0, "/book", "van", "") }()
		time.Sleep(500 * time.Millisecond)
		for _, a := range f.Agents {
			n.Stop(a.Address)
		}
		time.Sleep(time.Minute)
		is.Equal(total(f), 1)
		for _, a := range f.Agents {
			is.NoErr(a.Drain(t.Context()))
		}
	})
}
