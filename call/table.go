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

// Table holds the attempts an agent knows. Revoked attempts stay for the
// tombstone time and finished ones for the retention time. Both must exceed the
// ticket lifetime: otherwise a delayed Open could run after its record was
// evicted.
type Table[V any] struct {
	mu        sync.Mutex
	retention time.Duration
	tombstone time.Duration
	records   map[Key]*Record[V]
	now       func() time.Time
}

// NewTable returns an empty table that keeps finished attempts for retention
// and revoked ones for tombstone.
func NewTable[V any](retention, tombstone time.Duration) *Table[V] {
	return &Table[V]{retention: retention, tombstone: tombstone, records: map[Key]*Record[V]{}, now: time.Now}
}

// Begin inserts a queued attempt with the value that admit returns. When the
// attempt is known already, Begin returns its state and value and created is
// false; admit is not called. When admit returns false, nothing is inserted and
// the state is Absent. Admit runs under the table's lock: a ticket checked
// before it could expire, and its tombstone be evicted, before the insertion.
func (t *Table[V]) Begin(k Key, admit func() (V, bool)) (v V, s State, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok {
		return r.Value, r.State, false
	}
	v, ok := admit()
	if !ok {
		return v, Absent, false
	}
	t.records[k] = &Record[V]{Key: k, State: Queued, Value: v}
	return v, Queued, true
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

// Revoke leaves a tombstone for an attempt that has not been dispatched and
// returns the resulting state. Dispatched and finished attempts keep their
// state. For an attempt without a record, provable says whether a record of it
// can't have been evicted; if it can, the state is Absent.
func (t *Table[V]) Revoke(k Key, provable func() bool) (v V, s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok && !provable() {
		return v, Absent
	}
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

// Sweep evicts attempts that ended longer ago than they are kept and returns
// how many remain.
func (t *Table[V]) Sweep() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for k, r := range t.records {
		age := now.Sub(r.ended)
		if (r.State == Finished && age > t.retention) || (r.State == Revoked && age > t.tombstone) {
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
