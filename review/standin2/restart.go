package main

import (
	"fmt"
	"time"
)

const (
	// restarts is the number of restarts of a gateway.
	restarts = 9
	// restartEngines is the number of engines of the case.
	restartEngines = 38
	// copyAge is how old the copy is from which the store comes back. It is more than the length of
	// the lease of the lock.
	copyAge = 4 * time.Second
	// renewalDelay is the time from a renewal of the lock's lease until the store is away.
	renewalDelay = 300 * time.Millisecond
	// restartRewrite is the time from a drill until the operator and the engines have written again.
	restartRewrite = 50 * time.Millisecond
	// restartRollout is the time in which new weights are rolled out.
	restartRollout = 5 * time.Second
)

// playRestart restarts gateways that don't hold the rollout lock, while new weights are rolled out.
// With trouble, there is a drill of the store as each starts again.
func playRestart(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, restartEngines)
	defer s.close()
	if err != nil {
		return false, err
	}
	time.Sleep(restartRollout)
	for range restarts {
		if err := s.restartRound(trouble); err != nil {
			return false, err
		}
	}
	return s.checkOrders(), nil
}

// restartRound restarts a gateway.
func (s *system) restartRound(trouble bool) error {
	holder, l, err := s.awaitHolder()
	if err != nil {
		return err
	}
	g := s.gateways[0]
	if g == holder {
		g = s.gateways[1]
	}
	s.record.add("%s holds the rollout lock, revision %d; SIGTERM to %s", holder.name, l.Revision, g.name)
	restore, copied := s.store.Snapshot(), time.Now()
	s.setLeaving(g)
	g.terminate()
	s.record.add("%s has ended", g.name)
	s.nameVersion()
	if trouble {
		time.Sleep(time.Until(copied.Add(copyAge - awayTime)))
		if err := s.awaitRenewal(l.Lease); err != nil {
			return err
		}
		time.Sleep(renewalDelay)
	}
	s.record.add("%s starts again", g.name)
	if err := g.start(); err != nil {
		return err
	}
	if trouble {
		s.drill(restore, copied, restartRewrite)
	}
	time.Sleep(restartRollout)
	s.setLeaving(nil)
	return g.awaitReady()
}

// awaitRenewal waits until a lease is renewed.
func (s *system) awaitRenewal(lease int64) error {
	path := fmt.Sprintf("/v1/kv-keep/%d", lease)
	timeout := time.After(5 * time.Second)
	for {
		select {
		case renewed := <-s.renewed:
			if renewed == path {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("lease %d isn't renewed", lease)
		}
	}
}
