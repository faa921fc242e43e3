package peer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/peer/pb"
)

// Guards against announcements that lose a field on their way, a limit of an endpoint that
// is not named, and malformed ones that stop the process or the endpoint.
func TestAnnouncementsRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	i := catalog.Incarnation{ID: "e", BootID: "7", Address: "192.0.2.1:80"}
	is.Equal(decodeIncarnations(encodeIncarnations([]catalog.Incarnation{i})), []catalog.Incarnation{i})
	limits := []catalog.RateLimit{{Incarnation: i, PerSecond: 6.1, At: now.Add(-300 * time.Millisecond)}, {Incarnation: i, PerSecond: math.Inf(1), At: now}}
	is.Equal(decodeRateLimits(encodeRateLimits(limits, now), now), limits)
	malformed := []*pb.RateLimit{{PerSecond: math.NaN()}, {PerSecond: -1}, {PerSecond: 2, AgeMs: -5}}
	is.Equal(decodeRateLimits(malformed, now), []catalog.RateLimit{{PerSecond: 2, At: now}})
}
