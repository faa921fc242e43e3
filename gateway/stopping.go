package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/internal/wait"
)

// errStopped is the cause of the end of requests that are open when the process ends.
var errStopped = errors.New("gateway stops")

// Stop is the plan of a planned stop. Its times are those of Clock.
type Stop struct {
	// Clock also counts the time for which the host is suspended: the platform ends the
	// process by such a clock.
	Clock func() time.Duration
	// Began is when the process was told to stop. The gateway isn't ready from then on, and
	// its responses say "Connection: close".
	Began time.Duration
	// CertainFrom is when the gateway begins to refuse requests whose deadline lies after End.
	CertainFrom time.Duration
	// End is when the open requests are ended.
	End time.Duration
}

// BeginStop begins a planned stop.
func (g *Gateway) BeginStop(plan Stop) { g.stopping.plan.Store(&plan) }

// signalTime is the time in which a process notices a signal that it got while it didn't run.
const signalTime = 50 * time.Millisecond

// awaitSignal waits if the process may have got a signal while it didn't run: requests that came
// meanwhile must not be passed on before it has noticed that it must stop.
func (x *exchange) awaitSignal() {
	if x.g.JustStalled != nil && !x.g.Draining() && x.g.JustStalled() {
		wait.Sleep(x.r.Context(), signalTime)
	}
}

// maxCutShare is the share of a route's requests that may be expected to be cut by a planned
// stop; with more they are refused. A caller who is refused at once tries another gateway, one
// whose response is cut has lost it.
const maxCutShare = 0.1

// endsBeforeStop reports whether a request may be passed on now in view of the process's
// end. The times decide, not which goroutine runs first.
func (x *exchange) endsBeforeStop() bool {
	stop := x.g.stopping.plan.Load()
	if stop == nil {
		return true
	}
	now := stop.Clock()
	left := stop.End - now
	if time.Until(x.deadline) <= left {
		return true
	}
	if x.sends == 0 && now >= stop.CertainFrom {
		return false
	}
	share, known := x.g.durations.ShareOver(x.route.Name, left)
	return !known || share <= maxCutShare
}

// stopping ends the open requests when the process is about to end, so that their callers
// get an answer rather than a closed connection. The zero value is ready for use.
type stopping struct {
	// plan is nil before a planned stop.
	plan   atomic.Pointer[Stop]
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that ends when the open requests must end.
func (s *stopping) context() context.Context {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
	return s.ctx
}

// end ends the open requests.
func (s *stopping) end() {
	s.context()
	s.cancel()
}

// withEnd returns a context that ends at a deadline and, with the cause errStopped, when
// the open requests must end. The caller must call cancel.
func (s *stopping) withEnd(ctx context.Context, deadline time.Time) (out context.Context, cancel func()) {
	ctx, stop := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.context(), func() { stop(errStopped) })
	out, cancelDeadline := context.WithDeadline(ctx, deadline)
	return out, func() {
		detach()
		cancelDeadline()
		stop(nil)
	}
}

// EndRequests ends the open requests. Callers to whom nothing was sent yet get an answer:
// 503 if their request has not run, else 504. Connections of partial responses break.
func (g *Gateway) EndRequests() { g.stopping.end() }
