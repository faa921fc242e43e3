package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// failure classifies an attempt without a usable answer.
type failure string

const (
	// notSent means that nothing reached the endpoint.
	notSent failure = "not_sent"
	// notRun means that the endpoint states it did not run the request.
	notRun failure = "not_run"
	// unknown means that the request may have run.
	unknown failure = "unknown"
)

// attemptError reports an attempt without a usable answer.
type attemptError struct {
	failure  failure
	endpoint string
	err      error
	// granted is true when another send has been allowed already.
	granted bool
}

func (e *attemptError) Error() string {
	return fmt.Sprintf("endpoint %q: %s: %v", e.endpoint, e.failure, e.err)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// Reasons why an answer is not the endpoint's to this request.
var (
	errOtherRequest = errors.New("answer belongs to another request")
	errNoStamp      = errors.New("success without the endpoint's signature")
	errEncoded      = errors.New("answer has a content encoding that nobody asked for")
	errNotPromised  = errors.New("refusal without a statement that the request did not run")
)

// reply is an endpoint's answer, whose body is still to be read.
type reply struct {
	choice
	resp   *http.Response
	cancel context.CancelFunc
	start  time.Time
}

// close ends the attempt and releases its connection.
func (p *reply) close() {
	p.cancel()
	_ = p.resp.Body.Close() // nothing is read from it any more
	p.attempt.Close(time.Now())
}

// requestBody hides the reader's other methods, so that the transport can't
// send the request again by itself: each send counts against the limits.
type requestBody struct{ io.Reader }

func (requestBody) Close() error { return nil }

// send sends the request to an endpoint and reads the answer's head. The error
// is an *attemptError.
func (x *exchange) send(c choice, lastEvent string) (*reply, error) {
	ctx, cancel := context.WithCancel(x.ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	start := time.Now()
	resp, err := x.transport().RoundTrip(x.request(ctx, c, lastEvent))
	if connected.Load() {
		x.sends++
	}
	if err != nil {
		cancel()
		f := unknown
		if !connected.Load() {
			f = notSent
		}
		c.attempt.Failed(time.Now())
		return nil, x.failed(&attemptError{failure: f, endpoint: c.endpoint.ID, err: err})
	}
	p := &reply{choice: c, resp: resp, cancel: cancel, start: start}
	if err := x.check(p); err != nil {
		p.close()
		return nil, x.failed(err)
	}
	return p, nil
}

// failed excludes the endpoint from further attempts.
func (x *exchange) failed(err *attemptError) error {
	x.excluded[err.endpoint] = true
	if err.failure == unknown {
		x.maybeRun = true
	}
	x.g.Metrics.attempts.WithLabelValues(string(err.failure)).Inc()
	x.g.Log.Info("attempt", zap.String("request", x.call.ID), zap.String("endpoint", err.endpoint), zap.String("failure", string(err.failure)),
		zap.Int("sends", x.sends), zap.Duration("left", time.Until(x.until)), zap.Error(err.err))
	return err
}

// check decides whether an answer is the endpoint's to this request, and tells
// the tracker if it is not.
func (x *exchange) check(p *reply) *attemptError {
	a := x.g.Codec.DecodeResponse(p.resp.StatusCode, p.resp.Header)
	x.g.Directory.Observe(p.endpoint.ID, a)
	foreign := a.RequestID != "" && a.RequestID != x.call.ID
	if a.NotRun && !foreign {
		p.attempt.Refused(time.Now())
		return &attemptError{failure: notRun, endpoint: p.endpoint.ID, err: fmt.Errorf("status %d", p.resp.StatusCode)}
	}
	if err := spoiled(p.resp, a, foreign); err != nil {
		p.attempt.Failed(time.Now())
		return &attemptError{failure: unknown, endpoint: p.endpoint.ID, err: err}
	}
	return nil
}

// spoiled returns why an answer can't be delivered, nil when it can.
func spoiled(resp *http.Response, a ResponseInfo, foreign bool) error {
	ok := resp.StatusCode/100 == 2
	switch {
	case foreign:
		return errOtherRequest
	case promises(resp.StatusCode):
		return errNotPromised
	case ok && !a.Stamped:
		return errNoStamp
	case ok && resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// promises reports whether callers take a status as a statement that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// transport returns the connections for the request.
func (x *exchange) transport() http.RoundTripper {
	if x.route.Repeatable() {
		return x.g.LongIdle
	}
	return x.g.ShortIdle
}

// request builds the request to an endpoint: the caller's method, path, query
// and body to the byte, and its headers but for those of the connection.
func (x *exchange) request(ctx context.Context, c choice, lastEvent string) *http.Request {
	h := forwarded(x.r.Header)
	x.g.Codec.EncodeRequest(h, SendInfo{Endpoint: c.endpoint.ID, Account: x.accountName(), CacheSalt: x.salt(c.endpoint.Load.WeightsVersion),
		WeightsVersion: c.endpoint.Load.WeightsVersion, CacheSource: c.source.Address, Priority: x.priority(), Timeout: time.Until(x.until), LastEventID: lastEvent})
	out := &http.Request{Method: x.r.Method, URL: &url.URL{Scheme: "http", Host: c.endpoint.Address, Opaque: opaque(x.target(), c.endpoint.Address)},
		Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if len(x.body) > 0 {
		out.Body, out.ContentLength = requestBody{bytes.NewReader(x.body)}, int64(len(x.body))
	} else if x.r.Method == http.MethodGet || x.r.Method == http.MethodHead || x.r.Method == http.MethodOptions {
		out.Body = requestBody{bytes.NewReader(nil)}
	}
	return out.WithContext(ctx)
}

// opaque returns the request target for a URL's Opaque field. A target that
// begins with two slashes would be taken for a host.
func opaque(target, address string) string {
	if len(target) > 1 && target[1] == '/' {
		return "//" + address + target
	}
	return target
}

// repeat reports whether the request may go to another endpoint after a failure.
func (x *exchange) repeat(f failure) bool {
	switch {
	case x.ctx.Err() != nil:
		return false
	case f == notSent:
		return len(x.excluded) < maxDials
	case x.sends >= x.route.MaxAttempts:
		return false
	case f == unknown && !x.route.Repeatable():
		return false
	}
	return x.g.Budget.Spend()
}

// maxDials bounds the endpoints tried without success for one request.
const maxDials = 4

// forward sends the request until an answer is delivered or no attempt is left.
func (x *exchange) forward() {
	x.g.Budget.Earn()
	for {
		c, ok := x.await()
		if !ok {
			x.refuse(x.unserved(nil))
			return
		}
		p, err := x.send(c, x.call.LastEventID)
		if err == nil {
			err = x.relay(p)
			p.close()
		}
		if err == nil {
			return
		}
		var failed *attemptError
		if !errors.As(err, &failed) || !failed.granted && !x.repeat(failed.failure) {
			x.refuse(x.unserved(err))
			return
		}
	}
}

const (
	// awaitStep is the time between two looks for a free endpoint.
	awaitStep = 10 * time.Millisecond
	// awaitShare is the part of the target latency spent on waiting for one.
	awaitShare = 8
)

// await chooses an endpoint, waiting a moment when none takes requests.
func (x *exchange) await() (choice, bool) {
	until := time.Now().Add(x.route.TargetLatency / awaitShare)
	for {
		if c, ok := x.choose(); ok {
			return c, true
		}
		if x.overload > 0 || x.ctx.Err() != nil || time.Now().After(until) {
			return choice{}, false
		}
		time.Sleep(awaitStep)
	}
}

// unserved turns the last failure into the answer to the caller. A request
// that no endpoint has run gets a refusal that says so.
func (x *exchange) unserved(err error) *Refusal {
	var a *attemptError
	switch {
	case err == nil, errors.As(err, &a) && a.failure != unknown:
		if x.maybeRun {
			return &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
		}
		if x.overload > 0 {
			return x.overloaded()
		}
		return x.noRoom("no_room", err)
	case x.r.Context().Err() != nil:
		return &Refusal{Status: http.StatusBadGateway, Outcome: "caller_left", Err: err}
	case errors.Is(err, context.DeadlineExceeded) || x.ctx.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Outcome: "timeout", Err: err}
	}
	return &Refusal{Status: http.StatusBadGateway, Outcome: "failed", Err: err}
}
