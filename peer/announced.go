package peer

import (
	"math"
	"time"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/peer/pb"
)

// Announcements returns what endpoints have announced in responses.
type Announcements interface {
	// LeavingEndpoints returns the endpoints that leave.
	LeavingEndpoints() []catalog.Incarnation
	// RateLimits returns the rate limits in force.
	RateLimits() []catalog.RateLimit
}

// PublishLeaving sends all followers the endpoints that have announced to this process
// that they leave. It never blocks.
func (s *Server) PublishLeaving(leaving []catalog.Incarnation) {
	s.broadcast(&pb.Batch{Leaving: encodeIncarnations(leaving)})
}

// RelayLeaving passes on what another process has sent with PublishLeaving. It never
// blocks.
func (s *Server) RelayLeaving(leaving []catalog.Incarnation, sameRegion bool) {
	s.relay(&pb.Batch{Leaving: encodeIncarnations(leaving)}, sameRegion)
}

func encodeIncarnations(incarnations []catalog.Incarnation) []*pb.Incarnation {
	out := make([]*pb.Incarnation, 0, len(incarnations))
	for _, i := range incarnations {
		out = append(out, encodeIncarnation(i))
	}
	return out
}

func encodeIncarnation(i catalog.Incarnation) *pb.Incarnation {
	return &pb.Incarnation{Endpoint: i.ID, BootId: i.BootID, Address: i.Address}
}

func decodeIncarnations(incarnations []*pb.Incarnation) []catalog.Incarnation {
	out := make([]catalog.Incarnation, 0, len(incarnations))
	for _, i := range incarnations {
		out = append(out, decodeIncarnation(i))
	}
	return out
}

// decodeIncarnation accepts a missing incarnation, whose fields are then empty.
func decodeIncarnation(i *pb.Incarnation) catalog.Incarnation {
	return catalog.Incarnation{ID: i.GetEndpoint(), BootID: i.GetBootId(), Address: i.GetAddress()}
}

// PublishRateLimit sends all followers what an endpoint has announced to this process on
// its rate limit, with the next events. It never blocks.
func (s *Server) PublishRateLimit(r catalog.RateLimit) {
	limit := encodeRateLimit(r, time.Now())
	s.sameRegion.addRateLimit(limit)
	s.crossRegion.addRateLimit(limit)
	s.control.addRateLimit(limit)
}

// RelayRateLimits passes on what another process has sent with PublishRateLimit. It never
// blocks.
func (s *Server) RelayRateLimits(limits []catalog.RateLimit, sameRegion bool) {
	s.relay(&pb.Batch{RateLimits: encodeRateLimits(limits, time.Now())}, sameRegion)
}

func encodeRateLimit(r catalog.RateLimit, now time.Time) *pb.RateLimit {
	return &pb.RateLimit{Endpoint: encodeIncarnation(r.Incarnation), PerSecond: r.PerSecond, AgeMs: now.Sub(r.At).Milliseconds()}
}

func encodeRateLimits(limits []catalog.RateLimit, now time.Time) []*pb.RateLimit {
	out := make([]*pb.RateLimit, 0, len(limits))
	for _, r := range limits {
		out = append(out, encodeRateLimit(r, now))
	}
	return out
}

// decodeRateLimits leaves out rate limits that are not valid.
func decodeRateLimits(limits []*pb.RateLimit, now time.Time) []catalog.RateLimit {
	out := make([]catalog.RateLimit, 0, len(limits))
	for _, r := range limits {
		if r.PerSecond < 0 || math.IsNaN(r.PerSecond) {
			continue
		}
		out = append(out, catalog.RateLimit{Incarnation: decodeIncarnation(r.Endpoint), PerSecond: r.PerSecond,
			At: now.Add(-time.Duration(max(0, r.AgeMs)) * time.Millisecond)})
	}
	return out
}
