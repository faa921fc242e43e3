package call

import (
	"sync"
	"time"
)

// Key identifies an attempt of a request.
type Key struct {
	Request string
	Attempt string
}

// Record is the table's entry for one attempt. Value is owned by the caller of
// Begin and shared by everyone who attaches to the attempt.
type Record[V any] struct {
	Key   Key
	State State
	Value V

	ended time.Time
}

// Table holds the attempts an agent knows. Revoked and finished attempts stay
// for the retention time, which must exceed the ticket lifetime: otherwise a
// delayed Open could run after its record was evicted.
type Table[V any] struct {
	mu        sync.Mutex
	retention time.Duration
	records   map[Key]*Record[V]
	now       func() time.Time
}

// NewTable returns an empty table with the given retention.
func NewTable[V any](retention time.Duration) *Table[V] {
	return &Table[V]{retention: retention, records: map[Key]*Record[V]{}, now: time.Now}
}

// Begin inserts a queued attempt with the value that create returns. When the
// attempt is known already, Begin returns its state and value and created is
// false; create is not called.
func (t *Table[V]) Begin(k Key, create func() V) (v V, s State, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok {
		return r.Value, r.State, false
	}
	r := &Record[V]{Key: k, State: Queued, Value: create()}
	t.records[k] = r
	return r.Value, Queued, true
}

// Lookup returns the attempt's value and state.
func (t *Table[V]) Lookup(k Key) (V, State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok {
		return r.Value, r.State
	}
	var none V
	return none, Absent
}

// Dispatch moves a queued attempt to dispatched. It returns false when the
// attempt was revoked; the caller must then not contact the endpoint.
func (t *Table[V]) Dispatch(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok || r.State != Queued {
		return false
	}
	r.State = Dispatched
	return true
}

// Revoke leaves a tombstone for an attempt that has not been dispatched, known
// or not, and returns the resulting state. Dispatched and finished attempts
// keep their state.
func (t *Table[V]) Revoke(k Key) (V, State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok {
		r = &Record[V]{Key: k}
		t.records[k] = r
	}
	if r.State == Absent || r.State == Queued {
		r.State = Revoked
		r.ended = t.now()
	}
	return r.Value, r.State
}

// Finish marks a dispatched attempt as finished.
func (t *Table[V]) Finish(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok && r.State == Dispatched {
		r.State = Finished
		r.ended = t.now()
	}
}

// Sweep evicts attempts that ended longer ago than the retention and returns
// how many remain.
func (t *Table[V]) Sweep() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.now().Add(-t.retention)
	for k, r := range t.records {
		if (r.State == Finished || r.State == Revoked) && r.ended.Before(limit) {
			delete(t.records, k)
		}
	}
	return len(t.records)
}

// Open returns the number of attempts that are queued or dispatched.
func (t *Table[V]) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.State == Queued || r.State == Dispatched {
			n++
		}
	}
	return n
}
