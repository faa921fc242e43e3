package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/standin/plain"
)

// settleTime is longer than a request's deadline. A goroutine that still runs
// afterwards is leaked.
const settleTime = 6 * time.Minute

// runWithLeakCheck runs a test on an in-memory network in virtual time. It fails if
// a goroutine outlives the fleet by more than settleTime.
func runWithLeakCheck(t *testing.T, test func(t *testing.T, f *Fleet, n *MemoryNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(settleTime) }) // after the fleet's Close
		n := NewMemoryNetwork()
		f := start(t, n)
		time.Sleep(2 * time.Second) // the entry has read the host list and connected to the agents
		test(t, f, n)
	})
}

// totalCalls returns the number of calls that the plain services counted.
func totalCalls(f *Fleet) (n int) {
	for _, p := range f.Plains {
		n += p.Total()
	}
	return n
}

func setPlainFaults(f *Fleet, faults plain.Faults) {
	for _, p := range f.Plains {
		p.SetFaults(faults)
	}
}

// Guards against a connection that starts to drop traffic in one or both directions:
// the booking must run once and its response arrive complete. The watch must move to
// the new connection too; otherwise the entry does not see that the agent leaves.
func TestSilentConnection(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient, BothWays} {
		runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
			is := is.New(t)
			setPlainFaults(f, plain.Faults{Delay: 500 * time.Millisecond, Padding: 200 << 10})
			time.AfterFunc(200*time.Millisecond, func() {
				for _, a := range f.Agents {
					n.DropTraffic(a.Address, d)
				}
			})
			code, body := post(t, f, "/book", "van")
			is.Equal(code, 200)
			is.True(len(body) > 200<<10)
			is.Equal(totalCalls(f), 1)
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

// Guards against a non-idempotent call that never releases its slot because its
// response exceeds the replay buffer after the entry was lost.
func TestAbandonedResponseFreesSlot(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		setPlainFaults(f, plain.Faults{Delay: time.Second, Padding: 200 << 10})
		go func() { _, _, _ = tryPost(f, 0, "/book", "van", "") }()
		time.Sleep(500 * time.Millisecond)
		for _, a := range f.Agents {
			n.Stop(a.Address)
		}
		time.Sleep(time.Minute)
		is.Equal(totalCalls(f), 1)
		for _, a := range f.Agents {
			is.NoErr(a.Drain(t.Context()))
		}
	})
}
