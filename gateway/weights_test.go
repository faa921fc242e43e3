package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/rollout"
	"github.com/citrontiller/citrontiller/route"
)

// modelsEndpoint returns an engine with some models.
func modelsEndpoint(i int, weights map[string]int64) catalog.Endpoint {
	e := listedEndpoint(i)
	e.Weights = weights
	return e
}

// Guards against an older version that takes the place of a newer one because its list entry, or
// the response to an earlier request, arrives late; and against one that was wrong and stays.
func TestOlderVersionArrivesLate(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(member.NewTracker(), route.NewTracker(), zap.NewNop())
	version := func() int64 { return d.Engines("m")[0].WeightsVersion }
	observe := func(v int64, at time.Time) { d.Observe("i-1", "m", ResponseInfo{WeightsVersion: v}, at) }
	before := time.Now()
	d.Put(modelsEndpoint(1, map[string]int64{"m": 1}), 1)
	d.ApplyPlan(rollout.Plan{Model: "m", Version: 2, Current: []string{"i-1"}, Fence: 1, Number: 1})
	is.Equal(version(), int64(2))
	observe(1, before) // answered before the weights changed
	is.Equal(version(), int64(2))
	d.Put(modelsEndpoint(1, map[string]int64{"m": 1}), 2) // written before
	is.Equal(version(), int64(2))
	observe(99, time.Now())
	observe(3, time.Now().Add(time.Millisecond)) // the engine refuses the wrong version with its own
	is.Equal(version(), int64(3))
	restarted := modelsEndpoint(1, map[string]int64{"m": 1})
	restarted.BootID = "2"
	d.Put(restarted, 3)
	is.Equal(version(), int64(1))
}

// Guards against an engine that gets no requests of a model while it loads weights of another
// one, and against marks of a rollout that end with the plan of another model.
func TestLoadOfOneModelLeavesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := member.NewTracker()
		d := NewDirectory(members, route.NewTracker(), zap.NewNop())
		d.Put(modelsEndpoint(1, map[string]int64{"alpha": 1, "beta": 1}), 1)
		d.Put(modelsEndpoint(2, map[string]int64{"alpha": 1}), 2)
		states := func() (out []member.State) {
			for _, e := range members.Service("s") {
				out = append(out, e.State)
			}
			return out
		}
		plan := func(model string, number int64, updating ...string) {
			is.True(d.ApplyPlan(rollout.Plan{Model: model, Version: 2, Updating: updating, Fence: 1, Number: number}))
		}
		plan("alpha", 1, "i-1", "i-2")
		is.Equal(states(), []member.State{member.Ready, member.Updating})
		is.True(d.loading("alpha")["i-1"])
		is.True(!d.loading("beta")["i-1"])
		plan("beta", 1, "i-1")
		is.Equal(states(), []member.State{member.Updating, member.Updating}) // nothing is left to serve
		plan("beta", 2)
		is.Equal(states(), []member.State{member.Ready, member.Updating})
		is.True(d.loading("alpha")["i-1"])
		time.Sleep(updatingTTL + time.Millisecond)
		synctest.Wait()
		is.Equal(states(), []member.State{member.Ready, member.Ready})
		is.Equal(len(d.loading("alpha")), 0)
	})
}

// Guards against requests to an engine that loads weights of their model and still serves
// another one.
func TestLoadingCandidateIsNotReady(t *testing.T) {
	is := is.New(t)
	candidates := []route.Endpoint{{}, {}, {}}
	for i := range candidates {
		candidates[i].ID, candidates[i].State = listedEndpoint(i).ID, member.Ready
	}
	candidates[2].State = member.Leaving
	markLoading(candidates, map[string]bool{"i-1": true, "i-2": true})
	is.Equal(candidates[0].State, member.Ready)
	is.Equal(candidates[1].State, member.Updating)
	is.Equal(candidates[2].State, member.Leaving)
}
