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
	// startSpread spreads the first reads of processes that start together.
	startSpread = 100 * time.Millisecond
	// behindPolls is how many polls in a row must find a lower generation
	// before the higher one is written back; one may be a lagging replica.
	behindPolls = 3
	// maxWriteBacks bounds the writes after one poll. Ten entries within one
	// interval stay below the few hundred writes a second the store takes.
	maxWriteBacks = 16
	// fullPolls is the share of polls that read values, one in this many. The
	// others read keys and revisions only: 35 documents of 5 KB every 5 s would
	// be 35 KB/s, where a process may use 2 KB/s.
	fullPolls = 60
)

// scanner is implemented by drivers that list keys without values.
type scanner interface {
	Scan(ctx context.Context, prefix string) ([]infra.Pair, int64, error)
}

// follower keeps a table up to date with the store.
type follower struct {
	*Store
	table    *Table
	interval time.Duration
	polls    int
	seen     map[string]*stored
}

// stored is what the store last said about a service.
type stored struct {
	revision int64
	// record is nil when the stored value is missing or unreadable.
	record *Record
	// behind counts the polls in a row that found a lower generation.
	behind int
}

// Follow keeps the table up to date until ctx ends. It watches the store, and
// polls it every interval because a watch may go silent without closing. It
// writes the record in force back when the store keeps answering with a lower
// generation.
func (s *Store) Follow(ctx context.Context, t *Table, interval time.Duration) {
	f := &follower{Store: s, table: t, interval: interval, seen: map[string]*stored{}}
	wait.Sleep(ctx, f.jitter(startSpread))
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

// poll compares the store with the table and returns the store's revision.
func (f *follower) poll(ctx context.Context) (int64, error) {
	pairs, revision, err := f.list(ctx)
	if err != nil {
		return 0, err
	}
	present := map[string]bool{}
	for _, p := range pairs {
		service := strings.TrimPrefix(p.Key, ServicePrefix)
		present[service] = true
		f.compare(ctx, service, p)
	}
	for service := range f.seen {
		if !present[service] {
			f.seen[service].revision, f.seen[service].record = 0, nil
		}
	}
	f.restore(ctx)
	return revision, nil
}

// list returns the services' pairs. Their values are nil unless this is a
// full poll.
func (f *follower) list(ctx context.Context) ([]infra.Pair, int64, error) {
	sc, ok := f.KV.(scanner)
	full := f.polls%fullPolls == 0
	f.polls++
	if !ok || full {
		return f.KV.List(ctx, ServicePrefix)
	}
	return sc.Scan(ctx, ServicePrefix)
}

// compare takes a pair, reading its value when the revision is new.
func (f *follower) compare(ctx context.Context, service string, p infra.Pair) {
	if p.Value == nil {
		if s := f.seen[service]; s != nil && s.revision == p.Revision {
			return
		}
		var err error
		if p, err = f.KV.Get(ctx, ServicePrefix+service); err != nil {
			f.logger().Warn("store not read", zap.String("service", service), zap.Error(err))
			return
		}
	}
	f.take(service, p)
}

// take offers a stored value to the table. A refused one is reported once.
func (f *follower) take(service string, p infra.Pair) {
	s := f.seen[service]
	if s == nil {
		s = &stored{}
		f.seen[service] = s
	}
	known := s.revision == p.Revision
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
	if err != nil && !known {
		f.logger().Error("configuration refused; the last valid one stays in force", zap.String("service", service),
			zap.Int64("revision", p.Revision), zap.Error(err))
	}
}

// restore writes records back where the store is behind the table, and
// promotes accepted edits that were made on an older store.
func (f *follower) restore(ctx context.Context) {
	writes := 0
	for _, service := range f.table.Services() {
		e, _ := f.table.Get(service)
		s := f.seen[service]
		if s == nil {
			s = &stored{}
			f.seen[service] = s
		}
		divergent := s.record != nil && s.record.Generation <= e.Record.Generation && !e.Record.includes(s.record)
		switch {
		case s.record == nil && s.revision > 0, s.record != nil && s.record.Generation > e.Record.Generation:
			// Unreadable or refused: an operator's matter, never overwritten.
			s.behind = 0
			continue
		case s.record != nil && s.record.Generation == e.Record.Generation && !divergent:
			s.behind = 0
			continue
		}
		s.behind++
		if (divergent || s.behind >= behindPolls) && writes < maxWriteBacks {
			writes++
			f.writeBack(ctx, service, s, e.Record, divergent)
		}
	}
}

// writeBack replaces the stored record. After an outage the store may have
// come back with an older state and accepted an edit of it. That edit was
// acknowledged to its operator, so it comes into force as the next generation;
// with the store's own generation no process would take it.
func (f *follower) writeBack(ctx context.Context, service string, s *stored, r *Record, divergent bool) {
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

// watch follows changes for at most d.
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
				f.take(strings.TrimPrefix(e.Key, ServicePrefix), e.Pair)
			}
		case <-ctx.Done():
			return
		}
	}
}
