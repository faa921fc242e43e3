package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/platform"
)

// Store reads and writes records in the key-value service.
type Store struct {
	KV  platform.KV
	Log *zap.Logger
}

// Conflict reports that another operator's edit was accepted first.
type Conflict struct {
	Service string
	Base    int64
	Current *Record
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("service %q: edited from generation %d, but generation %d by %s is in force",
		c.Service, c.Base, c.Current.Generation, c.Current.Author)
}

// Get returns the stored record and its revision.
func (s *Store) Get(ctx context.Context, service string) (*Record, int64, error) {
	p, err := s.KV.Get(ctx, ServicePrefix+service)
	if err != nil {
		return nil, 0, err
	}
	r, err := Decode(p.Value)
	if err != nil {
		return nil, p.Revision, err
	}
	return r, p.Revision, nil
}

// Apply validates a document and stores it as the next generation after base,
// where 0 means the service must not exist. It returns *Conflict when base is
// not the generation in force. A lost answer is settled by reading the change
// id back.
func (s *Store) Apply(ctx context.Context, document []byte, base int64, author string) (*Record, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, err
	}
	current, revision, err := s.Get(ctx, doc.Service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		current, revision = &Record{}, 0
	case err != nil:
		return nil, err
	}
	if current.Generation != base {
		return nil, &Conflict{Service: doc.Service, Base: base, Current: current}
	}
	next := &Record{Generation: base + 1, ChangeID: uuid.NewString(), Author: author, Time: time.Now().UTC(), Document: json.RawMessage(document)}
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	_, err = s.KV.Swap(ctx, ServicePrefix+doc.Service, revision, value, 0)
	if err != nil {
		return s.settle(ctx, doc.Service, base, next, err)
	}
	s.record(ctx, doc.Service, next, value)
	return next, nil
}

// settle finds out whether a write with a lost answer took effect.
func (s *Store) settle(ctx context.Context, service string, base int64, next *Record, cause error) (*Record, error) {
	if !errors.Is(cause, platform.ErrUnknown) && !errors.Is(cause, platform.ErrConflict) {
		return nil, cause
	}
	stored, _, err := s.Get(ctx, service)
	if err != nil {
		return nil, errors.Join(cause, err)
	}
	if stored.ChangeID == next.ChangeID {
		return next, nil
	}
	return nil, &Conflict{Service: service, Base: base, Current: stored}
}

func (s *Store) record(ctx context.Context, service string, r *Record, value []byte) {
	key := fmt.Sprintf("%s%s/%012d", HistoryPrefix, service, r.Generation)
	if _, err := s.KV.Swap(ctx, key, 0, value, 0); err != nil && s.Log != nil {
		s.Log.Warn("history not written", zap.String("service", service), zap.Int64("generation", r.Generation), zap.Error(err))
	}
}

// Follow keeps the table up to date until ctx ends: it watches the store, and
// polls it every interval because a watch may go silent without closing.
func (s *Store) Follow(ctx context.Context, t *Table, interval time.Duration) {
	for ctx.Err() == nil {
		from := s.poll(ctx, t)
		s.watch(ctx, t, from, jitter(interval))
	}
}

func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

func (s *Store) poll(ctx context.Context, t *Table) int64 {
	pairs, revision, err := s.KV.List(ctx, ServicePrefix)
	if err != nil {
		s.Log.Warn("store not read", zap.Error(err))
		return 0
	}
	for _, p := range pairs {
		s.take(t, p)
	}
	return revision
}

// watch follows changes for at most d.
func (s *Store) watch(ctx context.Context, t *Table, from int64, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	events, err := s.KV.Watch(ctx, ServicePrefix, from)
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
				s.take(t, e.Pair)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) take(t *Table, p platform.Pair) {
	service := strings.TrimPrefix(p.Key, ServicePrefix)
	r, err := Decode(p.Value)
	if err == nil {
		var accepted bool
		if accepted, err = t.Offer(service, r); accepted {
			s.Log.Info("configuration in force", zap.String("service", service), zap.Int64("generation", r.Generation),
				zap.String("author", r.Author), zap.String("change_id", r.ChangeID))
		}
	}
	if err != nil {
		s.Log.Error("configuration refused", zap.String("service", service), zap.Int64("revision", p.Revision), zap.Error(err))
	}
}
