// Package kernel holds the plug-in registry and the life cycle that plug-ins
// share. A plug-in registers itself in init under a dotted id such as
// "kv.etcd"; the process that needs it loads it by id with its settings.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Plugin describes a plug-in.
type Plugin struct {
	// ID is unique and starts with the plug-in's namespace, e.g. "kv.etcd".
	ID string
	// New returns an instance with default settings, ready to be provisioned.
	New func() any
}

// Provisioner is implemented by plug-ins that set themselves up.
type Provisioner interface {
	// Provision receives the settings of the process that loads the plug-in.
	Provision(ctx context.Context, settings Settings) error
}

// Validator is implemented by plug-ins that check themselves after provisioning.
type Validator interface {
	Validate() error
}

// Cleaner is implemented by plug-ins that hold resources.
type Cleaner interface {
	Cleanup() error
}

// Error reports a plug-in that can't be registered or loaded.
type Error struct {
	ID  string
	Op  string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("plug-in %q: %s: %v", e.ID, e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	mu      sync.RWMutex
	plugins = map[string]Plugin{}
)

// Register adds a plug-in. It panics on an id that is empty or taken, which is
// a programming error found at start.
func Register(p Plugin) {
	mu.Lock()
	defer mu.Unlock()
	if p.ID == "" || p.New == nil {
		panic("kernel: plug-in without id or constructor")
	}
	if _, ok := plugins[p.ID]; ok {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", p.ID))
	}
	plugins[p.ID] = p
}

// IDs returns the sorted ids of the plug-ins in a namespace.
func IDs(namespace string) []string {
	mu.RLock()
	defer mu.RUnlock()
	var ids []string
	for id := range plugins {
		if strings.HasPrefix(id, namespace+".") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Load creates the plug-in id as a T, provisions and validates it. When
// validation fails the plug-in is cleaned up.
func Load[T any](ctx context.Context, id string, settings Settings) (T, error) {
	var none T
	mu.RLock()
	p, ok := plugins[id]
	mu.RUnlock()
	if !ok {
		namespace, _, _ := strings.Cut(id, ".")
		return none, &Error{ID: id, Op: "load", Err: fmt.Errorf("not registered; known: %s", strings.Join(IDs(namespace), ", "))}
	}
	v, ok := p.New().(T)
	if !ok {
		return none, &Error{ID: id, Op: "load", Err: fmt.Errorf("does not implement %T", &none)}
	}
	if pr, ok := any(v).(Provisioner); ok {
		if err := pr.Provision(ctx, settings); err != nil {
			return none, &Error{ID: id, Op: "provision", Err: err}
		}
	}
	if va, ok := any(v).(Validator); ok {
		if err := va.Validate(); err != nil {
			if c, ok := any(v).(Cleaner); ok {
				_ = c.Cleanup()
			}
			return none, &Error{ID: id, Op: "validate", Err: err}
		}
	}
	return v, nil
}
