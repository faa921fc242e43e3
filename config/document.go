// Package config holds the service document: its types, defaults, validation
// and its path from the operator through the key-value service to every process.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/citrontiller/citrontiller/platform"
)

// Document describes one service. Its team owns it.
type Document struct {
	// Service is the service's name and the last part of the document's key.
	Service string        `json:"service"`
	Kind    platform.Kind `json:"kind"`
	// Model is the name callers use. Engines only.
	Model string `json:"model,omitempty"`
	// Version is the version of the weights. Engines only.
	Version string `json:"version,omitempty"`
	// Adapters are names callers may use besides Model. Engines only.
	Adapters []string  `json:"adapters,omitempty"`
	Accounts []Account `json:"accounts"`
	// Routes are the paths of a plain service.
	Routes   []Route  `json:"routes,omitempty"`
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	Budgets  Budgets  `json:"budgets"`
}

// Account is a client account that may use the service.
type Account struct {
	Name string `json:"name"`
	// KeySHA256 are the hex SHA-256 hashes of the account's keys.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the account's share of a busy endpoint.
	Weight int `json:"weight"`
}

// Route is a path prefix of a plain service.
type Route struct {
	// Path is matched as a prefix at a slash.
	Path string `json:"path"`
	// Methods this entry applies to; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent calls may be repeated. GET, HEAD and OPTIONS always are.
	Idempotent bool `json:"idempotent"`
}

// Limits bound what a caller may ask for.
type Limits struct {
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxRunningPerAccount bounds an account's requests per entry.
	MaxRunningPerAccount int `json:"max_running_per_account"`
}

// Timeouts bound how long things take, in milliseconds.
type Timeouts struct {
	RequestMs  int64 `json:"request_ms"`
	MaxWaitMs  int64 `json:"max_wait_ms"`
	BodyReadMs int64 `json:"body_read_ms"`
	// WriteStallMs is how long a caller may block a response.
	WriteStallMs int64 `json:"write_stall_ms"`
}

// Request returns the deadline of a request.
func (t Timeouts) Request() time.Duration { return time.Duration(t.RequestMs) * time.Millisecond }

// Budgets bound repeated work.
type Budgets struct {
	RetryPercent          int `json:"retry_percent"`
	HedgePercent          int `json:"hedge_percent"`
	ClaimWritesPerSecond  int `json:"claim_writes_per_second"`
	MaxAttemptsPerRequest int `json:"max_attempts_per_request"`
}

// Default returns a document with every default set.
func Default() Document {
	return Document{
		Kind:     platform.Engine,
		Limits:   Limits{MaxBodyBytes: 4 << 20, MaxRunningPerAccount: 4096},
		Timeouts: Timeouts{RequestMs: 300_000, MaxWaitMs: 5_000, BodyReadMs: 10_000, WriteStallMs: 30_000},
		Budgets:  Budgets{RetryPercent: 10, HedgePercent: 5, ClaimWritesPerSecond: 50, MaxAttemptsPerRequest: 4},
	}
}

// Error reports one problem of a document.
type Error struct {
	// Path is the field, e.g. "timeouts.request_ms".
	Path string
	// Value is what the document says, Allowed what it may say.
	Value   any
	Allowed string
	Err     error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("service document: %v", e.Err)
	}
	return fmt.Sprintf("service document: %s: got %v, allowed: %s", e.Path, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Parse reads a document over the defaults and validates it. Unknown fields
// are errors.
func Parse(data []byte) (*Document, error) {
	d := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, &Error{Err: err}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{Err: errors.New("more than one JSON value")}
	}
	for i := range d.Accounts {
		if d.Accounts[i].Weight == 0 {
			d.Accounts[i].Weight = 1
		}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Validate returns every problem of the document, joined.
func (d *Document) Validate() error {
	var errs []error
	check := func(ok bool, path string, value any, allowed string) {
		if !ok {
			errs = append(errs, &Error{Path: path, Value: value, Allowed: allowed})
		}
	}
	check(d.Service != "", "service", d.Service, "a name")
	check(d.Kind == platform.Engine || d.Kind == platform.Plain, "kind", d.Kind, "engine, plain")
	check(d.Kind != platform.Engine || d.Model != "", "model", d.Model, "a name")
	check(d.Kind != platform.Plain || len(d.Routes) > 0, "routes", len(d.Routes), "at least one")
	for i, r := range d.Routes {
		check(len(r.Path) > 0 && r.Path[0] == '/', fmt.Sprintf("routes[%d].path", i), r.Path, "a path starting with /")
	}
	for i, a := range d.Accounts {
		check(a.Name != "", fmt.Sprintf("accounts[%d].name", i), a.Name, "a name")
		check(a.Weight > 0, fmt.Sprintf("accounts[%d].weight", i), a.Weight, "1 or more")
		for j, k := range a.KeySHA256 {
			check(len(k) == 64, fmt.Sprintf("accounts[%d].key_sha256[%d]", i, j), k, "64 hex digits")
		}
	}
	check(d.Limits.MaxBodyBytes > 0 && d.Limits.MaxBodyBytes <= 64<<20, "limits.max_body_bytes", d.Limits.MaxBodyBytes, "1 to 67108864")
	check(d.Timeouts.RequestMs > 0, "timeouts.request_ms", d.Timeouts.RequestMs, "1 or more")
	check(d.Budgets.MaxAttemptsPerRequest > 0, "budgets.max_attempts_per_request", d.Budgets.MaxAttemptsPerRequest, "1 or more")
	return errors.Join(errs...)
}
