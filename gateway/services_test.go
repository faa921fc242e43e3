package gateway

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against an entry of a service that no configuration names, which another writer has
// left, that counts in any way: as the successor at an address, as an engine that loads weights,
// or in the load of a region.
func TestEntryOfUnnamedServiceCountsForNothing(t *testing.T) {
	is := is.New(t)
	members := member.NewTracker()
	d := NewDirectory(members, route.NewTracker(), zap.NewNop())
	entry := func(id, service, boot string) catalog.Endpoint {
		return catalog.Endpoint{Host: infra.Host{ID: id, Service: service, Address: "192.0.2.1:80", Region: "r", Kind: infra.Engine, State: infra.Live},
			BootID: boot, Weights: map[string]int64{"m": 1}}
	}
	state := func(service string) (states []member.State) {
		for _, e := range members.Service(service) {
			states = append(states, e.State)
		}
		return states
	}
	engines := func() (ids []string) {
		for _, e := range d.Engines("m") {
			ids = append(ids, e.ID)
		}
		return ids
	}
	ready, superseded := []member.State{member.Ready}, []member.State{member.Leaving}
	d.Put(entry("i-1", "s", "1000"), 1)
	d.Put(entry("x", "inventory", "50000"), 2) // before any configuration is known
	d.NameServices([]string{"s"})
	is.Equal(state("s"), ready)
	d.Put(entry("x", "inventory", "90000"), 3)
	is.Equal(state("s"), ready)
	is.Equal(state("inventory"), nil)
	is.Equal(engines(), []string{"i-1"})
	is.Equal(d.RegionEngines("r"), []string{"i-1"})
	is.Equal(d.Incarnation("x"), catalog.Incarnation{ID: "x"})

	d.NameServices([]string{"inventory"}) // by a later configuration, which drops the other service
	is.Equal(state("inventory"), ready)
	is.Equal(state("s"), superseded)
	is.Equal(len(engines()), 2)
	d.Remove("x", 4)
	is.Equal(state("s"), ready)

	d.Put(entry("i-1", "other", "1000"), 5) // another writer has overwritten the entry
	is.Equal(engines(), nil)
	d.Remove("i-1", 6)
	d.NameServices([]string{"other"})
	is.Equal(engines(), nil)
}
