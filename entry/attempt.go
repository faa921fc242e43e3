package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// openMessage returns the Open message of a new attempt at m. The ticket and
// incarnation identify the agent process that may accept it.
func (s *Server) openMessage(r *Request, rr *route.Request, m member.Endpoint, t wire.Ticket, version string) *pb.Open {
	o := &pb.Open{RequestId: r.ID, AttemptId: uuid.NewString(), EndpointId: m.ID, Incarnation: t.Incarnation, TicketMs: t.Ms,
		Service: r.Service, Account: r.Account, Idempotent: r.Idempotent, MaxWaitMs: r.Document.Timeouts.MaxWaitMs,
		Model: r.Model, Version: version, ConfigGeneration: r.Generation, Stream: r.Stream,
		Http: &pb.HttpRequest{Method: r.Method, Path: r.Path, Body: r.Body}}
	if r.Model != "" {
		o.CacheSalt = r.scopeOf(version).Salt()
	}
	for _, h := range r.Headers {
		o.Http.Headers = append(o.Http.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	for _, l := range rr.Levels {
		o.Levels = append(o.Levels, &pb.Level{Hash: l.Hash, Tokens: l.Tokens})
	}
	return o
}

// attempt reads the response of one attempt of a request.
type attempt struct {
	server   *Server
	request  *Request
	endpoint string
	// crossRegion is set when the endpoint is in another region.
	crossRegion bool
	link        *wire.Link
	open        *pb.Open
	call        *wire.Call
	// replied is set when the agent's first message arrives.
	replied  *atomic.Bool
	feedback *feedback
	// readTimeout bounds the wait for the next message, after which a read
	// returns errReadTimeout; 0 means no limit.
	readTimeout time.Duration
	timer       *time.Timer
	// pending holds the received parts that have not been read.
	pending []stream.Part
	ended   bool
	closed  bool
}

// head waits for the response head. It rejects a response whose X-Request-Id
// belongs to another request.
func (a *attempt) head(ctx context.Context) (*stream.Head, *Error) {
	p, err := a.part(ctx)
	switch {
	case err != nil:
		return nil, err
	case p == nil || p.Head == nil:
		return nil, &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: "the endpoint sent no response", Run: call.Unknown}
	}
	for _, h := range p.Head.Headers {
		if strings.EqualFold(h.Name, "X-Request-Id") && h.Value != a.open.RequestId {
			return nil, &Error{Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Message: "the endpoint answered another request", Run: call.Unknown}
		}
	}
	return p.Head, nil
}

// next returns the next body bytes, or nil at the end of the body.
func (a *attempt) next(ctx context.Context) ([]byte, error) {
	p, err := a.part(ctx)
	if err != nil {
		return nil, err
	}
	if p == nil {
		return nil, nil
	}
	return p.Data, nil
}

// buffered reports whether the next part has already arrived and is body bytes.
func (a *attempt) buffered() bool { return len(a.pending) > 0 && len(a.pending[0].Data) > 0 }

// part returns the next part, or nil after a successful end.
func (a *attempt) part(ctx context.Context) (*stream.Part, *Error) {
	for len(a.pending) == 0 {
		if a.ended {
			return nil, nil
		}
		if err := a.wait(ctx); err != nil {
			return nil, err
		}
	}
	p := a.pending[0]
	if a.crossRegion {
		a.server.metrics.crossRegion.WithLabelValues(a.request.Service).Add(float64(len(p.Data)))
	}
	a.pending = a.pending[1:]
	return &p, nil
}

// errReadTimeout means that no message arrived within the attempt's
// readTimeout. The attempt is still running and can be read again.
var errReadTimeout = &Error{Status: http.StatusGatewayTimeout, Code: CodeOutcomeUnknown, Message: "the endpoint is silent", Run: call.Unknown}

// maxTimerDelay bounds how late the read timer may fire. A longer delay means
// that this process was not scheduled, so that messages may have arrived unread.
const maxTimerDelay = 5 * time.Millisecond

// wait blocks until the next message arrives and handles it. It returns
// errReadTimeout only if the timer fired on time and no message is queued.
func (a *attempt) wait(ctx context.Context) *Error {
	for {
		start := time.Now()
		select {
		case m, ok := <-a.call.Messages():
			return a.received(ctx, m, ok)
		case <-a.startTimer():
		case <-ctx.Done():
			return a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown, Err: ctx.Err()})
		}
		select {
		case m, ok := <-a.call.Messages():
			return a.received(ctx, m, ok)
		default:
		}
		if time.Since(start) <= a.readTimeout+maxTimerDelay {
			return errReadTimeout
		}
	}
}

func (a *attempt) received(ctx context.Context, m wire.Message, ok bool) *Error {
	if !ok {
		return a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown})
	}
	return a.handleMessage(ctx, m)
}

// startTimer starts the read timer and returns its channel, nil without a limit.
func (a *attempt) startTimer() <-chan time.Time {
	if a.readTimeout == 0 {
		return nil
	}
	if a.timer == nil {
		a.timer = time.NewTimer(a.readTimeout)
	} else {
		a.timer.Reset(a.readTimeout)
	}
	return a.timer.C
}

func (a *attempt) handleMessage(ctx context.Context, m wire.Message) *Error {
	if m.Err == nil {
		a.replied.Store(true)
	}
	a.feedback.handleMessage(ctx, m)
	switch {
	case m.Parts != nil:
		a.pending = m.Parts
	case m.Refused != nil:
		return fromRefusal(m.Refused)
	case m.Err != nil:
		return a.fail(ctx, m.Err)
	case m.End != nil:
		a.ended = true
		if m.End.ErrorCode != "" {
			return fromEnd(m.End)
		}
	}
	return nil
}

// fail converts a lost call into an error. A call that may have been accepted is
// revoked first: only the agent's tombstone proves that it did not run. Calls
// past their deadline are revoked too, because they may still be in the agent's
// queue. Idempotent calls need no proof, and waiting for an unresponsive agent
// would delay their retry.
func (a *attempt) fail(ctx context.Context, we *wire.Error) *Error {
	e := fromWire(we)
	if e.Run != call.Unknown || errors.Is(ctx.Err(), context.Canceled) || a.request.Idempotent {
		return e
	}
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.server.opts.RevokeTimeout)
	defer cancel()
	reply, err := a.link.Revoke(rctx, &pb.RevokeRequest{RequestId: a.open.RequestId, AttemptId: a.open.AttemptId,
		Incarnation: a.open.Incarnation, TicketMs: a.open.TicketMs, Cancel: true})
	if err == nil && reply.State == pb.AttemptState_ATTEMPT_REVOKED {
		e.Run, e.Status, e.Code = call.NotRun, http.StatusServiceUnavailable, CodeNoEndpoint
	}
	return e
}

// close cancels the call and drains its messages in the background.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
	a.call.Cancel()
	go func() {
		for range a.call.Messages() {
		}
		a.feedback.close()
	}()
}
