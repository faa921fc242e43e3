package peer

import (
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/peer/pb"
)

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
		out = append(out, &pb.Incarnation{Endpoint: i.ID, BootId: i.BootID, Address: i.Address})
	}
	return out
}

func decodeIncarnations(incarnations []*pb.Incarnation) []catalog.Incarnation {
	out := make([]catalog.Incarnation, 0, len(incarnations))
	for _, i := range incarnations {
		out = append(out, catalog.Incarnation{ID: i.Endpoint, BootID: i.BootId, Address: i.Address})
	}
	return out
}
