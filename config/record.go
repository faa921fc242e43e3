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

// Keys in the key-value service.
const (
	// ServicePrefix holds the record in force of each service.
	ServicePrefix = "citrontiller/services/"
	// HistoryPrefix holds every accepted record, by service and generation.
	HistoryPrefix = "citrontiller/history/"
)

// Record is a document with the facts of its acceptance. Generations of a
// service grow by one with each accepted edit and order records.
type Record struct {
	Generation int64     `json:"generation"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author"`
	Time       time.Time `json:"time"`
	// Parents are the change ids of the generations before, latest first. They
	// tell a lost answer and an edit of an older store from another's edit.
	Parents  []string        `json:"parents,omitempty"`
	Document json.RawMessage `json:"document"`
}

// maxParents bounds the parents in a record, about 2.5 KB.
const maxParents = 64

// Decode reads a record.
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

// Encode returns the record as stored.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Digest identifies the record's content.
func (r *Record) Digest() string {
	sum := sha256.Sum256(append([]byte(r.ChangeID+"\x00"), r.Document...))
	return hex.EncodeToString(sum[:8])
}

// Entry is a record in force with its parsed document.
type ActiveRecord struct {
	Record   *Record
	Document *Document
}

// Table holds the record in force of each service in this process. It takes
// only valid records of a higher generation.
type Table struct {
	mu       sync.RWMutex
	entries  map[string]ActiveRecord
	onChange []func(service string, e ActiveRecord)
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]ActiveRecord{}} }

// OnChange adds a function called after each accepted record.
func (t *Table) OnChange(f func(service string, e ActiveRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// Offer puts a record in force if it is valid and its generation is higher.
// It returns false without an error for a generation that is not higher.
func (t *Table) SetIfNewer(service string, r *Record) (bool, error) {
	t.mu.RLock()
	cur, ok := t.entries[service]
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
	if cur, ok := t.entries[service]; ok && cur.Record.Generation >= r.Generation {
		t.mu.Unlock()
		return false, nil
	}
	e := ActiveRecord{Record: r, Document: doc}
	t.entries[service] = e
	callbacks := t.onChange
	t.mu.Unlock()
	for _, f := range callbacks {
		f(service, e)
	}
	return true, nil
}

// Get returns a service's record in force.
func (t *Table) Get(service string) (ActiveRecord, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[service]
	return e, ok
}

// Services returns the sorted names of the known services.
func (t *Table) Services() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.entries))
	for n := range t.entries {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
