package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Key prefixes in the key-value service.
const (
	// ServicePrefix is the prefix of the keys that hold the record in force of
	// each service.
	ServicePrefix = "citrontiller/services/"
	// HistoryPrefix is the prefix of the keys that hold archived records, by
	// service and generation: each accepted record that a later one replaced, and
	// possibly the one in force.
	HistoryPrefix = "citrontiller/history/"
)

// Record is an accepted document with the metadata of its edit. The generation of a
// service grows by one with each accepted edit and orders the records.
type Record struct {
	Generation int64     `json:"generation"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Time       time.Time `json:"time"`
	// Parents are the change ids of the preceding generations, latest first. They
	// distinguish another operator's edit from a change of which the response was
	// lost, and from an edit that was accepted by a store with an older state.
	Parents  []string        `json:"parents,omitempty"`
	Document json.RawMessage `json:"document"`
}

// maxParents limits the parents in a record to about 2.5 KB.
const maxParents = 64

// Decode parses an encoded record. It does not validate the document in it. Its
// errors are of type *Error.
func Decode(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, &Error{Err: fmt.Errorf("record: %w", err)}
	}
	if r.Generation < 1 {
		return nil, &Error{Path: "generation", Value: r.Generation, Allowed: "1 or more"}
	}
	return &r, nil
}

// Encode returns the record in its stored form, JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Digest returns a hash of the change id and the document. Processes compare it to
// detect different records of the same generation.
func (r *Record) Digest() string {
	sum := sha256.Sum256(append([]byte(r.ChangeID+"\x00"), r.Document...))
	return hex.EncodeToString(sum[:8])
}

// ActiveRecord is a record in force with its parsed document.
type ActiveRecord struct {
	Record   *Record
	Document *Document
}

// Table holds the record in force of each service in this process. It accepts only
// valid records of a higher generation. It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	records  map[string]ActiveRecord
	onChange []func(service string, e ActiveRecord)
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]ActiveRecord{}} }

// OnChange registers a function that is called after each accepted record, on the
// goroutine that called SetIfNewer.
func (t *Table) OnChange(f func(service string, e ActiveRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// SetIfNewer puts a record in force if it is valid and its generation is higher
// than that of the current record. It returns false without an error if the
// generation is not higher, and errors of type *Error if the document is invalid or
// describes another service.
func (t *Table) SetIfNewer(service string, r *Record) (bool, error) {
	t.mu.RLock()
	cur, ok := t.records[service]
	t.mu.RUnlock()
	if ok && cur.Record.Generation >= r.Generation {
		return false, nil
	}
	doc, err := Parse(r.Document)
	if err != nil {
		return false, err
	}
	if doc.Service != service {
		return false, &Error{Path: "service", Value: doc.Service, Allowed: service}
	}
	t.mu.Lock()
	if cur, ok := t.records[service]; ok && cur.Record.Generation >= r.Generation {
		t.mu.Unlock()
		return false, nil
	}
	e := ActiveRecord{Record: r, Document: doc}
	t.records[service] = e
	callbacks := t.onChange
	t.mu.Unlock()
	for _, f := range callbacks {
		f(service, e)
	}
	return true, nil
}

// Get returns a service's record in force, and false if there is none.
func (t *Table) Get(service string) (ActiveRecord, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.records[service]
	return e, ok
}

// Services returns the sorted names of the services that have a record in force.
func (t *Table) Services() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.records))
	for n := range t.records {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
