package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// guard is asked before an attempt is opened. The ticket in the Open is
// obtained before the guard runs, so that whatever the guard verifies is
// at most a ticket lifetime old when the agent sees the Open.
type guard interface {
	// beforeOpen returns an error that ends the request, or nil to go on.
	beforeOpen(ctx context.Context, m member.Endpoint, open *pb.Open) *Error
}

// dispatch runs a request: it chooses an endpoint, opens an attempt there and
// returns when the response head has arrived.
func (s *Server) dispatch(ctx context.Context, r *Request) (*Response, error) {
	rr := s.routeRequest(r)
	ctx, cancel := context.WithTimeout(ctx, r.Document.Timeouts.Request())
	var last *Error
	for range r.Document.Budgets.MaxAttemptsPerRequest {
		d, feedback := s.choose(rr)
		if d.Chosen == "" {
			break
		}
		rr.Exclude[d.Chosen] = true
		resp, err := s.attempt(ctx, r, rr, d.Chosen, feedback)
		if err == nil {
			resp.close = closeBoth(resp.close, cancel)
			return resp, nil
		}
		last = err
		if ctx.Err() != nil || !(err.Run == call.NotRun || r.Idempotent) {
			break
		}
	}
	cancel()
	if last == nil {
		last = &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Run: call.NotRun, RetryAfter: time.Second,
			Message: fmt.Sprintf("service %q has no endpoint that can take the request", r.Service)}
	}
	return nil, last
}

func closeBoth(a func(), b context.CancelFunc) func() { return func() { a(); b() } }

// attempt opens one attempt and waits for the response head.
func (s *Server) attempt(ctx context.Context, r *Request, rr *route.Request, endpoint string, fb *feedback) (*Response, *Error) {
	m, link := s.target(r.Service, endpoint)
	if link == nil {
		fb.close()
		return nil, &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Message: "the endpoint has no agent", Run: call.NotRun}
	}
	ticket, err := link.Ticket(ctx)
	if err != nil {
		fb.failed(ctx)
		return nil, fromWire(err)
	}
	open := s.openMessage(r, rr, m, ticket)
	if r.guard != nil {
		if err := r.guard.beforeOpen(ctx, m, open); err != nil {
			fb.close()
			return nil, err
		}
	}
	c := link.Start(ctx, open)
	a := &attempt{server: s, request: r, endpoint: endpoint, link: link, open: open, call: c, feedback: fb}
	head, aerr := a.head(ctx)
	if aerr != nil {
		a.close()
		return nil, aerr
	}
	return &Response{RequestID: r.ID, Endpoint: endpoint, Head: *head, next: a.next, close: a.close,
		WriteStall: time.Duration(r.Document.Timeouts.WriteStallMs) * time.Millisecond}, nil
}

func (s *Server) openMessage(r *Request, rr *route.Request, m member.Endpoint, t wire.Ticket) *pb.Open {
	o := &pb.Open{RequestId: r.ID, AttemptId: uuid.NewString(), EndpointId: m.ID, Incarnation: t.Incarnation, TicketMs: t.Ms,
		Service: r.Service, Account: r.Account, Idempotent: r.Idempotent, MaxWaitMs: r.Document.Timeouts.MaxWaitMs,
		Model: r.Model, Version: r.Document.Version, ConfigGeneration: r.Generation, Stream: r.Stream,
		Http: &pb.HttpRequest{Method: r.Method, Path: r.Path, Body: r.Body}}
	if r.Model != "" {
		o.CacheSalt = r.Scope().Salt()
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
	link     *wire.Link
	open     *pb.Open
	call     *wire.Call
	feedback *feedback
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

// part returns the next part, nil at a proper end.
func (a *attempt) part(ctx context.Context) (*stream.Part, *Error) {
	for len(a.pending) == 0 {
		if a.ended {
			return nil, nil
		}
		select {
		case m, ok := <-a.call.Messages():
			if !ok {
				return nil, a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown})
			}
			if err := a.message(ctx, m); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, a.fail(ctx, &wire.Error{Code: wire.CodeCancelled, Run: call.Unknown, Err: ctx.Err()})
		}
	}
	p := a.pending[0]
	a.pending = a.pending[1:]
	return &p, nil
}

func (a *attempt) message(ctx context.Context, m wire.Message) *Error {
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
// revoked first: only a tombstone proves that it did not run.
func (a *attempt) fail(ctx context.Context, we *wire.Error) *Error {
	e := fromWire(we)
	if e.Run != call.Unknown || ctx.Err() != nil {
		return e
	}
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.server.opts.RevokeTimeout)
	defer cancel()
	reply, err := a.link.Revoke(rctx, &pb.RevokeRequest{RequestId: a.open.RequestId, AttemptId: a.open.AttemptId,
		Incarnation: a.open.Incarnation, Cancel: true})
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
	a.call.Cancel()
	go func() {
		for range a.call.Messages() {
		}
		a.feedback.close()
	}()
}

func fromWire(err error) *Error {
	e := &Error{Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Message: "contact with the endpoint was lost", Run: call.Unknown, Err: err}
	if we, ok := err.(*wire.Error); ok {
		e.Run = we.Run
	}
	if e.Run == call.NotRun {
		e.Status, e.Code, e.Message, e.RetryAfter = http.StatusServiceUnavailable, CodeNoEndpoint, "the endpoint can't be reached", time.Second
	}
	return e
}

func fromRefusal(r *pb.Refused) *Error {
	e := &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Message: r.Message, Run: runFromWire(r.Run),
		RetryAfter: time.Duration(max(r.RetryAfterMs, 1000)) * time.Millisecond}
	if r.Code == pb.RefusalCode_REFUSAL_OVERLOADED {
		e.Code = CodeOverloaded
	}
	if e.Run != call.NotRun {
		e.Status, e.Code = http.StatusBadGateway, CodeOutcomeUnknown
	}
	return e
}

func fromEnd(end *pb.End) *Error {
	e := &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: end.ErrorCode, Run: runFromWire(end.Run)}
	switch e.Run {
	case call.NotRun:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, time.Second
	case call.Unknown:
		e.Code = CodeOutcomeUnknown
	}
	return e
}

func runFromWire(r pb.Run) call.Run {
	switch r {
	case pb.Run_RUN_NOT_RUN:
		return call.NotRun
	case pb.Run_RUN_RAN:
		return call.Ran
	default:
		return call.Unknown
	}
}
