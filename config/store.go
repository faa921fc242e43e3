package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// writeTries bounds the tries of one write, lost answers included.
	writeTries = 6
	// writePause is the first wait between two tries; it doubles.
	writePause = 50 * time.Millisecond
)

// Store reads and writes records in the key-value service.
type Store struct {
	KV  infra.KV
	Log *zap.Logger
	// Random spreads the tries of entries that start together; nil means the
	// runtime's generator. It is called concurrently.
	Random func() uint64
}

// Conflict reports that another operator's edit was accepted first.
type ConflictError struct {
	Service string
	Base    int64
	Current *Record
	// Changes lead from the document in force to the refused one.
	Changes []Change
}

func (c *ConflictError) Error() string {
	if c.Current.Generation == 0 {
		return fmt.Sprintf("service %q: edited from generation %d, but the service does not exist; generation 0 creates it", c.Service, c.Base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service %q: edited from generation %d, but generation %d by %s is in force", c.Service, c.Base, c.Current.Generation, c.Current.Author)
	for _, ch := range c.Changes {
		fmt.Fprintf(&b, "\n  %s", ch)
	}
	return b.String()
}

// StoreError is a failed operation on the store. Its cause is a infra.Error.
type StoreError struct {
	Op      string
	Service string
	// ChangeID is the id of a change whose outcome is unknown: it may be or
	// come into force. It is empty when nothing was written.
	ChangeID string
	Err      error
}

func (e *StoreError) Error() string {
	s := fmt.Sprintf("%s service %q: %v", e.Op, e.Service, e.Err)
	if e.ChangeID != "" {
		s += fmt.Sprintf("; the outcome of change %s is unknown", e.ChangeID)
	}
	return s
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// Get returns the stored record and its revision.
func (s *Store) Get(ctx context.Context, service string) (*Record, int64, error) {
	p, err := s.KV.Get(ctx, ServicePrefix+service)
	if err != nil {
		return nil, 0, &StoreError{Op: "get", Service: service, Err: err}
	}
	r, err := Decode(p.Value)
	if err != nil {
		return nil, p.Revision, &StoreError{Op: "get", Service: service, Err: err}
	}
	return r, p.Revision, nil
}

// current is Get with an empty record of generation 0 for a new service.
func (s *Store) current(ctx context.Context, service string) (*Record, int64, error) {
	r, revision, err := s.Get(ctx, service)
	if errors.Is(err, infra.ErrNotFound) {
		return &Record{}, 0, nil
	}
	return r, revision, err
}

// List returns the stored record of each service by name. A record that can't
// be read is left out and logged.
func (s *Store) List(ctx context.Context) (map[string]*Record, error) {
	pairs, _, err := s.KV.List(ctx, ServicePrefix)
	if err != nil {
		return nil, &StoreError{Op: "list", Err: err}
	}
	out := map[string]*Record{}
	for _, p := range pairs {
		service := strings.TrimPrefix(p.Key, ServicePrefix)
		r, err := Decode(p.Value)
		if err != nil {
			s.logger().Error("record not readable", zap.String("service", service), zap.Error(err))
			continue
		}
		out[service] = r
	}
	return out, nil
}

// History returns the accepted records of a service, oldest first, the stored
// one included.
func (s *Store) History(ctx context.Context, service string) ([]*Record, error) {
	current, _, err := s.Get(ctx, service)
	if err != nil {
		return nil, err
	}
	pairs, _, err := s.KV.List(ctx, HistoryPrefix+service+"/")
	if err != nil {
		return nil, &StoreError{Op: "history", Service: service, Err: err}
	}
	out := []*Record{current}
	for _, p := range pairs {
		if r, err := Decode(p.Value); err == nil && r.Generation != current.Generation {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Generation < out[j].Generation })
	return out, nil
}

// Diff validates a document and returns the changes from the record in force,
// and that record, which has generation 0 for a new service.
func (s *Store) Diff(ctx context.Context, document []byte) ([]Change, *Record, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, nil, err
	}
	current, _, err := s.current(ctx, doc.Service)
	if err != nil {
		return nil, nil, err
	}
	return changes(current, doc), current, nil
}

// changes compares a record with a document; a record that doesn't parse has
// no fields.
func changes(from *Record, to *Document) []Change {
	old, err := Parse(from.Document)
	if err != nil {
		old = nil
	}
	return Diff(old, to)
}

// Apply validates a document and stores it as the next generation after base,
// where 0 means the service must not exist. It returns *Conflict when base is
// not the generation in force, and *StoreError with the change id when the
// outcome is unknown. It costs one read and two writes.
func (s *Store) Apply(ctx context.Context, document []byte, base int64, author string) (*Record, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, err
	}
	current, revision, err := s.current(ctx, doc.Service)
	if err != nil {
		return nil, err
	}
	if current.Generation != base {
		return nil, &ConflictError{Service: doc.Service, Base: base, Current: current, Changes: changes(current, doc)}
	}
	if err := s.archive(ctx, doc.Service, current); err != nil {
		return nil, err
	}
	next := current.successor(json.RawMessage(document), uuid.NewString(), author)
	stored, err := s.write(ctx, doc.Service, revision, next)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return nil, &ConflictError{Service: doc.Service, Base: base, Current: stored, Changes: changes(stored, doc)}
	}
	return next, nil
}

