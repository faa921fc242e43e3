package config

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// startDelay is the mean delay before the first read. Its jitter spreads the
	// reads of processes that start together.
	startDelay = 100 * time.Millisecond
	// minBehindPolls is the number of consecutive polls that must find a lower
	// generation before the higher one is written back. A single one may have
	// been served by a lagging replica.
	minBehindPolls = 3
	// maxWriteBacks limits the writes after one poll, so that ten entries within
	// one interval stay below the store's limit of a few hundred writes per second.
	maxWriteBacks = 16
	// pollsPerFullRead sets how often a poll reads values: one poll in this many.
	// The others read keys and revisions only: the values of 35 documents of 5 KB
	// every 5 s would use 35 KB/s, and the limit of a process is 2 KB/s.
	pollsPerFullRead = 60
)

// keyScanner is implemented by drivers that can list keys and revisions without
// values.
type keyScanner interface {
	Scan(ctx context.Context, prefix string) ([]infra.Pair, int64, error)
}

// follower synchronizes a table with the store. It is used by one goroutine.
type follower struct {
	*Store
	table    *Table
	interval time.Duration
	polls    int
	states   map[string]*storeState
}

// storeState is the last known state of a service in the store.
type storeState struct {
	revision int64
	// record is nil when the stored value is missing or unreadable.
	record *Record
	// behindPolls counts the consecutive polls that found a lower generation, no
	// record or a divergent one.
	behindPolls int
}

// Follow keeps the table up to date until ctx ends. It watches the store, and also
// polls it every interval because a watch may stop delivering events without
// closing. It writes the record in force back to the store when consecutive polls
// return a lower generation.
func (s *Store) Follow(ctx context.Context, t *Table, interval time.Duration) {
	f := &follower{Store: s, table: t, interval: interval, states: map[string]*storeState{}}
	wait.Sleep(ctx, f.jitter(startDelay))
	failures := 0
	for ctx.Err() == nil {
		revision, err := f.poll(ctx)
		if err != nil {
			s.logger().Warn("store not read", zap.Error(err))
			wait.Sleep(ctx, min(f.backoff(err, failures), interval))
			failures++
			continue
		}
		failures = 0
		f.watch(ctx, revision, f.jitter(interval))
	}
}

// poll reads the store, updates the table, repairs records that are outdated in the
// store and returns the store's revision.
func (f *follower) poll(ctx context.Context) (int64, error) {
	pairs, revision, err := f.list(ctx)
	if err != nil {
		return 0, err
	}
	present := map[string]bool{}
	for _, p := range pairs {
		service := strings.TrimPrefix(p.Key, ServicePrefix)
		present[service] = true
		f.processPair(ctx, service, p)
	}
	for service := range f.states {
		if !present[service] {
			f.states[service].revision, f.states[service].record = 0, nil
		}
	}
	f.repairStore(ctx)
	return revision, nil
}

// list returns the services' pairs. Their values are nil if the driver implements
// keyScanner and this is not a full poll.
func (f *follower) list(ctx context.Context) ([]infra.Pair, int64, error) {
	sc, ok := f.KV.(keyScanner)
	full := f.polls%pollsPerFullRead == 0
	f.polls++
	if !ok || full {
		return f.KV.List(ctx, ServicePrefix)
	}
	return sc.Scan(ctx, ServicePrefix)
}

// processPair updates the table from a pair. It reads a missing value from the
// store if the revision has changed.
func (f *follower) processPair(ctx context.Context, service string, p infra.Pair) {
	if p.Value == nil {
		if s := f.states[service]; s != nil && s.revision == p.Revision {
			return
		}
		var err error
		if p, err = f.KV.Get(ctx, ServicePrefix+service); err != nil {
			f.logger().Warn("store not read", zap.String("service", service), zap.Error(err))
			return
		}
	}
	f.update(service, p)
}

// update passes a stored value to the table. It logs a refused value once per
// revision.
func (f *follower) update(service string, p infra.Pair) {
	s := f.states[service]
	if s == nil {
		s = &storeState{}
		f.states[service] = s
	}
	seenBefore := s.revision == p.Revision
	s.revision, s.record = p.Revision, nil
	r, err := Decode(p.Value)
	if err == nil {
		s.record = r
		var accepted bool
		if accepted, err = f.table.SetIfNewer(service, r); accepted {
			f.logger().Info("configuration in force", zap.String("service", service), zap.Int64("generation", r.Generation),
				zap.String("author", r.Author), zap.String("change_id", r.ChangeID))
		}
	}
	if err != nil && !seenBefore {
		f.logger().Error("configuration refused; the last valid one stays in force", zap.String("service", service),
			zap.Int64("revision", p.Revision), zap.Error(err))
	}
}

// repairStore writes the record in force back where the store has an older one or
// none, and gives divergent edits the next generation.
func (f *follower) repairStore(ctx context.Context) {
	writes := 0
	for _, service := range f.table.Services() {
		e, _ := f.table.Get(service)
		s := f.states[service]
		if s == nil {
			s = &storeState{}
			f.states[service] = s
		}
		divergent := s.record != nil && s.record.Generation <= e.Record.Generation && !e.Record.includes(s.record)
		switch {
		case s.record == nil && s.revision > 0, s.record != nil && s.record.Generation > e.Record.Generation:
			// The stored value is unreadable or was refused. Only an operator may
			// overwrite it.
			s.behindPolls = 0
			continue
		case s.record != nil && s.record.Generation == e.Record.Generation && !divergent:
			s.behindPolls = 0
			continue
		}
		s.behindPolls++
		if (divergent || s.behindPolls >= minBehindPolls) && writes < maxWriteBacks {
			writes++
			f.writeBack(ctx, service, s, e.Record, divergent)
		}
	}
}

// writeBack replaces the stored record by r. A divergent record is an edit that the
// store accepted after it was restored to an older state. The edit was acknowledged
// to its operator, so it is written with the next generation after r: under its own
// generation, which is not higher than that of r, no process would accept it.
func (f *follower) writeBack(ctx context.Context, service string, s *storeState, r *Record, divergent bool) {
	if divergent {
		if _, err := Parse(s.record.Document); err != nil {
			return
		}
		if err := f.archive(ctx, service, r); err != nil {
			f.logger().Warn("record not archived", zap.Error(err))
			return
		}
		r = r.successor(s.record.Document, s.record.ChangeID, s.record.Author)
	}
	other, err := f.write(ctx, service, s.revision, r)
	f.logger().Error("store is behind; record written back", zap.String("service", service), zap.Int64("generation", r.Generation),
		zap.Bool("divergent", divergent), zap.Bool("lost_race", other != nil), zap.Error(err))
	if err == nil && other == nil && divergent {
		_, _ = f.table.SetIfNewer(service, r)
	}
}

// watch applies the changes after revision from, and returns after d or when ctx
// ends. If the watch fails or closes early, it waits for the rest of d.
func (f *follower) watch(ctx context.Context, from int64, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	events, err := f.KV.Watch(ctx, ServicePrefix, from)
	if err != nil {
		<-ctx.Done()
		return
	}
	for {
		select {
		case e, ok := <-events:
			if !ok {
				<-ctx.Done()
				return
			}
			if !e.Deleted {
				f.update(strings.TrimPrefix(e.Key, ServicePrefix), e.Pair)
			}
		case <-ctx.Done():
			return
		}
	}
}
