package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

const (
	// claimTimeout bounds one operation of the store; a slower store counts as
	// unavailable.
	claimTimeout = 3 * time.Second
	// maxResultWrites bounds the writes of a call's result to the store.
	maxResultWrites = 5
	// resultWriteInterval is the delay between these writes.
	resultWriteInterval = 2 * time.Second
	// maxClaimRounds bounds how often a request tries to take over a claim that other
	// requests keep changing.
	maxClaimRounds = 8
)

// claimGuard claims the caller's idempotency key before each attempt is opened.
type claimGuard struct {
	server  *Server
	request *Request
	// claim is the last claim that this request wrote, nil before the first write.
	claim *call.Claim
	// key and revision identify the stored value that the next write replaces.
	key      string
	revision int64
	// held is the claim of another request that blocked the last write.
	held *call.Claim
}

// beforeOpen implements guard. The Open's ticket is older than the write: if the
// entry is paused after the write, the agent refuses the Open as stale.
func (g *claimGuard) beforeOpen(ctx context.Context, m member.Endpoint, open *pb.Open) *Error {
	r := g.request
	cl := &call.Claim{Key: g.key, Revision: g.revision, RequestID: open.RequestId, AttemptID: open.AttemptId,
		BodySHA256: call.BodyDigest(r.Method, r.Path, r.Body), Endpoint: m.ID, Agent: m.Agent,
		Incarnation: open.Incarnation, TicketMs: open.TicketMs, Retention: r.Document.Timeouts.ClaimRetention()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := g.server.claims.Write(ctx, cl); err != nil {
		var ce *call.ClaimError
		if errors.As(err, &ce) && ce.Code == call.ClaimHeld {
			g.held = ce.Held
		}
		return fromClaim(err)
	}
	g.claim, g.revision = cl, cl.Revision
	return nil
}

// fromClaim converts a failed claim write into an error. No attempt was opened.
func fromClaim(err error) *Error {
	e := &Error{Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Run: call.NotRun, RetryAfter: time.Second,
		Message: "the idempotency key can't be recorded now", Err: err}
	var ce *call.ClaimError
	if errors.As(err, &ce) && ce.Code == call.ClaimLimited {
		e.Code, e.Message = CodeTooManyRequests, "the limit on recorded idempotency keys is reached"
	}
	return e
}

// outcomeUnknown returns the error for a request that may or may not have run.
func outcomeUnknown(message string) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeOutcomeUnknown, Message: message, Run: call.Unknown}
}

// dispatchOnce runs a request. A non-idempotent request with an idempotency key
// runs under a claim, so that it runs at most once.
func (s *Server) dispatchOnce(ctx context.Context, r *Request) (*Response, error) {
	if r.Idempotent || r.IdempotencyKey == "" {
		return s.dispatch(ctx, r)
	}
	if err := s.claims.Allow(r.Service, r.Document.Budgets.ClaimWritesPerSecond); err != nil {
		return nil, fromClaim(err)
	}
	// The call completes and its result is stored even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	g := &claimGuard{server: s, request: r, key: call.ClaimKey(r.Account, r.Service, r.IdempotencyKey)}
	r.guard = g
	for range maxClaimRounds {
		g.held = nil
		resp, err := s.dispatch(ctx, r)
		if err == nil {
			return s.withRecorder(resp, g.claim), nil
		}
		if g.held == nil {
			return s.handleFailure(ctx, r, g, err)
		}
		resp, err = s.handleDuplicate(ctx, r, g.held)
		if resp != nil || err != nil {
			return resp, err
		}
		// The claim's attempt is proven not to have run, so this request takes over
		// the claim.
		g.revision = g.held.Revision
	}
	return nil, &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Run: call.NotRun, RetryAfter: time.Second,
		Message: "other requests with the same idempotency key keep changing the claim"}
}

