package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

// fleet is a set of processes that exchange their events.
type fleet []*fixture

func newFleet(processes, endpoints int) fleet {
	f := make(fleet, processes)
	for i := range f {
		f[i] = newFixture(endpoints)
		f[i].snapshot(request(0))
	}
	for i := range f {
		f[i].tracker.OnEvent(func(e route.Event) {
			for j := range f {
				if j != i {
					f[j].tracker.ApplyRemoteEvent(fmt.Sprint(i), e, f[j].now)
				}
			}
		})
	}
	return f
}

// Guards against a burst that overloads one endpoint because the processes don't see
// each other's recent dispatches. The prompts share no prefix.
func TestProcessesSpreadBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 12)
	used := map[string]int{}
	for i := range 12 {
		r := &route.Request{Region: "a", Stream: true, Levels: []prefix.Level{{Hash: uint64(1000 + i), Tokens: 4000}}, Tokens: 4000}
		id, _ := f[i%len(f)].send(r)
		used[id]++
	}
	is.True(len(used) >= 11)
	for _, n := range used {
		is.True(n <= 2)
	}
}

// Guards against pending requests of a failed process that keep other processes from
// using the endpoint.
func TestForgetLostProcess(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 1)
	r := &route.Request{Region: "a", Stream: true, Tokens: 50_000}
	f[0].send(r)
	wait := func() float64 { return f[1].snapshot(r)[0].WaitMs }
	is.True(wait() > 0)
	f[1].tracker.ForgetSender("0", f[1].now)
	is.Equal(wait(), 0.0)
}

// Guards against counting requests to another region as computed before they have
// arrived there.
func TestRequestsInTransit(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.members = []member.Endpoint{{Host: f.members[0].Host, State: member.Ready}}
	f.members[0].Region = "b"
	r := &route.Request{Region: "a", Stream: true, Tokens: 500}
	f.send(r)
	before := f.snapshot(r)[0].WaitMs
	f.now = f.now.Add(10 * time.Millisecond)
	f.send(r)
	is.True(f.snapshot(r)[0].WaitMs > 1.5*before)
}
