package gateway

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

func listedEndpoint(i int) catalog.Endpoint {
	return catalog.Endpoint{Host: infra.Host{ID: fmt.Sprint("i-", i), Service: "s", Kind: infra.Engine, Address: "192.0.2.1:80", Region: "r", State: infra.Live}, BootID: "1"}
}

// Guards against excluding an endpoint that loads weights forever when the announcement is not
// renewed, and against sending it requests before that.
func TestUpdatingMarkEndsWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := member.NewTracker()
		d := NewDirectory(members, route.NewTracker(), zap.NewNop())
		d.Put(listedEndpoint(0), 1)
		state := func() member.State { return members.Service("s")[0].State }
		d.SetUpdating(map[string]bool{"i-0": true})
		time.Sleep(updatingTTL - time.Millisecond)
		is.Equal(state(), member.Updating)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		is.Equal(state(), member.Ready)
	})
}

// Guards against an old configuration after a restart of a large fleet: a gateway serves
// with the configuration of its first list until all endpoints of the list are applied,
// and took seconds for it, because each of 3,000 changes copied the whole list.
func TestEndpointChangeCostsTheSameInLargeFleet(t *testing.T) {
	is := is.New(t)
	const fleet, maxBytesPerChange = 3000, 4096
	d := NewDirectory(member.NewTracker(), route.NewTracker(), zap.NewNop())
	for i := range fleet {
		d.Put(listedEndpoint(i), int64(i))
	}
	result := testing.Benchmark(func(b *testing.B) {
		for n := range b.N {
			e := listedEndpoint(n % fleet)
			e.BootID = fmt.Sprint(n)
			d.Put(e, int64(n))
		}
	})
	t.Logf("%d bytes allocated for a change in %d endpoints", result.AllocedBytesPerOp(), fleet)
	is.True(result.AllocedBytesPerOp() < maxBytesPerChange)
}

// Guards against seconds without changes when the entries of a large fleet are removed
// after an outage of the store: each removal copied the whole list.
func TestRemovalCostsTheSameInLargeFleet(t *testing.T) {
	is := is.New(t)
	const fleet, maxBytesPerRemoval = 3000, 4096
	d := NewDirectory(member.NewTracker(), route.NewTracker(), zap.NewNop())
	for i := range fleet {
		d.Put(listedEndpoint(i), int64(i))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range fleet {
		d.Remove(fmt.Sprint("i-", i), int64(fleet+i))
	}
	runtime.ReadMemStats(&after)
	perRemoval := (after.TotalAlloc - before.TotalAlloc) / fleet
	t.Logf("%d bytes allocated for a removal from %d endpoints", perRemoval, fleet)
	is.True(perRemoval < maxBytesPerRemoval)
}

// Guards against an endpoint that loads weights and receives requests, or that receives
// none after it has loaded them.
func TestUpdatingEndpointsAreMarked(t *testing.T) {
	is := is.New(t)
	members := member.NewTracker()
	d := NewDirectory(members, route.NewTracker(), zap.NewNop())
	d.Put(listedEndpoint(1), 1)
	d.Put(listedEndpoint(2), 2)
	states := func() []member.State {
		var out []member.State
		for _, e := range members.Service("s") {
			out = append(out, e.State)
		}
		return out
	}
	d.SetUpdating(map[string]bool{"i-1": true})
	is.Equal(states(), []member.State{member.Updating, member.Ready})
	d.Put(listedEndpoint(1), 3) // a new list entry doesn't end the update
	is.Equal(states(), []member.State{member.Updating, member.Ready})
	d.SetUpdating(map[string]bool{"i-2": true})
	is.Equal(states(), []member.State{member.Ready, member.Updating})
	d.Remove("i-2", 4)
	d.SetUpdating(nil)
	is.Equal(states(), []member.State{member.Ready})
}

// Guards against requests to an endpoint that has ended, because its entry is still listed,
// or again after the store was restored, beside that of its successor at the same address:
// the successor refuses them, beyond the limit that it has announced.
func TestEndpointWithSuccessorAtItsAddressIsNotUsed(t *testing.T) {
	is := is.New(t)
	members := member.NewTracker()
	d := NewDirectory(members, route.NewTracker(), zap.NewNop())
	ready := func() (ids []string) {
		for _, e := range members.Service("s") {
			if e.State == member.Ready {
				ids = append(ids, e.ID)
			}
		}
		slices.Sort(ids)
		return ids
	}
	put := func(i int, boot, address string) {
		e := listedEndpoint(i)
		e.BootID, e.Address = boot, address
		d.Put(e, 1)
	}
	put(1, "1000", "192.0.2.1:80")
	put(2, "2000", "192.0.2.1:80")
	put(3, "500", "192.0.2.3:80")
	is.Equal(ready(), []string{"i-2", "i-3"})
	put(1, "1000", "192.0.2.1:80") // listed again
	is.Equal(ready(), []string{"i-2", "i-3"})
	d.Remove("i-1", 2)
	put(1, "1000", "192.0.2.1:80")
	is.Equal(ready(), []string{"i-2", "i-3"})
	put(2, "2000", "192.0.2.2:80") // the entry that was there was wrong
	is.Equal(ready(), []string{"i-1", "i-2", "i-3"})
	put(2, "2000", "192.0.2.1:80")
	d.Remove("i-2", 3)
	is.Equal(ready(), []string{"i-1", "i-3"})
	put(4, "odd", "192.0.2.1:80") // its start is not known
	is.Equal(ready(), []string{"i-1", "i-3", "i-4"})
}

// Guards against an endpoint that is taken for the one before it at its address, and gets no
// requests, because the clock of its host jumped back between the two starts.
func TestSuccessorAfterClockJump(t *testing.T) {
	is := is.New(t)
	members := member.NewTracker()
	d := NewDirectory(members, route.NewTracker(), zap.NewNop())
	ready := func() (ids []string) {
		for _, e := range members.Service("s") {
			if e.State == member.Ready {
				ids = append(ids, e.ID)
			}
		}
		return ids
	}
	put := func(i int, startedMs, revision int64) {
		e := listedEndpoint(i)
		e.BootID, e.Address = strconv.FormatInt(startedMs, 10), "192.0.2.1:80"
		d.Put(e, revision)
	}
	put(1, 100_000, 5)
	put(2, 97_000, 6) // started 2 s later by a clock that was 5 s ahead before
	is.Equal(ready(), []string{"i-2"})
	put(1, 100_000, 7) // its entry is written once more
	is.Equal(ready(), []string{"i-2"})
	d.Remove("i-1", 8)
	put(1, 100_000, infra.Revision(1, 4)) // listed again by a restored store, which doesn't know the successor yet
	is.Equal(ready(), []string{"i-1"})    // the start times alone decide
	d.Remove("i-2", 9)
	put(2, 97_000, infra.Revision(1, 5))
	is.Equal(ready(), []string{"i-2"})
	put(3, 40_000, infra.Revision(1, 6)) // an entry of long before that is written once more
	is.Equal(ready(), []string{"i-2"})
}
