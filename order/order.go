// Package order decides which orders the engines of a service need and refuses
// orders of a controller that has lost its lease.
package order

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
)

// State is what an engine has loaded, or should have.
type State struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// equal compares two states; the order of adapters has no meaning.
func (s State) equal(o State) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role &&
		slices.Equal(slices.Sorted(slices.Values(s.Adapters)), slices.Sorted(slices.Values(o.Adapters)))
}

// Endpoint is the observed state of one engine.
type Endpoint struct {
	ID    string
	State State
	// Loading is true while the engine loads weights.
	Loading bool
	// Reachable is false when the state could not be read lately.
	Reachable bool
	// Behind is how many versions the engine's weights are behind; those that are
	// furthest behind change first.
	Behind int64
	// Load is the engine's load in requests; idle engines change before others.
	Load int64
}

// Order is an absolute instruction: the endpoint has this state.
type Order struct {
	Endpoint string
	State    State
}

// Plan returns the orders to send now: those furthest behind first, and of these the idle ones. At most slots
// engines load at the same time; unreachable ones take a slot when they were
// loading, because they may still load. An engine that is loading gets no order.
func Plan(want State, endpoints []Endpoint, slots int) []Order {
	var due []Endpoint
	for _, e := range endpoints {
		switch {
		case e.Loading:
			slots--
		case e.Reachable && !e.State.equal(want):
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	var out []Order
	for _, e := range due {
		// A change of role loads no weights and needs no slot.
		if e.State.Model != want.Model || e.State.Version != want.Version || !sameAdapters(e.State, want) {
			if slots <= 0 {
				continue
			}
			slots--
		}
		out = append(out, Order{Endpoint: e.ID, State: want})
	}
	return out
}

func sameAdapters(a, b State) bool {
	return State{Adapters: a.Adapters}.equal(State{Adapters: b.Adapters})
}

// StaleError says that an order carried an old fencing number.
type StaleError struct {
	Endpoint string
	// Fence is the order's number, Highest the highest accepted one.
	Fence, Highest int64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("order for %s has fencing number %d, allowed: %d or higher", e.Endpoint, e.Fence, e.Highest)
}

// Fence remembers the highest fencing number per endpoint. Some engines ignore
// the number, so that the agent must check it. Methods are safe for concurrent
// use.
type Fence struct {
	mu   sync.Mutex
	ends map[string]*fenced
}

type fenced struct {
	// send is held while an order is sent, so that an order that was checked
	// before a newer one can't reach the engine after it. It is a channel
	// because no lock is held across I/O and waiting for it must be bounded.
	send    chan struct{}
	highest int64
}

// NewFence returns a fence without orders.
func NewFence() *Fence { return &Fence{ends: map[string]*fenced{}} }

// Do calls send unless the endpoint has accepted a higher number. Orders of
// one endpoint are sent one after the other. It returns the highest number and
// a *StaleError, send's error, or ErrAbandoned when done closes while it waits.
func (f *Fence) Do(done <-chan struct{}, endpoint string, fence int64, send func() error) (int64, error) {
	f.mu.Lock()
	e := f.ends[endpoint]
	if e == nil {
		e = &fenced{send: make(chan struct{}, 1)}
		f.ends[endpoint] = e
	}
	f.mu.Unlock()
	if highest, err := f.raise(e, endpoint, fence); err != nil {
		return highest, err
	}
	select {
	case e.send <- struct{}{}:
		defer func() { <-e.send }()
	case <-done:
		return fence, ErrAbandoned
	}
	// A newer order may have passed while this one waited.
	highest, err := f.raise(e, endpoint, fence)
	if err != nil {
		return highest, err
	}
	return highest, send()
}

// ErrAbandoned is returned by Fence.Do when the caller stopped waiting; the
// order was not sent.
var ErrAbandoned = errors.New("order was not sent: the caller stopped waiting")

// raise records the number, or refuses it when a higher one is known.
func (f *Fence) raise(e *fenced, endpoint string, fence int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence < e.highest {
		return e.highest, &StaleError{Endpoint: endpoint, Fence: fence, Highest: e.highest}
	}
	e.highest = fence
	return fence, nil
}
