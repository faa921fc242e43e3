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
	// maxWriteAttempts limits the attempts of one write. An attempt whose
	// response is lost counts.
	maxWriteAttempts = 6
	// initialWriteBackoff is the delay before the second attempt. The delay
	// doubles with each further attempt.
	initialWriteBackoff = 50 * time.Millisecond
)

// Store reads and writes records in the key-value service. It is safe for
// concurrent use.
type Store struct {
	KV  infra.KV
	Log *zap.Logger
	// Random is the source of jitter, which spreads the calls of processes that
	// start together. It must be safe for concurrent use. Nil selects
	// math/rand/v2's Uint64.
	Random func() uint64
}

// ConflictError reports that an edit was not made from the generation in force,
// because another operator's edit was accepted first.
type ConflictError struct {
	Service string
	// Base is the generation from which the edit was made.
	Base int64
	// Current is the record in force; its generation is 0 if the service does not
	// exist.
	Current *Record
	// Changes are the differences from the document in force to the refused one.
	Changes []Change
}

func (c *ConflictError) Error() string {
	if c.Current.Generation == 0 {
		return fmt.Sprintf("service %q: edited from generation %d, but the service does not exist; use generation 0 to create it", c.Service, c.Base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service %q: edited from generation %d, but generation %d by %s is in force", c.Service, c.Base, c.Current.Generation, c.Current.Author)
	for _, ch := range c.Changes {
		fmt.Fprintf(&b, "\n  %s", ch)
	}
	return b.String()
}

// StoreError reports a failed operation on the store. Its cause is an
// *infra.Error, or the encoding or decoding error of a record.
type StoreError struct {
	// Op is the failed operation: "get", "list", "history", "write" or "archive".
	Op string
	// Service is empty for "list".
	Service string
	// ChangeID is the id of a change whose outcome is unknown: it may be in
	// force, or still come into force. It is empty when nothing was written.
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

// Get returns the stored record of a service and its revision. It returns a
// *StoreError, which wraps infra.ErrNotFound if the service has no record.
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

// getOrEmpty is Get, but returns an empty record of generation 0 for a service
// that does not exist.
func (s *Store) getOrEmpty(ctx context.Context, service string) (*Record, int64, error) {
	r, revision, err := s.Get(ctx, service)
	if errors.Is(err, infra.ErrNotFound) {
		return &Record{}, 0, nil
	}
	return r, revision, err
}

// List returns the stored records by service name. A record that can't be
// decoded is logged and left out. The error is a *StoreError.
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

// History returns the accepted records of a service in ascending order of
// generation, including the stored one. Archived records that can't be decoded
// are left out. The error is a *StoreError, which wraps infra.ErrNotFound if the
// service has no record.
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

// Diff validates a document. It returns the changes from the stored record to the
// document, and that record, which has generation 0 if the service does not exist.
// The error is that of Parse or a *StoreError.
func (s *Store) Diff(ctx context.Context, document []byte) ([]Change, *Record, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, nil, err
	}
	current, _, err := s.getOrEmpty(ctx, doc.Service)
	if err != nil {
		return nil, nil, err
	}
	return changes(current, doc), current, nil
}

// changes returns the differences from a record to a document. A record whose
// document can't be parsed counts as one without fields.
func changes(from *Record, to *Document) []Change {
	old, err := Parse(from.Document)
	if err != nil {
		old = nil
	}
	return Diff(old, to)
}

// Apply validates a document and stores it as the next generation after base,
// where 0 means that the service must not exist. It returns the errors of Parse
// for an invalid document, *ConflictError when base is not the generation in
// force, and *StoreError with the change id when the outcome is unknown. Without
// retries it makes one read and two writes, or one write for a new service.
func (s *Store) Apply(ctx context.Context, document []byte, base int64, author string) (*Record, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, err
	}
	current, revision, err := s.getOrEmpty(ctx, doc.Service)
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

// write stores a record by compare-and-swap against revision. If another record
// was stored first, it returns that record. After a conflict or a lost response it
// reads the stored record to find out whether the write took effect. While the
// revision is unchanged it repeats the same compare-and-swap, which can take
// effect only once.
func (s *Store) write(ctx context.Context, service string, revision int64, next *Record) (*Record, error) {
	value, err := next.Encode()
	if err != nil {
		return nil, &StoreError{Op: "write", Service: service, Err: err}
	}
	unknownChangeID := ""
	for attempt := range maxWriteAttempts {
		if _, err = s.KV.CompareAndSwap(ctx, ServicePrefix+service, revision, value, 0); err == nil {
			return nil, nil
		}
		if errors.Is(err, infra.ErrUnknown) {
			unknownChangeID = next.ChangeID
		}
		if errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrUnknown) {
			stored, storedRevision, readErr := s.getOrEmpty(ctx, service)
			switch {
			case readErr == nil && stored.includes(next):
				return nil, nil
			case readErr == nil && storedRevision != revision:
				return stored, nil
			}
		}
		if !wait.Sleep(ctx, s.backoff(err, attempt)) {
			break
		}
	}
	return nil, &StoreError{Op: "write", Service: service, ChangeID: unknownChangeID, Err: err}
}

// archive adds a record to the history. It runs before the compare-and-swap that
// replaces the record: archived afterwards, the record would be lost if the
// operator's process ended or several responses were lost. The key is only
// created, never overwritten.
func (s *Store) archive(ctx context.Context, service string, r *Record) error {
	if r.Generation == 0 {
		return nil
	}
	value, err := r.Encode()
	if err != nil {
		return &StoreError{Op: "archive", Service: service, Err: err}
	}
	key := fmt.Sprintf("%s%s/%012d", HistoryPrefix, service, r.Generation)
	for attempt := range maxWriteAttempts {
		if _, err = s.KV.CompareAndSwap(ctx, key, 0, value, 0); err == nil || errors.Is(err, infra.ErrConflict) {
			return nil
		}
		if !wait.Sleep(ctx, s.backoff(err, attempt)) {
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

// backoff returns the delay before the next attempt: at least the RetryAfter of the
// store's error if there is one, otherwise an exponential backoff of at most 64
// times initialWriteBackoff, both with jitter.
func (s *Store) backoff(err error, attempt int) time.Duration {
	var pe *infra.Error
	if errors.As(err, &pe) && pe.RetryAfter > 0 {
		return s.jitter(pe.RetryAfter) + pe.RetryAfter/4
	}
	return s.jitter(initialWriteBackoff << min(attempt, 6))
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func (s *Store) jitter(d time.Duration) time.Duration {
	random := s.Random
	if random == nil {
		random = rand.Uint64
	}
	return d*3/4 + time.Duration(random()%uint64(d/2+1))
}

// successor returns a record of the next generation with the given document.
func (r *Record) successor(document json.RawMessage, changeID, author string) *Record {
	next := &Record{Generation: r.Generation + 1, ChangeID: changeID, Author: author, Time: time.Now().UTC(), Document: document}
	if r.Generation > 0 {
		next.Parents = append([]string{r.ChangeID}, r.Parents...)
		next.Parents = next.Parents[:min(len(next.Parents), maxParents)]
	}
	return next
}

// includes reports whether r carries the same change as other or descends from
// it. A record older than r's list of parents counts as included.
func (r *Record) includes(other *Record) bool {
	return r.ChangeID == other.ChangeID || slices.Contains(r.Parents, other.ChangeID) ||
		other.Generation < r.Generation-int64(len(r.Parents))
}
