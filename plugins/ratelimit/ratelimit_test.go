package ratelimit

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/route"
)

// Guards against rate limits that are used up by short prompts, while long ones crowd the
// endpoints without a limit: what a limited endpoint could compute is then left unused.
func TestLongPromptsUseRateLimits(t *testing.T) {
	const waitMs = 200 // at the endpoint without a limit
	for name, tc := range map[string]struct {
		used      float64
		prefillMs float64
		tokens    int64
		limited   bool
	}{
		"unused, short prompt":    {0, 10, 900, true},
		"half used, short prompt": {0.5, 10, 900, false},
		"last one, short prompt":  {1, 10, 900, false},
		"half used, long prompt":  {0.5, 100, 9000, true},
		"last one, long prompt":   {1, 100, 9000, true},
		"last one, no prompt":     {1, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints := []route.Endpoint{{RateLimitUsed: tc.used, OwnPrefillMs: tc.prefillMs}, {OwnPrefillMs: tc.prefillMs}}
			scores := []float64{tc.prefillMs, tc.prefillMs + waitMs}
			Price{}.Score(&route.Request{Tokens: tc.tokens}, endpoints, scores)
			is.New(t).Equal(scores[0] < scores[1], tc.limited)
		})
	}
}
