package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// attempt is one attempt of a request at this agent. It outlives the streams
// that attach to it.
type attempt struct {
	key        call.Key
	endpointID string
	idempotent bool
	replay     *stream.Replay

	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	refused    *pb.Refused
	end        *pb.End
	dispatched bool
	done       bool
	// unread is set when no reader came within the grace period.
	unread bool
	// settled is set when the finished attempt's response was dropped or moved
	// to the kept results.
	settled   bool
	cached    int64
	readers   int
	session   int
	supersede chan struct{}
	detach    *time.Timer
}

func newAttempt(key call.Key, open *pb.Open, replay *stream.Replay) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{
		key:        key,
		endpointID: open.EndpointId,
		idempotent: open.Idempotent,
		replay:     replay,
		ctx:        ctx,
		cancel:     cancel,
	}
}

// Head implements Sink.
func (a *attempt) Head(ctx context.Context, h stream.Head) error {
	return a.append(ctx, stream.Part{Head: &h})
}

// Data implements Sink.
func (a *attempt) Data(ctx context.Context, b []byte) error {
	return a.append(ctx, stream.Part{Data: b})
}

func (a *attempt) append(ctx context.Context, p stream.Part) error {
	if err := a.replay.Append(ctx, p); err != nil {
		code := CodeCancelled
		if errors.Is(err, stream.ErrClosed) {
			code = CodeProtocol
		}
		return &DriverError{Code: code, Run: call.Ran, Err: err}
	}
	return nil
}

// finish records the end and closes the replay buffer.
func (a *attempt) finish(end *pb.End) { a.conclude(end, nil) }

// refuse records a refusal that every later Open of the attempt receives.
func (a *attempt) refuse(r *pb.Refused) { a.conclude(nil, r) }

// conclude records the first end or refusal; later ones are ignored.
func (a *attempt) conclude(end *pb.End, refused *pb.Refused) {
	a.mu.Lock()
	if a.done {
		a.mu.Unlock()
		return
	}
	a.done, a.end, a.refused = true, end, refused
	a.mu.Unlock()
	a.replay.Close()
	a.cancel()
}

func (a *attempt) markDispatched() {
	a.mu.Lock()
	a.dispatched = true
	a.mu.Unlock()
}

// status returns the refusal or the end, and whether the endpoint has the request.
func (a *attempt) status() (refused *pb.Refused, end *pb.End, dispatched bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused, a.end, a.dispatched
}

// attach registers a reader. The returned channel closes when a newer reader
// takes over. A non-idempotent attempt has as many readers as entries ask for
// its result; they would otherwise take it from each other without end.
func (a *attempt) attach() (session int, superseded <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.supersede != nil && a.idempotent {
		close(a.supersede)
	}
	if a.detach != nil {
		a.detach.Stop()
		a.detach = nil
	}
	a.supersede = make(chan struct{})
	a.session++
	a.readers++
	a.unread = false
	a.replay.SetDropUnread(false)
	return a.session, a.supersede
}

// sole reports whether at most one reader is attached.
func (a *attempt) sole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers <= 1
}

// settle reports, once, that a finished attempt's response need not stay in
// the replay pool: its reader has all of it or is gone.
func (a *attempt) settle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil || a.settled {
		return false
	}
	read := a.replay.Acked() >= a.end.LastSeq
	gone := a.unread || (!a.idempotent && a.readers == 0)
	a.settled = read || gone
	return a.settled
}

// detached is called when a reader's stream ended. If no reader is left after
// the grace period, an idempotent attempt is cancelled; a non-idempotent one
// runs on and no longer waits for a reader, which would hold its slot for good.
// expired is called then.
func (a *attempt) detached(session int, grace time.Duration, expired func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.settled || a.refused != nil || (a.idempotent && session != a.session) || (!a.idempotent && a.readers > 0) {
		return
	}
	session = a.session
	a.detach = time.AfterFunc(grace, func() {
		a.expire(session)
		expired()
	})
}

// expire is called when the grace period of a session ended.
func (a *attempt) expire(session int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if session != a.session {
		return
	}
	a.unread = true
	if a.idempotent {
		a.cancel()
	} else {
		a.replay.SetDropUnread(true)
	}
}