// handleFailure handles the failure of a request that was not blocked by another
// request's claim. If the request failed before it wrote its own claim, for
// example because there was no endpoint, the store is checked for an existing
// claim first, because "not run" must hold for every request with the idempotency
// key, not only for this one.
func (s *Server) handleFailure(ctx context.Context, r *Request, g *claimGuard, cause error) (*Response, error) {
	if asError(cause).Run != call.NotRun {
		return nil, cause
	}
	if g.claim != nil {
		s.release(ctx, g.claim)
		return nil, cause
	}
	rctx, cancel := context.WithTimeout(ctx, claimTimeout)
	held, err := s.claims.Read(rctx, g.key)
	cancel()
	if err != nil {
		return nil, cause
	}
	resp, err := s.handleDuplicate(ctx, r, held)
	if resp != nil || err != nil {
		return resp, err
	}
	s.release(ctx, held)
	return nil, cause
}

// handleDuplicate serves a request whose idempotency key is claimed by another
// request. It returns neither a response nor an error if that request is proven
// not to have run.
func (s *Server) handleDuplicate(ctx context.Context, r *Request, held *call.Claim) (*Response, error) {
	s.log.Info("claim held", zap.String("request", r.ID), zap.String("holder", held.RequestID), zap.String("agent", held.Agent))
	if held.BodySHA256 != call.BodyDigest(r.Method, r.Path, r.Body) {
		return nil, invalid(http.StatusUnprocessableEntity, CodeKeyReused, "the idempotency key was used for another request")
	}
	if held.Result != nil {
		return s.storedResponse(r, held)
	}
	s.mu.Lock()
	link := s.links[held.Agent]
	s.mu.Unlock()
	if link == nil {
		return nil, outcomeUnknown("the agent that has the first request is gone")
	}
	resp, aerr := s.joinAttempt(ctx, r, held, link)
	if aerr == nil {
		return resp, nil
	}
	if aerr.Run != call.Unknown {
		return nil, aerr
	}
	rctx, cancel := context.WithTimeout(ctx, s.opts.RevokeTimeout)
	defer cancel()
	reply, err := link.Revoke(rctx, &pb.RevokeRequest{RequestId: held.RequestID, AttemptId: held.AttemptID,
		Incarnation: held.Incarnation, TicketMs: held.TicketMs})
	if err == nil && reply.State == pb.AttemptState_ATTEMPT_REVOKED {
		return nil, nil
	}
	if err == nil && (reply.State == pb.AttemptState_ATTEMPT_RUNNING || reply.State == pb.AttemptState_ATTEMPT_FINISHED) {
		// The first request's Open can arrive between the Attach and the Revoke.
		if resp, aerr = s.joinAttempt(ctx, r, held, link); aerr == nil {
			return resp, nil
		}
	}
	e := outcomeUnknown("it can't be told whether the first request ran")
	e.Err = errors.Join(aerr, err)
	return nil, e
}

// joinAttempt attaches to the attempt named in a claim and waits for its response.
// A nil response without an error means that the attempt is proven not to have
// run.
func (s *Server) joinAttempt(ctx context.Context, r *Request, held *call.Claim, link *wire.Link) (*Response, *Error) {
	ctx, cancel := context.WithTimeout(ctx, r.Document.Timeouts.Request())
	open := &pb.Open{RequestId: held.RequestID, AttemptId: held.AttemptID, Incarnation: held.Incarnation, TicketMs: held.TicketMs}
	a := &attempt{server: s, request: r, endpoint: held.Endpoint, link: link, open: open, replied: new(atomic.Bool),
		call: link.StartAttached(ctx, held.RequestID, held.AttemptID, held.Incarnation, wire.WithStallTimeout(r.Document.Timeouts.StallTimeout()))}
	head, err := a.head(ctx)
	if err != nil {
		a.close()
		cancel()
		if err.Run == call.NotRun {
			return nil, nil
		}
		return nil, err
	}
	resp := &Response{RequestID: held.RequestID, Endpoint: held.Endpoint, Head: *head, next: a.next, close: func() { a.close(); cancel() },
		WriteStall: time.Duration(r.Document.Timeouts.WriteStallMs) * time.Millisecond}
	held.Retention = r.Document.Timeouts.ClaimRetention()
	return s.withRecorder(resp, held), nil
}

