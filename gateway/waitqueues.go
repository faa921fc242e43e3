package gateway

import (
	"sync"

	"github.com/citrontiller/citrontiller/admit"
)

// waitQueues holds the queue of each service. The zero value is ready for use.
type waitQueues struct {
	mu     sync.RWMutex
	queues map[string]*serviceQueue
}

// find returns the queue of a service, nil if no request has ever waited there.
func (w *waitQueues) find(service string) *serviceQueue {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.queues[service]
}

// get returns the queue of a service. Services come from the configuration, which bounds
// their number.
func (w *waitQueues) get(service string) *serviceQueue {
	if q := w.find(service); q != nil {
		return q
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queues == nil {
		w.queues = map[string]*serviceQueue{}
	}
	if w.queues[service] == nil {
		w.queues[service] = &serviceQueue{responses: make(chan struct{}, 1), waiters: map[*admit.Waiting]*waiter{}}
	}
	return w.queues[service]
}

// responseStarted tells a service's queue that a response has started.
func (w *waitQueues) responseStarted(service string) {
	q := w.find(service)
	if q == nil {
		return
	}
	select {
	case q.responses <- struct{}{}:
	default: // the queue hasn't taken notice of an earlier response
	}
}
