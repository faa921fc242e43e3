package call

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"
)

// Key identifies an attempt of a request.
type Key struct {
	Request string
	Attempt string
}

// digest is the key of a compact record. 128 bits of SHA-256 make a collision
// of two attempts within the retention impossible in practice.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256([]byte(k.Request + "\x00" + k.Attempt))
	return digest(sum[:])
}

// record is the table's entry for one attempt. Its value is owned by the
// caller of Begin and shared by everyone who attaches to the attempt.
type record[V any] struct {
	state State
	value V
	ended time.Time
}

// compact is what remains of an ended attempt. Without pointers in T the
// garbage collector skips the map of them.
type compact[T any] struct {
	trace T
	// ended counts milliseconds from the table's start.
	ended   int64
	revoked bool
}

// Table holds the attempts an agent knows. Revoked attempts stay for the
// tombstone time and finished ones for the retention time. Both must exceed the
// ticket lifetime: otherwise a delayed Open could run after its record was
// evicted. A full table evicts finished attempts early, but not before the
// tombstone time.
//
// V is the value of an attempt, T the trace that Compact leaves of it.
type Table[V, T any] struct {
	mu        sync.Mutex
	limits    Limits
	records   map[Key]*record[V]
	compacts  map[digest]compact[T]
	revive    func(Key, State, T) V
	now       func() time.Time
	start     time.Time
	evicted   time.Time
	nextPrune time.Time
}

// Limits bound a table.
type Limits struct {
	// Retention is how long finished attempts are kept.
	Retention time.Duration
	// Tombstone is how long revoked attempts are kept.
	Tombstone time.Duration
	// Attempts is how many attempts the table holds.
	MaxAttempts int
}

// pruneInterval is the pause after a prune that made no room. A prune of
// 32,768 records sorts their times, which takes milliseconds.
const pruneInterval = time.Second

// NewTable returns an empty table. revive returns the value of a compact
// attempt; a tombstone of an attempt that was never opened has a zero trace.
func NewTable[V, T any](limits Limits, revive func(Key, State, T) V) *Table[V, T] {
	return &Table[V, T]{limits: limits, records: map[Key]*record[V]{}, compacts: map[digest]compact[T]{},
		revive: revive, now: time.Now, start: time.Now()}
}

// get returns an attempt's value and state. The caller holds mu.
func (t *Table[V, T]) get(k Key) (v V, s State) {
	if r, ok := t.records[k]; ok {
		return r.value, r.state
	}
	c, ok := t.compacts[k.digest()]
	if !ok {
		return v, Absent
	}
	s = Finished
	if c.revoked {
		s = Revoked
	}
	return t.revive(k, s, c.trace), s
}

// Room reports whether the table takes another attempt. It evicts finished
// attempts for it that are older than the tombstone time.
func (t *Table[V, T]) MakeRoom() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.room()
}

func (t *Table[V, T]) room() bool {
	now := t.now()
	if t.len() >= t.limits.MaxAttempts && !now.Before(t.nextPrune) {
		t.sweep(now)
		t.prune(now)
		if t.len() >= t.limits.MaxAttempts {
			t.nextPrune = now.Add(pruneInterval)
		}
	}
	return t.len() < t.limits.MaxAttempts
}

func (t *Table[V, T]) len() int { return len(t.records) + len(t.compacts) }

// prune evicts the oldest quarter of the compact attempts, but none younger
// than the tombstone time. The caller holds mu.
func (t *Table[V, T]) prune(now time.Time) {
	if t.len() < t.limits.MaxAttempts || len(t.compacts) == 0 {
		return
	}
	ends := make([]int64, 0, len(t.compacts))
	for _, c := range t.compacts {
		ends = append(ends, c.ended)
	}
	slices.Sort(ends)
	cut := min(ends[len(ends)/4], t.millis(now.Add(-t.limits.Tombstone))-1)
	for d, c := range t.compacts {
		if c.ended <= cut {
			delete(t.compacts, d)
			if end := t.start.Add(time.Duration(c.ended+1) * time.Millisecond); end.After(t.evicted) {
				t.evicted = end
			}
		}
	}
}

func (t *Table[V, T]) millis(at time.Time) int64 { return at.Sub(t.start).Milliseconds() }

// Compact replaces the value of an ended attempt by a trace.
func (t *Table[V, T]) Compact(k Key, trace T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok || (r.state != Finished && r.state != Revoked) {
		return
	}
	delete(t.records, k)
	t.compacts[k.digest()] = compact[T]{trace: trace, ended: t.millis(r.ended), revoked: r.state == Revoked}
}

// Begin inserts a queued attempt with the value that admit returns. When the
// attempt is known already, Begin returns its state and value and created is
// false; admit is not called. When admit returns false, nothing is inserted and
// the state is Absent. Admit runs under the table's lock: a ticket checked
// before it could expire, and its tombstone be evicted, before the insertion.
func (t *Table[V, T]) Begin(k Key, admit func() (V, bool)) (v V, s State, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, s = t.get(k); s != Absent {
		return v, s, false
	}
	v, ok := admit()
	if !ok {
		return v, Absent, false
	}
	t.records[k] = &record[V]{state: Queued, value: v}
	return v, Queued, true
}

// Lookup returns the attempt's value and state.
func (t *Table[V, T]) Lookup(k Key) (V, State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(k)
}

// Dispatch moves a queued attempt to dispatched. It returns false when the
// attempt was revoked; the caller must then not contact the endpoint.
func (t *Table[V, T]) Dispatch(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok || r.state != Queued {
		return false
	}
	r.state = Dispatched
	return true
}

// Revoke leaves a tombstone for an attempt that has not been dispatched and
// returns the resulting state. Dispatched and finished attempts keep their
// state. For an attempt without a record, provable says whether a record of it
// can't have been evicted, given the latest end of those evicted early; if it
// can, or the table is full, the state is Absent.
func (t *Table[V, T]) Revoke(k Key, provable func(evicted time.Time) bool) (v V, s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok {
		if r.state == Queued {
			r.state, r.ended = Revoked, t.now()
		}
		return r.value, r.state
	}
	if v, s = t.get(k); s != Absent {
		return v, s
	}
	if !t.room() || !provable(t.evicted) {
		return v, Absent
	}
	t.compacts[k.digest()] = compact[T]{ended: t.millis(t.now()), revoked: true}
	return v, Revoked
}

// Finish marks a dispatched attempt as finished.
func (t *Table[V, T]) Finish(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[k]; ok && r.state == Dispatched {
		r.state = Finished
		r.ended = t.now()
	}
}

// Sweep evicts attempts that ended longer ago than they are kept and returns
// how many remain.
func (t *Table[V, T]) Sweep() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.now())
	return t.len()
}

func (t *Table[V, T]) sweep(now time.Time) {
	for k, r := range t.records {
		if age := now.Sub(r.ended); (r.state == Finished && age > t.limits.Retention) || (r.state == Revoked && age > t.limits.Tombstone) {
			delete(t.records, k)
		}
	}
	for d, c := range t.compacts {
		keep := t.limits.Retention
		if c.revoked {
			keep = t.limits.Tombstone
		}
		// Rounded to milliseconds, ended is at most 1 ms early.
		if t.millis(now)-c.ended > keep.Milliseconds()+1 {
			delete(t.compacts, d)
		}
	}
}

// Len returns the number of attempts, open and ended.
func (t *Table[V, T]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.len()
}

// Open returns the number of attempts that are queued or dispatched.
func (t *Table[V, T]) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.state == Queued || r.state == Dispatched {
			n++
		}
	}
	return n
}
