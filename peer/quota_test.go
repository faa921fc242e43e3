package peer

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/quota"
)

// Guards against reports that lose a field on their way to another gateway, miss the followers
// of another region, or go to relays that don't count, and against malformed ones that stop
// the receiver or change an account's figures.
func TestQuotaReportRoundTrip(t *testing.T) {
	is := is.New(t)
	in := quota.Report{Boot: 1 << 63, Fleet: 7, Heard: []byte{0x05, 0x80}, Spending: []quota.Spending{{Account: "acme", Units: 1234.5}, {Account: "volo941", Units: 3e9}}}
	s := NewServer("r", nil, nil, nil, zap.NewNop())
	for o, want := range map[*outbox]int{s.sameRegion: 1, s.crossRegion: 1, s.control: 0} {
		batches, unsubscribe := o.subscribe()
		s.PublishQuotaReport(in)
		unsubscribe()
		is.Equal(len(batches), want)
		for range want {
			wire, err := proto.Marshal(<-batches)
			is.NoErr(err)
			var b pb.Batch
			is.NoErr(proto.Unmarshal(wire, &b))
			is.Equal(decodeQuotaReport(b.QuotaReport), in)
		}
	}
	malformed := &pb.QuotaReport{Boot: 1, Accounts: []string{"a", "b", "c", "d", "e"}, Units: []float64{math.NaN(), -1, math.Inf(1), 2}}
	is.Equal(decodeQuotaReport(malformed), quota.Report{Boot: 1, Spending: []quota.Spending{{Account: "d", Units: 2}}})
	is.Equal(decodeQuotaReport(&pb.QuotaReport{Units: []float64{1}}), quota.Report{})
}

// Guards against a list of registered gateways that lacks one or keeps one that has gone: the
// part of the limits that gateways in contact use follows from its length.
func TestGatewaysFollowRegistrations(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, 0)
	is.Equal(s.Gateways(), []string{"g000"})
	for _, name := range []string{"g002", "g001", "g000"} {
		s.Put(Record{Name: name, Address: "127.0.0.1:1", Region: "a"})
	}
	is.Equal(s.Gateways(), []string{"g000", "g001", "g002"})
	s.Remove("g001")
	is.Equal(s.Gateways(), []string{"g000", "g002"})
	s.Remove("g002")
}
