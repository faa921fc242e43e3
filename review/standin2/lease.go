package main

import "time"

const (
	// drills is the number of drills of the store.
	drills = 12
	// leaseEngines is the number of engines of the case.
	leaseEngines = 38
	// leaseRewrite is the time from a drill until the operator and the engines have written again.
	leaseRewrite = 800 * time.Millisecond
	// copyDelay is the time from then until a copy of the store is made.
	copyDelay = 1700 * time.Millisecond
	// rolloutTime is the time in which new weights are rolled out.
	rolloutTime = 4 * time.Second
)

// playLease has drills of the store. Each time it comes back from a copy that was made shortly before
// the holder of the rollout lock acquired it.
func playLease(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, leaseEngines)
	defer s.close()
	if err != nil {
		return false, err
	}
	restore, copied := s.first, r.start
	for range drills {
		g, l, err := s.awaitHolder()
		if err != nil {
			return false, err
		}
		s.record.add("%s holds the rollout lock, revision %d, lease %d", g.name, l.Revision, l.Lease)
		s.nameVersion()
		time.Sleep(rolloutTime)
		if trouble {
			s.drill(restore, copied, leaseRewrite)
		}
		time.Sleep(copyDelay)
		restore, copied = s.store.Snapshot(), time.Now()
	}
	return s.checkOrders(), nil
}
