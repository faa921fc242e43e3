// Package order computes the orders that bring the engines of a service to their
// desired state, and uses fencing tokens to reject orders from a controller that
// has lost its lease. A fencing token is a number that grows with each holder of the
// lease.
package order

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
)

// State is the observed or the desired state of an engine: what it has loaded and
// its role.
type State struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// equal compares two states, ignoring the order of adapters.
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
	// Reachable is false when the state could not be read recently.
	Reachable bool
	// Behind is the number of versions by which the engine's weights are outdated.
	// The most outdated engines are updated first.
	Behind int64
	// Load is the engine's load in requests. Engines with a lower load are updated
	// first.
	Load int64
}

// Order instructs an endpoint to reach a state. It is absolute, not relative to the
// current state.
type Order struct {
	Endpoint string
	State    State
}

// Plan returns the orders to send now. The most outdated engines come first, and
// among these the ones with the lowest load. At most slots engines load weights
// concurrently. An unreachable engine that was loading occupies a slot, because it
// may still be loading. An engine that is loading gets no order.
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
		// Changing only the role loads no weights and needs no slot.
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

// StaleError reports that an order carried an outdated fencing token.
type StaleError struct {
	Endpoint string
	// Fence is the order's fencing token, Highest the highest accepted one.
	Fence, Highest int64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("order for %s has fencing token %d, allowed: %d or higher", e.Endpoint, e.Fence, e.Highest)
}

// Fence tracks the highest fencing token per endpoint and rejects orders with a
// lower one. The agent must check the number because some engines ignore it.
// Methods are safe for concurrent use.
type Fence struct {
	mu        sync.Mutex
	endpoints map[string]*endpointFence
}

// endpointFence is the fencing state of one endpoint.
type endpointFence struct {
	// sending is a semaphore that is held while an order is sent, so that an order
	// checked before a newer one can't reach the engine after it. It is a channel
	// because no mutex is held across I/O and waiting for it must be cancellable.
	sending chan struct{}
	highest int64
}

// NewFence returns a fence that has accepted no orders.
func NewFence() *Fence { return &Fence{endpoints: map[string]*endpointFence{}} }

// Do calls send unless the endpoint has accepted a higher fencing token. Orders
// of one endpoint are sent one at a time. It returns the highest accepted number
// and, on failure, a *StaleError, the error of send, or ErrAbandoned if done is
// closed while it waits for an earlier order.
func (f *Fence) Do(done <-chan struct{}, endpoint string, fence int64, send func() error) (int64, error) {
	f.mu.Lock()
	e := f.endpoints[endpoint]
	if e == nil {
		e = &endpointFence{sending: make(chan struct{}, 1)}
		f.endpoints[endpoint] = e
	}
	f.mu.Unlock()
	if highest, err := f.raise(e, endpoint, fence); err != nil {
		return highest, err
	}
	select {
	case e.sending <- struct{}{}:
		defer func() { <-e.sending }()
	case <-done:
		return fence, ErrAbandoned
	}
	// A newer order may have been accepted while this one waited.
	highest, err := f.raise(e, endpoint, fence)
	if err != nil {
		return highest, err
	}
	return highest, send()
}

// ErrAbandoned is returned by Fence.Do when the caller stopped waiting. The order
// was not sent.
var ErrAbandoned = errors.New("order was not sent: the caller stopped waiting")

// raise records the fencing token, or returns a *StaleError if a higher one has
// been accepted. It returns the highest accepted number.
func (f *Fence) raise(e *endpointFence, endpoint string, fence int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence < e.highest {
		return e.highest, &StaleError{Endpoint: endpoint, Fence: fence, Highest: e.highest}
	}
	e.highest = fence
	return fence, nil
}