// write stores a record by compare-and-swap against revision. It returns the record that was stored instead, if any. After a
// lost answer it reads the change id back; as long as the revision is the old
// one it repeats the same swap, which can take effect only once.
func (s *Store) write(ctx context.Context, service string, revision int64, next *Record) (*Record, error) {
	value, err := next.Encode()
	if err != nil {
		return nil, &StoreError{Op: "write", Service: service, Err: err}
	}
	uncertain := ""
	for try := range writeTries {
		if _, err = s.KV.CompareAndSwap(ctx, ServicePrefix+service, revision, value, 0); err == nil {
			return nil, nil
		}
		if errors.Is(err, infra.ErrUnknown) {
			uncertain = next.ChangeID
		}
		if errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrUnknown) {
			stored, at, readErr := s.current(ctx, service)
			switch {
			case readErr == nil && stored.includes(next):
				return nil, nil
			case readErr == nil && at != revision:
				return stored, nil
			}
		}
		if !wait.Sleep(ctx, s.backoff(err, try)) {
			break
		}
	}
	return nil, &StoreError{Op: "write", Service: service, ChangeID: uncertain, Err: err}
}

// archive adds a record to the history. It precedes the swap that replaces the
// record: written afterwards, the entry is lost with an operator's process or
// after several lost answers. The key is only ever created.
func (s *Store) archive(ctx context.Context, service string, r *Record) error {
	if r.Generation == 0 {
		return nil
	}
	value, err := r.Encode()
	if err != nil {
		return &StoreError{Op: "archive", Service: service, Err: err}
	}
	key := fmt.Sprintf("%s%s/%012d", HistoryPrefix, service, r.Generation)
	for try := range writeTries {
		if _, err = s.KV.CompareAndSwap(ctx, key, 0, value, 0); err == nil || errors.Is(err, infra.ErrConflict) {
			return nil
		}
		if !wait.Sleep(ctx, s.backoff(err, try)) {
			break
		}
	}
	return &StoreError{Op: "archive", Service: service, Err: err}
}

func (s *Store) logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// backoff is the wait before another try: what the store asked for, or a
// doubling, jittered pause.
func (s *Store) backoff(err error, try int) time.Duration {
	var pe *infra.Error
	if errors.As(err, &pe) && pe.RetryAfter > 0 {
		return s.jitter(pe.RetryAfter) + pe.RetryAfter/4
	}
	return s.jitter(writePause << min(try, 6))
}

// jitter returns a random duration from 3/4 to 5/4 of d.
func (s *Store) jitter(d time.Duration) time.Duration {
	random := s.Random
	if random == nil {
		random = rand.Uint64
	}
	return d*3/4 + time.Duration(random()%uint64(d/2+1))
}

// successor returns the record of the next generation.
func (r *Record) successor(document json.RawMessage, changeID, author string) *Record {
	next := &Record{Generation: r.Generation + 1, ChangeID: changeID, Author: author, Time: time.Now().UTC(), Document: document}
	if r.Generation > 0 {
		next.Parents = append([]string{r.ChangeID}, r.Parents...)
		next.Parents = next.Parents[:min(len(next.Parents), maxParents)]
	}
	return next
}

// includes reports whether r is the change of the other record or was edited
// from it. A record older than r's list of parents counts as included.
func (r *Record) includes(other *Record) bool {
	return r.ChangeID == other.ChangeID || slices.Contains(r.Parents, other.ChangeID) ||
		other.Generation < r.Generation-int64(len(r.Parents))
}
