package entry

import (
	"context"
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

// attempt is one attempt whose response is being read.
type attempt struct {
	server   *Server
	request  *Request
	endpoint string
	// remote is set when the endpoint is in another region.
	remote bool
	link   *wire.Link
	open   *pb.Open
	call   *wire.Call
	// answered is set with the agent's first message.
	answered *atomic.Bool
	feedback *feedback
	// patience is how long a read waits before it returns errSilent; 0 means
	// without limit.
	patience time.Duration
	alarm    *time.Timer
	pending  []stream.Part
	ended    bool
	closed   bool
}

// head waits for the response head.
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

// next returns the following body bytes, nil at the end.
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

// waiting reports whether the next part is body bytes that have arrived.
func (a *attempt) waiting() bool { return len(a.pending) > 0 && len(a.pending[0].Data) > 0 }

// part returns the next part, nil at a proper end.
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
	if a.remote {
		a.server.metrics.crossRegion.WithLabelValues(a.request.Service).Add(float64(len(p.Data)))
	}
	a.pending = a.pending[1:]
	return &p, nil
}

// errSilent means that no message came within the attempt's patience. The
// attempt goes on and can be read again.
var errSilent = &Error{Status: http.StatusGatewayTimeout, Code: CodeOutcomeUnknown, Message: "the endpoint is silent", Run: call.Unknown}

// maxLate is how late the timer of a silence may be. A later one shows that this
// process has not run, and that messages may not have been read.
const maxLate = 5 * time.Millisecond

// wait handles the next message.
func (a *attempt) wait(ctx context.Context) *Error {
	for {
		start := time.Now()
		select {
		case m, ok := <-a.call.Messages():
			return a.received(ctx, m, ok)
		case <-a.limit():
		case <-ctx.Done():
			return a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown, Err: ctx.Err()})
		}
		select {
		case m, ok := <-a.call.Messages():
			return a.received(ctx, m, ok)
		default:
		}
		if time.Since(start) <= a.patience+maxLate {
			return errSilent
		}
	}
}

func (a *attempt) received(ctx context.Context, m wire.Message, ok bool) *Error {
	if !ok {
		return a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown})
	}
	return a.message(ctx, m)
}

// limit starts the timer of the attempt's patience.
func (a *attempt) limit() <-chan time.Time {
	if a.patience == 0 {
		return nil
	}
	if a.alarm == nil {
		a.alarm = time.NewTimer(a.patience)
	} else {
		a.alarm.Reset(a.patience)
	}
	return a.alarm.C
}

func (a *attempt) message(ctx context.Context, m wire.Message) *Error {
	if m.Err == nil {
		a.answered.Store(true)
	}
	a.feedback.message(ctx, m)
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

// fail turns a lost call into an error. A call that may have been accepted is
// revoked first: only a tombstone proves that it did not run. Idempotent calls
// need no proof, and the revocation of a silent agent would delay their retry.
func (a *attempt) fail(ctx context.Context, we *wire.Error) *Error {
	e := fromWire(we)
	if e.Run != call.Unknown || ctx.Err() != nil || a.request.Idempotent {
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

func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.alarm != nil {
		a.alarm.Stop()
	}
	a.call.Cancel()
	go func() {
		for range a.call.Messages() {
		}
		a.feedback.close()
	}()
}
