package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against gateways that bring an older rate limit back, by a response or a report
// that is late, and against reports that are sent again and again.
func TestRateLimitStatementsAreOrdered(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(member.NewTracker(), route.NewTracker(), zap.NewNop())
	e := listedEndpoint(1)
	d.Put(e, 1)
	now := time.Now()
	at := func(perSecond float64, ago time.Duration) catalog.RateLimit {
		return catalog.RateLimit{Incarnation: e.Incarnation(), PerSecond: perSecond, At: now.Add(-ago)}
	}
	none := math.Inf(1)
	is.True(!d.ObserveRateLimit(at(none, 9*time.Second), "r")) // no limit is known
	is.True(d.ObserveRateLimit(at(4, 8*time.Second), "r"))
	is.True(!d.ObserveRateLimit(at(4.1, 7*time.Second), "r")) // told just now
	is.True(d.ObserveRateLimit(at(6, 6*time.Second), "r"))
	is.True(!d.ApplyRateLimit(at(6, 6*time.Second), "g")) // its own report, relayed
	is.True(d.ObserveRateLimit(at(none, 5*time.Second), "r"))
	is.True(!d.ObserveRateLimit(at(6, 6*time.Second), "r"))
	is.True(!d.ApplyRateLimit(at(6, 4900*time.Millisecond), "g"))
	is.Equal(len(d.RateLimits()), 0)
	is.True(d.ApplyRateLimit(at(3, time.Second), "g"))
	is.Equal(d.RateLimits(), []catalog.RateLimit{at(3, time.Second)})
	e.BootID = "2"
	d.Put(e, 2)
	is.Equal(len(d.RateLimits()), 0) // of another incarnation
}
