package mirror

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
)

// Guards against a copy that drops every change of a restored store until the store's
// revision has passed that of the copy: a withdrawn key stayed valid for seconds, and the
// store was listed without end.
func TestRestoredStoreIsFollowed(t *testing.T) {
	for _, length := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &hangingStore{fakeStore: newFakeStore()}
			s.put("credential", "valid")
			s.put("route", "1")
			restore := s.snapshot()
			for range 20 {
				s.put("lost", "1")
			}
			m, stop := start(s, Options{PollWait: 4 * time.Second})
			defer synctest.Wait()
			defer stop()
			time.Sleep(time.Second)
			is.Equal(value(m, "lost"), "1")
			s.away.Store(true)
			time.Sleep(length)
			restore()
			s.away.Store(false)
			s.put("credential", "withdrawn")
			time.Sleep(configApplyTime)
			is.Equal(value(m, "credential"), "withdrawn")
			is.Equal(value(m, "route"), "1")
			is.Equal(value(m, "lost"), "none")
			s.put("route", "2")
			time.Sleep(configApplyTime)
			is.Equal(value(m, "route"), "2")
		})
	}
}

// Guards against a time of unrest after a restore that is taken to last longer than it did,
// as by a process that learns of it late: bounds of time would be exceeded.
func TestUnrestEndsWithTheRestore(t *testing.T) {
	const settleTime = 4 * time.Second
	for _, length := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &hangingStore{fakeStore: newFakeStore()}
			s.put("a", "1")
			restore := s.snapshot()
			s.put("a", "2")
			m, stop := start(s, Options{PollWait: 4 * time.Second})
			defer synctest.Wait()
			defer stop()
			time.Sleep(3 * time.Second)
			is.True(m.UnsettledUntil(settleTime).IsZero())
			lost := time.Now()
			s.away.Store(true)
			time.Sleep(length)
			restore()
			restored := time.Now()
			s.away.Store(false)
			s.put("a", "3")
			time.Sleep(configApplyTime)
			is.Equal(value(m, "a"), "3")
			until := m.UnsettledUntil(settleTime)
			is.True(!until.After(restored.Add(settleTime)))
			is.True(!until.Before(lost.Add(-settleTime))) // polls wait up to 4 s
			is.True(!until.After(time.Now()))
		})
	}
}

// Guards against endpoints that are dropped at once because the restored store is older
// than their registration, and against those that stay though they don't register again.
func TestEndpointsMayRegisterAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("before", "1")
		restore := s.snapshot()
		s.put("e/back", "1")
		s.put("e/dead", "1")
		m, stop := start(s, Options{DeferRemoval: func(key string) bool { return strings.HasPrefix(key, "e/") }})
		defer synctest.Wait()
		defer stop()
		time.Sleep(3 * time.Second)
		restore() // no call fails
		time.Sleep(1900 * time.Millisecond)
		is.Equal(value(m, "e/back"), "1")
		s.put("e/back", "2")
		time.Sleep(rejoinGrace)
		is.Equal(value(m, "e/back"), "2")
		is.Equal(value(m, "e/dead"), "none")
	})
}

// Guards against a state that only this system keeps and that a restored store lacks: it
// ended everywhere and nobody wrote it again.
func TestOwnKeysOutliveRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("before", "1")
		restore := s.snapshot()
		s.put("block/1", "1")
		s.put("other", "1")
		var lost []infra.Pair
		retain := func(p infra.Pair) bool { return strings.HasPrefix(p.Key, "block/") }
		m, stop := start(s, Options{Retain: retain, OnRestore: func(pairs []infra.Pair) { lost = pairs }})
		defer synctest.Wait()
		defer stop()
		time.Sleep(time.Second)
		is.True(m.StoredRevision("block/1") > 0)
		restore()
		time.Sleep(configApplyTime)
		is.Equal(value(m, "block/1"), "1")
		is.Equal(value(m, "other"), "none")
		is.Equal(len(lost), 1)
		is.Equal(lost[0].Key, "block/1")
		is.Equal(m.StoredRevision("block/1"), int64(0))
		follower, stopFollower := start(s, Options{Retain: retain, Leader: mirrorLeader{m}})
		defer stopFollower()
		follower.applyChanges(peerChanges(m, 0)) // a process that starts now learns it from its peers
		is.Equal(value(follower, "block/1"), "1")
		s.put("block/1", "again")
		time.Sleep(time.Second)
		is.True(m.StoredRevision("block/1") > 0)
		s.remove("block/1")
		time.Sleep(time.Second)
		is.Equal(value(m, "block/1"), "none")
	})
}

// Guards against a process without access to the store that stays in the state of before
// a restore, and against one that returns to that state because of a peer which is still
// in it.
func TestPeersLearnOfRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("credential", "valid")
		restore := s.snapshot()
		for range 20 {
			s.put("lost", "1")
		}
		m, stop := start(s, Options{})
		defer synctest.Wait()
		defer stop()
		time.Sleep(time.Second)
		refused := &fakeStore{items: s.items, rev: s.rev}
		cut, stopCut := start(refused, Options{Fallback: mirrorFallback{m}})
		defer stopCut()
		time.Sleep(time.Second)
		refused.fail(errDown)
		time.Sleep(2 * time.Second)
		late := peerChanges(cut, 0)
		restore()
		s.put("credential", "withdrawn")
		time.Sleep(2 * time.Second)
		is.Equal(value(cut, "credential"), "withdrawn")
		is.Equal(value(cut, "lost"), "none")
		cut.applyChanges(late)
		m.applyChanges(late)
		is.Equal(value(cut, "credential"), "withdrawn")
		is.Equal(value(m, "lost"), "none")
	})
}