// storedResponse returns the response stored in a completed claim, or an error if
// the response was too large to store.
func (s *Server) storedResponse(r *Request, held *call.Claim) (*Response, error) {
	res := held.Result
	if res.Omitted {
		return nil, &Error{Status: http.StatusConflict, Code: CodeResultUnavailable, Run: call.Ran,
			Message: "the request ran; its response was too large to keep"}
	}
	head := stream.Head{Status: res.Status}
	for _, h := range res.Headers {
		head.Headers = append(head.Headers, stream.Header{Name: h.Name, Value: h.Value})
	}
	body := res.Body
	next := func(context.Context) ([]byte, error) {
		b := body
		body = nil
		if len(b) == 0 {
			return nil, nil
		}
		return b, nil
	}
	return &Response{RequestID: held.RequestID, Endpoint: held.Endpoint, Head: head, next: next, close: func() {},
		WriteStall: time.Duration(r.Document.Timeouts.WriteStallMs) * time.Millisecond}, nil
}

// release deletes the claim of a request that did not run. If that fails, a
// duplicate request has to prove at the agent again that it did not run.
func (s *Server) release(ctx context.Context, cl *call.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := s.claims.Release(ctx, cl); err != nil {
		s.log.Warn("claim not released", zap.String("request", cl.RequestID), zap.Error(err))
	}
}

// resultRecorder records a response for its claim while the caller reads it.
type resultRecorder struct {
	server *Server
	claim  call.Claim
	inner  *Response
	result call.Result
	ended  bool
}

// withRecorder wraps a response so that its result is stored when it is complete.
// If the caller disconnects earlier, the rest is read in the background.
func (s *Server) withRecorder(resp *Response, cl *call.Claim) *Response {
	rec := &resultRecorder{server: s, claim: *cl, inner: resp, result: call.Result{Status: resp.Head.Status}}
	for _, h := range resp.Head.Headers {
		rec.result.Headers = append(rec.result.Headers, call.ResultHeader{Name: h.Name, Value: h.Value})
	}
	out := *resp
	out.next, out.close = rec.next, rec.close
	return &out
}

func (r *resultRecorder) next(ctx context.Context) ([]byte, error) {
	b, err := r.inner.next(ctx)
	switch {
	case err != nil:
		// An incomplete response is not stored; the claim still names the agent.
		r.ended = r.ended || ctx.Err() == nil
		return nil, err
	case b == nil:
		r.ended = true
		r.server.spawn(r.store)
		return nil, nil
	}
	if len(r.result.Body)+len(b) > call.MaxResultBody {
		r.result.Omitted, r.result.Body = true, nil
	}
	if !r.result.Omitted {
		r.result.Body = append(r.result.Body, b...)
	}
	return b, nil
}

func (r *resultRecorder) close() {
	if r.ended {
		r.inner.close()
		return
	}
	if !r.server.spawn(r.drain) {
		r.inner.close()
	}
}

// drain reads the rest of a response whose caller has disconnected.
func (r *resultRecorder) drain(ctx context.Context) {
	defer r.inner.close()
	ctx, cancel := context.WithTimeout(ctx, r.server.opts.ResultTimeout)
	defer cancel()
	for !r.ended {
		if _, err := r.next(ctx); err != nil {
			return
		}
	}
}

// store writes the result to the claim. Until that succeeds, a duplicate request
// receives the result from the agent, as long as the agent retains it.
func (r *resultRecorder) store(serverCtx context.Context) {
	for range maxResultWrites {
		cl := r.claim
		cl.Result = &r.result
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		err := r.server.claims.Write(ctx, &cl)
		cancel()
		var ce *call.ClaimError
		if err == nil || (errors.As(err, &ce) && ce.Code == call.ClaimHeld) {
			return
		}
		r.server.log.Warn("result not stored", zap.String("request", cl.RequestID), zap.Error(err))
		select {
		case <-time.After(resultWriteInterval):
		case <-serverCtx.Done():
			return
		}
	}
}
