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
	b := s.budgetsOf(r.Service)
	b.retry.earn(r.Document.Budgets.RetryPercent)
	b.hedge.earn(r.Document.Budgets.HedgePercent)
	resp, last := s.newRace(r, rr).run(ctx)
	if resp != nil {
		resp = s.resuming(ctx, r, rr, resp)
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

func closeBoth(a func(), b context.CancelFunc) func() { return func() { a(); b() } }

// attempt opens one attempt and waits for the response head.
func (s *Server) attempt(ctx context.Context, r *Request, rr *route.Request, endpoint string, answered *atomic.Bool, fb *feedback) (*Response, *Error) {
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
			err.ended = true
			return nil, err
		}
	}
	c := link.Start(ctx, open, wire.WithStallTimeout(r.Document.Timeouts.StallTimeout()))
	a := &attempt{server: s, request: r, endpoint: endpoint, remote: m.Region != s.opts.Region, link: link, open: open, call: c, answered: answered, feedback: fb}
	head, aerr := a.head(ctx)
	if aerr != nil {
		a.close()
		return nil, aerr
	}
	return &Response{RequestID: r.ID, Endpoint: endpoint, version: version, Head: *head, next: a.next, close: a.close, waiting: a.waiting, attempt: a,
		WriteStall: time.Duration(r.Document.Timeouts.WriteStallMs) * time.Millisecond}, nil
}
