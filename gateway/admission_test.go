package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against long prompts that are refused for the queue at other endpoints, although
// an endpoint with a rate limit would take them, and against short ones that use its limit up.
func TestStandingQueueIsNotThatOfRateLimitedEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, []responder{ok("")}, []responder{ok("")})
	g := f.gateway
	g.Scheduler = selection.NewDirect(zap.NewNop())
	g.Admission = admit.LoadShedder{Usual: admit.Limits{Other: 0.8}, Overload: admit.Limits{Other: 0.3}}
	c := testConfig
	c.Version++
	c.Routes = []catalog.Route{{Host: "h", Prefix: "/", Kind: catalog.Stream, Priority: 1, Timeout: 2 * time.Second,
		TargetLatency: 1250 * time.Millisecond, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}}}
	c.Index()
	is.True(g.Config.SetIfNewer(&c))
	now := time.Now()
	snapshot := func(r *route.Request, at time.Time) []route.Endpoint {
		return g.Tracker.AppendSnapshot(nil, r, g.Members.Service("s"), nil, noReport, at)
	}
	dispatch := func(endpoint int, tokens int64) {
		r := &route.Request{Service: "s", Region: "r", Tokens: tokens}
		g.Tracker.Dispatch(r, &snapshot(r, now)[endpoint], route.Decision{}, now)
	}
	before := now.Add(-1100 * time.Millisecond) // the limit allows two requests since then
	g.Tracker.SetRateLimit("e1", 2, before, before)
	snapshot(&route.Request{Service: "s"}, before) // from now on requests accrue
	for range 60 {
		dispatch(0, 3200) // 3.2 s
	}
	dispatch(1, 36000) // 0.6 s, one of the two requests
	for range 3 {
		g.StandingQueues.Observe("s", time.Second, now.Add(-time.Second))
	}
	for _, tc := range []struct {
		tokens string
		status int
	}{{"3200", http.StatusServiceUnavailable}, {"12800", http.StatusOK}} {
		req := f.request(t, http.MethodPost, "/1", tc.tokens, "")
		req.Header.Set("Model", "m")
		req.Header.Set("Tokens", tc.tokens)
		resp, err := f.open(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, tc.status)
	}
}
