package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// restarts is the number of restarts of a gateway.
	restarts = 8
	// restartEngines is the number of engines of the case.
	restartEngines = 38
	// minHeld is the time for which the lock has been held when new weights are named. It grows by
	// heldStep from round to round.
	minHeld, heldStep = 1100 * time.Millisecond, 80 * time.Millisecond
	// renewalDelay is the time from that renewal until the store is away.
	renewalDelay = 300 * time.Millisecond
	// restartRewrite is the time from a drill until the operator and the engines have written again.
	restartRewrite = 50 * time.Millisecond
	// restartRollout is the time in which new weights are rolled out.
	restartRollout = 5 * time.Second
)

// playRestart restarts the gateway that holds the rollout lock in turn, while new weights are rolled
// out by the next holder. With trouble, there is a drill of the store as the first one starts again.
func playRestart(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r, restartEngines)
	defer s.close()
	if err != nil {
		return false, err
	}
	time.Sleep(restartRollout)
	for round := range restarts {
		if err := s.restartRound(minHeld+time.Duration(round)*heldStep, trouble); err != nil {
			return false, err
		}
	}
	return s.checkOrders(), nil
}

// restartRound restarts the holder. held is how long the next one has the lock when new weights are
// named. The copy of the store is from the moment between the two holders,
// when nobody held the lock.
func (s *system) restartRound(held time.Duration, trouble bool) error {
	old, l, err := s.awaitHolder()
	if err != nil {
		return err
	}
	s.record.add("%s holds the rollout lock, revision %d; SIGTERM to it", old.name, l.Revision)
	s.setLeaving(old)
	ended := make(chan struct{})
	go func() {
		old.terminate()
		close(ended)
	}()
	if err := s.awaitRelease(); err != nil {
		return err
	}
	restore, copied := s.store.Snapshot(), time.Now()
	<-ended
	s.record.add("%s has ended", old.name)
	next, l, err := s.awaitHolder()
	if err != nil {
		return err
	}
	s.record.add("%s holds the rollout lock, revision %d", next.name, l.Revision)
	time.Sleep(held)
	s.nameVersion()
	if err := s.awaitRenewal(l.Lease); err != nil {
		return err
	}
	time.Sleep(renewalDelay)
	s.record.add("%s starts again", old.name)
	if err := old.start(); err != nil {
		return err
	}
	if trouble {
		s.drill(restore, copied, restartRewrite)
	}
	time.Sleep(restartRollout)
	s.setLeaving(nil)
	return old.awaitReady()
}

// awaitRelease waits until nobody holds the rollout lock.
func (s *system) awaitRelease() error {
	for end := time.Now().Add(holderTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, held := s.readLock(); !held {
			return nil
		}
	}
	return errors.New("the rollout lock isn't released")
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
