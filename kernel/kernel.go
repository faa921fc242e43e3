// Package kernel holds the plug-in registry and the common life cycle of plug-ins.
// A plug-in registers itself in init under a dotted id such as "kv.etcd". A process
// that needs it loads it by id and passes its settings to it.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Plugin is a registered plug-in.
type Plugin struct {
	// ID is unique and starts with the plug-in's namespace, such as "kv" in
	// "kv.etcd".
	ID string
	// New returns an instance with default settings, ready to be provisioned.
	New func() any
}

// Provisioner is implemented by plug-ins that must be configured before use.
type Provisioner interface {
	// Provision configures the plug-in with the settings of the process that
	// loads it.
	Provision(ctx context.Context, settings Settings) error
}

// Validator is implemented by plug-ins that check their configuration after
// provisioning.
type Validator interface {
	Validate() error
}

// Cleaner is implemented by plug-ins that hold resources, which Cleanup releases.
type Cleaner interface {
	Cleanup() error
}

// Error reports a plug-in that can't be loaded.
type Error struct {
	ID string
	// Op is the failed step: "load", "provision" or "validate".
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

// Register adds a plug-in to the registry. It panics if the id is empty or already
// registered, or if New is nil, because these are programming errors.
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

// IDs returns the sorted ids of the registered plug-ins in a namespace.
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

// Load creates an instance of the plug-in with the given id, provisions and
// validates it. It returns an *Error if the id is not registered, if the plug-in does
// not implement T, or if a step fails. If validation fails, the plug-in is cleaned
// up.
func Load[T any](ctx context.Context, id string, settings Settings) (T, error) {
	var zero T
	mu.RLock()
	p, ok := plugins[id]
	mu.RUnlock()
	if !ok {
		namespace, _, _ := strings.Cut(id, ".")
		return zero, &Error{ID: id, Op: "load", Err: fmt.Errorf("not registered; available: %s", strings.Join(IDs(namespace), ", "))}
	}
	v, ok := p.New().(T)
	if !ok {
		return zero, &Error{ID: id, Op: "load", Err: fmt.Errorf("does not implement %T", &zero)}
	}
	if pr, ok := any(v).(Provisioner); ok {
		if err := pr.Provision(ctx, settings); err != nil {
			return zero, &Error{ID: id, Op: "provision", Err: err}
		}
	}
	if va, ok := any(v).(Validator); ok {
		if err := va.Validate(); err != nil {
			if c, ok := any(v).(Cleaner); ok {
				_ = c.Cleanup()
			}
			return zero, &Error{ID: id, Op: "validate", Err: err}
		}
	}
	return v, nil
}
