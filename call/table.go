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

// digest is the map key of a compact record. With 128 bits of SHA-256, a collision
// of two attempts within the retention is impossible in practice.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256([]byte(k.Request + "\x00" + k.Attempt))
	return digest(sum[:])
}

// record is the table's entry for one attempt. The caller of Begin owns its value;
// later calls for the attempt return the same value.
type record[V any] struct {
	state State
	value V
	ended time.Time
}

// compactRecord replaces the record of an ended attempt. If T has no pointers, the
// garbage collector doesn't scan the map of compact records.
type compactRecord[T any] struct {
	summary T
	// endedMs is the attempt's end in milliseconds since the table's start.
	endedMs int64
	revoked bool
}

// Table records an agent's attempts. Revoked attempts are kept for the tombstone
// time and finished ones for the retention time. Both must exceed the ticket
// lifetime: otherwise a delayed Open could run after its record was evicted. A full
// table evicts finished attempts early, but not before the tombstone time. It is
// safe for concurrent use.
//
// A ticket is a recent time of the agent's clock, which each Open carries. Agents
// refuse an Open whose ticket is older than the ticket lifetime.
//
// V is the value of an attempt, T the summary that Compact replaces it with.
type Table[V, T any] struct {
	mu       sync.Mutex
	limits   Limits
	records  map[Key]*record[V]
	compacts map[digest]compactRecord[T]
	restore  func(Key, State, T) V
	now      func() time.Time
	start    time.Time
	// lastEvictedEnd is the latest end of the attempts that prune has evicted.
	lastEvictedEnd time.Time
	// nextPrune is the earliest time of the next prune.
	nextPrune time.Time
}

// Limits bounds the records of a Table.
type Limits struct {
	// Retention is how long finished attempts are kept.
	Retention time.Duration
	// Tombstone is how long revoked attempts are kept.
	Tombstone time.Duration
	// MaxAttempts bounds the attempts in the table, open and ended.
	MaxAttempts int
}

// pruneInterval is the delay before the next prune after one that made no room. A
// prune of 32,768 records sorts their end times, which takes milliseconds.
const pruneInterval = time.Second

// NewTable returns an empty table. restore returns the value of a compact attempt
// from its summary; the tombstone of an attempt that was never opened has a zero
// summary.
func NewTable[V, T any](limits Limits, restore func(Key, State, T) V) *Table[V, T] {
	return &Table[V, T]{limits: limits, records: map[Key]*record[V]{}, compacts: map[digest]compactRecord[T]{},
		restore: restore, now: time.Now, start: time.Now()}
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
	return t.restore(k, s, c.summary), s
}

// MakeRoom reports whether the table has room for another attempt. A full table
// evicts finished attempts that are older than the tombstone time.
func (t *Table[V, T]) MakeRoom() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.makeRoom()
}

// makeRoom implements MakeRoom. The caller holds mu.
func (t *Table[V, T]) makeRoom() bool {
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

// prune evicts the oldest quarter of the compact attempts if the table is full, but
// none younger than the tombstone time. The caller holds mu.
func (t *Table[V, T]) prune(now time.Time) {
	if t.len() < t.limits.MaxAttempts || len(t.compacts) == 0 {
		return
	}
	ends := make([]int64, 0, len(t.compacts))
	for _, c := range t.compacts {
		ends = append(ends, c.endedMs)
	}
	slices.Sort(ends)
	maxEndedMs := min(ends[len(ends)/4], t.sinceStartMs(now.Add(-t.limits.Tombstone))-1)
	for d, c := range t.compacts {
		if c.endedMs <= maxEndedMs {
			delete(t.compacts, d)
			if end := t.start.Add(time.Duration(c.endedMs+1) * time.Millisecond); end.After(t.lastEvictedEnd) {
				t.lastEvictedEnd = end
			}
		}
	}
}

func (t *Table[V, T]) sinceStartMs(at time.Time) int64 { return at.Sub(t.start).Milliseconds() }

// Compact replaces the value of an ended attempt with a summary.
func (t *Table[V, T]) Compact(k Key, summary T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[k]
	if !ok || (r.state != Finished && r.state != Revoked) {
		return
	}
	delete(t.records, k)
	t.compacts[k.digest()] = compactRecord[T]{summary: summary, endedMs: t.sinceStartMs(r.ended), revoked: r.state == Revoked}
}

// Begin inserts a queued attempt with the value that admit returns. If the table
// already has the attempt, Begin returns its value and state and created is false;
// admit is not called. If admit returns false, nothing is inserted and the state is
// Absent. admit runs under the table's lock: if the ticket were checked without the
// lock, it could expire and its tombstone be evicted before the insertion.
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

// Revoke records a tombstone for an attempt that has not been dispatched and
// returns the resulting value and state. Dispatched and finished attempts keep
// their state. For an attempt without a record, canProveNotRun receives the latest
// end of the attempts evicted early and reports whether no record of this attempt
// can have been evicted. If it returns false, or the table is full, the state is
// Absent.
func (t *Table[V, T]) Revoke(k Key, canProveNotRun func(evicted time.Time) bool) (v V, s State) {
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
	if !t.makeRoom() || !canProveNotRun(t.lastEvictedEnd) {
		return v, Absent
	}
	t.compacts[k.digest()] = compactRecord[T]{endedMs: t.sinceStartMs(t.now()), revoked: true}
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

// Sweep evicts attempts whose retention or tombstone time has passed and returns
// the number of attempts that remain.
func (t *Table[V, T]) Sweep() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.now())
	return t.len()
}

// sweep implements Sweep. The caller holds mu.
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
		// endedMs is rounded down by less than 1 ms.
		if t.sinceStartMs(now)-c.endedMs > keep.Milliseconds()+1 {
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
