package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against a candidate that is judged by the version of another model's weights, and
// against cached parts that are fetched from an engine with another version of the model.
func TestCandidateHasVersionOfRequestsModel(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tr := route.NewTracker()
	all := members(2)
	versions := []map[string]int64{{"alpha": 1, "beta": 2}, {"alpha": 1, "beta": 1}}
	for i, m := range all {
		tr.Report(m.ID, route.Report{Key: i + 1, Load: route.Load{BootID: "1/a", ModelVersions: versions[i]}}, now)
	}
	noReport := func(member.Endpoint) route.Report { return route.Report{} }
	for model, want := range map[string][]int64{"alpha": {1, 1}, "beta": {2, 1}, "other": {0, 0}} {
		r := &route.Request{Service: "s", Model: model, Levels: []prefix.Level{{Hash: 1, Tokens: 800}, {Hash: 2, Tokens: 1400}}}
		candidates := tr.Snapshot(r, all, noReport, now)
		for i, e := range candidates {
			is.Equal(e.Load.WeightsVersion, want[i])
		}
		home := func(prefix.Level) string { return all[1].ID }
		_, ok := tr.Source(r, all, &candidates[0], home, now)
		is.Equal(ok, want[0] == want[1])
	}
}
