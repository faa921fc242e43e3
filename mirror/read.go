package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.Fallback != nil {
		go m.runFallback(ctx)
	}
	backoff := minBackoff
	listed := false
	for ctx.Err() == nil {
		if listed && m.follow(ctx) {
			continue
		}
		if m.doubtful && !m.awaitResponse(ctx) {
			return
		}
		var err error
		if listed {
			err = m.poll(ctx)
		} else {
			err = m.list(ctx)
		}
		if err == nil {
			m.doubtful = false
			if listed {
				backoff = minBackoff
			}
			listed = true
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, infra.ErrCompacted) {
			m.Log.Info("store history is compacted; listing all keys", zap.String("prefix", m.Prefix), zap.Int64("revision", m.position()), zap.Error(err))
			listed = false
		} else {
			m.noteFailure(err)
			m.doubtful = true
		}
		wait.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// noteFailure marks the service as lost, and logs the first error after a response.
func (m *Mirror) noteFailure(err error) {
	m.mu.Lock()
	first := !m.lost
	m.lost = true
	rev := m.revision
	m.mu.Unlock()
	if first {
		m.Log.Warn("store lost", zap.String("prefix", m.Prefix), zap.Int64("revision", rev), zap.Error(err))
	}
}

// noteResponse records a response of the service or the leader, and the end of an
// outage.
func (m *Mirror) noteResponse() {
	now := time.Now()
	m.mu.Lock()
	gap := now.Sub(m.respondedAt)
	lost := m.lost
	if lost && !m.respondedAt.IsZero() && gap > outageThreshold {
		m.resumedAt = now
	}
	if !m.respondedAt.IsZero() && gap > outageThreshold {
		m.gapFrom, m.gapUntil = m.respondedAt, now
	}
	m.respondedAt, m.lost = now, false
	rev := m.revision
	m.mu.Unlock()
	if lost {
		m.Log.Info("store regained", zap.String("prefix", m.Prefix), zap.Int64("revision", rev), zap.Duration("gap", gap))
	}
}

// list reads all keys from the service and removes those that no longer exist. A long
// list is as old as its first page, so the changes made meanwhile are applied with it.
func (m *Mirror) list(ctx context.Context) error {
	pairs, rev, err := m.Source.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.noteResponse()
	pollCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	changes, latest, err := m.Source.Poll(pollCtx, m.Prefix, rev, 0)
	switch {
	case errors.Is(err, infra.ErrCompacted):
		return err
	case err != nil:
		m.Log.Info("changes since the list not read", zap.Int64("revision", rev), zap.Error(err))
	default:
		rev = max(rev, latest)
	}
	// The newest revision of a key wins, so the changes come before the older pairs.
	events := slices.Grow(changes, len(pairs))
	for _, p := range pairs {
		events = append(events, infra.Event{Pair: p})
	}
	m.applyChanges(reply{source: fromList, events: events, revision: rev, complete: true})
	return nil
}

// poll applies the changes of one poll of the service. The first poll after a failure
// doesn't wait for changes, so that a service that fails again is noticed soon.
func (m *Mirror) poll(ctx context.Context) error {
	longest := m.PollWait
	if m.doubtful {
		longest = 0
	}
	pollCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	arriving := &arrivals{}
	go m.guardPoll(pollCtx, arriving, cancel)
	readCtx := infra.WithProgress(pollCtx, func() {
		arriving.note()
		m.noteResponse()
	})
	events, rev, err := m.Source.Poll(readCtx, m.Prefix, m.position(), longest)
	if cause := context.Cause(pollCtx); err != nil && cause != nil {
		return cause
	}
	if err != nil {
		return err
	}
	m.noteResponse()
	m.applyChanges(reply{source: fromPoll, events: events, revision: rev})
	if len(events) > 0 {
		wait.Sleep(ctx, batchDelay)
	}
	return nil
}
