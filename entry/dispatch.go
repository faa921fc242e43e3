package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/member"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// guard runs before an attempt is opened. The ticket in the Open is obtained
// before the guard runs, so that whatever the guard verifies is at most one ticket
// lifetime old when the agent accepts the Open.
type guard interface {
	// beforeOpen returns nil to open the attempt, or the error that ends the
	// request.
	beforeOpen(ctx context.Context, m member.Endpoint, open *pb.Open) *Error
}

// dispatch runs a request with retries and hedging. It returns when an endpoint
// has started its response, or with the last error. Closing the response cancels
// the attempt.
func (s *Server) dispatch(ctx context.Context, r *Request) (*Response, error) {
	rr := s.routeRequest(r)
	ctx, cancel := context.WithTimeout(ctx, r.Document.Timeouts.Request())
	b := s.budgetsOf(r.Service)
	b.retry.earn(r.Document.Budgets.RetryPercent)
	b.hedge.earn(r.Document.Budgets.HedgePercent)
	resp, last := s.newRace(r, rr).run(ctx)
	if resp != nil {
		resp = s.withResume(ctx, r, rr, resp)
		resp.close = closeBoth(resp.close, cancel)
		return resp, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && last != nil {
		last = &Error{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Message: "the request's deadline has passed", Run: last.Run, Err: last}
	}
	cancel()
	if last == nil {
		last = &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Run: call.NotRun, RetryAfter: time.Second,
			Message: fmt.Sprintf("service %q has no endpoint that can take the request", r.Service)}
	}
	return nil, last
}

// closeBoth returns a function that calls a, then b.
func closeBoth(a func(), b context.CancelFunc) func() { return func() { a(); b() } }

// attempt opens one attempt at an endpoint and waits for the response head.
func (s *Server) openAttempt(ctx context.Context, r *Request, rr *route.Request, endpoint string, replied *atomic.Bool, fb *feedback) (*Response, *Error) {
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
	version := versionOf(rr, r.Document.Version, link, m.ID)
	open := s.openMessage(r, rr, m, ticket, version)
	if r.guard != nil {
		if err := r.guard.beforeOpen(ctx, m, open); err != nil {
			fb.close()
			err.noRetry = true
			return nil, err
		}
	}
	c := link.Start(ctx, open, wire.WithStallTimeout(r.Document.Timeouts.StallTimeout()))
	a := &attempt{server: s, request: r, endpoint: endpoint, crossRegion: m.Region != s.opts.Region, link: link, open: open, call: c, replied: replied, feedback: fb}
	head, aerr := a.head(ctx)
	if aerr != nil {
		a.close()
		return nil, aerr
	}
	return &Response{RequestID: r.ID, Endpoint: endpoint, version: version, Head: *head, next: a.next, close: a.close, buffered: a.buffered, attempt: a,
		WriteStall: time.Duration(r.Document.Timeouts.WriteStallMs) * time.Millisecond}, nil
}
