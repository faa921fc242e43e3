package agent_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Guards against metrics that do not match the attempts and refusals of the agent.
func TestMetrics(t *testing.T) {
	withHarness(t, 2, func(r *harness) {
		is := is.New(r)
		r.run(context.Background(), r.newOpen("a", "a", 5))
		old := r.newOpen("b", "a", 5)
		old.Incarnation = "other"
		is.Equal(r.run(context.Background(), old).refused.Code, pb.RefusalCode_REFUSAL_INCARNATION)
		got := map[string]float64{}
		families, err := r.registry.Gather()
		is.NoErr(err)
		for _, f := range families {
			for _, m := range f.Metric {
				got[f.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
			}
		}
		for name, want := range map[string]float64{"attempts_total": 1, "refusals_total": 1, "queue_wait_seconds": 1, "running": 0,
			"queued": 0, "known_attempts": 1, "resumes_total": 0} {
			v, ok := got["citrontiller_agent_"+name]
			is.True(ok)
			is.Equal(v, want)
		}
	})
}
