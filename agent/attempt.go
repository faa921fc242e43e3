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

// attempt is one attempt of a request at this agent. It may outlive the streams
// that are attached to it.
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
	// graceExpired is set when no reader attached within the grace period.
	graceExpired bool
	// released is set when the finished attempt's response may leave the replay
	// pool: it is dropped or moved to the kept results.
	released bool
	// cachedTokens is the expected number of prompt tokens in the engine's cache
	// when the attempt was opened.
	cachedTokens int64
	// readers is the number of attached streams. session is the number of streams
	// attached so far and identifies the newest one.
	readers int
	session int
	// superseded is closed when a newer reader attaches to an idempotent attempt.
	superseded chan struct{}
	graceTimer *time.Timer
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

// conclude records the first end or refusal and ignores later ones.
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

// status returns the refusal or the end, if there is one, and whether the
// request was dispatched to the endpoint.
func (a *attempt) status() (refused *pb.Refused, end *pb.End, dispatched bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused, a.end, a.dispatched
}

// attach registers a reader. For an idempotent attempt, the returned channel
// closes when a newer reader attaches. A non-idempotent attempt may have several
// readers, because entries that wait for the same result would otherwise keep
// superseding each other.
func (a *attempt) attach() (session int, superseded <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded != nil && a.idempotent {
		close(a.superseded)
	}
	if a.graceTimer != nil {
		a.graceTimer.Stop()
		a.graceTimer = nil
	}
	a.superseded = make(chan struct{})
	a.session++
	a.readers++
	a.graceExpired = false
	a.replay.SetDropUnread(false)
	return a.session, a.superseded
}

// soleReader reports whether at most one reader is attached.
func (a *attempt) soleReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers <= 1
}

// markReleased reports, at most once, that a finished attempt's response can
// leave the replay pool, because its reader has received all of it or is gone.
func (a *attempt) markReleased() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil || a.released {
		return false
	}
	read := a.replay.Acked() >= a.end.LastSeq
	gone := a.graceExpired || (!a.idempotent && a.readers == 0)
	a.released = read || gone
	return a.released
}

// detach unregisters a reader whose stream has ended. If no reader attaches
// within the grace period, an idempotent attempt is cancelled. A non-idempotent
// one continues without waiting for a reader, because that wait could hold its
// slot forever. onExpire is called after the grace period.
func (a *attempt) detach(session int, grace time.Duration, onExpire func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.released || a.refused != nil || (a.idempotent && session != a.session) || (!a.idempotent && a.readers > 0) {
		return
	}
	session = a.session
	a.graceTimer = time.AfterFunc(grace, func() {
		a.expireGrace(session)
		onExpire()
	})
}

// expireGrace ends the grace period of a session, unless a newer session has
// started.
func (a *attempt) expireGrace(session int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if session != a.session {
		return
	}
	a.graceExpired = true
	if a.idempotent {
		a.cancel()
	} else {
		a.replay.SetDropUnread(true)
	}
}
