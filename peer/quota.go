package peer

import (
	"math"
	"slices"

	"github.com/citrontiller/citrontiller/peer/pb"
	"github.com/citrontiller/citrontiller/quota"
)

// PublishQuotaReport sends this process's use of the accounts' limits to the followers of its
// events. It never blocks. Reports have cumulative figures: a follower that misses one
// catches up with the next.
func (s *Server) PublishQuotaReport(r quota.Report) {
	b := &pb.Batch{QuotaReport: encodeQuotaReport(r)}
	s.sameRegion.send(b)
	s.crossRegion.send(b)
}

// encodeQuotaReport names the accounts, so that gateways with different configurations agree on
// them: a usual name takes no more bytes than a hash.
func encodeQuotaReport(r quota.Report) *pb.QuotaReport {
	out := &pb.QuotaReport{Boot: r.Boot, Fleet: r.Fleet, Heard: slices.Clone(r.Heard)}
	for _, s := range r.Spending {
		out.Accounts = append(out.Accounts, s.Account)
		out.Units = append(out.Units, s.Units)
	}
	return out
}

// decodeQuotaReport leaves out figures that are not valid.
func decodeQuotaReport(r *pb.QuotaReport) quota.Report {
	out := quota.Report{Boot: r.Boot, Fleet: r.Fleet, Heard: r.Heard}
	for i, units := range r.Units[:min(len(r.Units), len(r.Accounts))] {
		if units < 0 || math.IsNaN(units) || math.IsInf(units, 0) {
			continue
		}
		out.Spending = append(out.Spending, quota.Spending{Account: r.Accounts[i], Units: units})
	}
	return out
}
