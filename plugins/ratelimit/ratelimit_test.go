package ratelimit

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/route"
)

// Guards against rate limits that are used up by short prompts, while long ones crowd the
// endpoints without a limit: what a limited endpoint could compute is then left unused. In
// an overload the waits there are long, and short prompts come more often than long ones.
func TestLongPromptsUseRateLimits(t *testing.T) {
	const (
		usualTokens    = 3200
		waitMs         = 200 // at the endpoint without a limit
		overloadWaitMs = 400
	)
	for name, tc := range map[string]struct {
		used      float64
		prefillMs float64
		tokens    int64
		waitMs    float64
		limited   bool
	}{
		"unused, short prompt":               {0, 10, 900, waitMs, true},
		"half used, short prompt":            {0.5, 10, 900, waitMs, false},
		"last one, short prompt":             {1, 10, 900, waitMs, false},
		"half used, long prompt":             {0.5, 100, 9000, waitMs, true},
		"last one, long prompt":              {1, 100, 9000, waitMs, true},
		"last one, no prompt":                {1, 0, 0, waitMs, true},
		"half used, short prompt, overload":  {0.5, 15, 2300, overloadWaitMs, false},
		"eighth used, usual one, overload":   {0.125, 20, usualTokens, overloadWaitMs, false},
		"half used, twice as long, overload": {0.5, 40, 2 * usualTokens, overloadWaitMs, true},
		// A slow endpoint doesn't make a short prompt a long one.
		"half used, short prompt, slow endpoints": {0.5, 100, 900, waitMs, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints := []route.Endpoint{{RateLimitUsed: tc.used, OwnPrefillMs: tc.prefillMs}, {OwnPrefillMs: tc.prefillMs}}
			scores := []float64{tc.prefillMs, tc.prefillMs + tc.waitMs}
			Price{}.Score(&route.Request{Tokens: tc.tokens, UsualPrefillTokens: usualTokens}, endpoints, scores)
			is.New(t).Equal(scores[0] < scores[1], tc.limited)
		})
	}
}
