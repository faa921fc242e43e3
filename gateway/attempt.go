package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/memory"
)

// failure classifies an attempt without a usable response.
type failure string

const (
	// notSent means that nothing reached the endpoint.
	notSent failure = "not_sent"
	// notRun means that the endpoint stated that it did not run the request.
	notRun failure = "not_run"
	// unknown means that the request may have run.
	unknown failure = "unknown"
)

// attemptError reports an attempt without a usable response.
type attemptError struct {
	failure  failure
	endpoint string
	err      error
	// retryAllowed is true when allowRetry has already permitted another attempt.
	retryAllowed bool
}

func (e *attemptError) Error() string {
	return fmt.Sprintf("endpoint %q: %s: %v", e.endpoint, e.failure, e.err)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// response is an endpoint's response whose status and headers have been read.
type response struct {
	choice
	resp   *http.Response
	cancel context.CancelFunc
	start  time.Time
	// incarnation is the endpoint's incarnation that was listed when the request was sent.
	incarnation catalog.Incarnation
	// reusedConn is true if the connection had carried other requests before.
	reusedConn bool
	// firstByteAt is the arrival of the body's first byte, zero before it.
	firstByteAt time.Time
	// reservation is that of the bytes that are held back.
	reservation *memory.Reservation
	// endless is true if the response shows no sign of an end.
	endless bool
	// harmless is true once the quarantine knows that the endpoint has borne the request.
	harmless bool
}

// checkHarmless tells the quarantine that the endpoint bears the request if it has lived
// for startGrace after the first byte.
func (p *response) checkHarmless() {
	if !p.firstByteAt.IsZero() && time.Since(p.firstByteAt) > startGrace {
		p.reportHarmless()
	}
}

// reportHarmless tells the quarantine that the endpoint bears the request.
func (p *response) reportHarmless() {
	if p.pass != nil && !p.harmless {
		p.pass.Started(time.Now())
	}
	p.harmless = true
}

// close ends the attempt and releases its connection. It may be called again.
func (p *response) close() {
	p.cancel()
	_ = p.resp.Body.Close() // the rest of the body is not needed
	p.reservation.Release()
	p.attempt.Close(time.Now())
	p.pass.End()
}

// requestBody hides the reader's other methods, which the transport doesn't need.
type requestBody struct{ io.Reader }

func (requestBody) Close() error { return nil }

// send charges the request's quota and sends the request to an endpoint. It reads the
// response's status and headers. The error is an *attemptError.
func (x *exchange) send(c choice, lastEventID string) (*response, error) {
	x.chargeSend()
	p, err := x.sendUncharged(c, lastEventID)
	x.countRun(err)
	return p, err
}

// sendUncharged is send without charging the quota.
func (x *exchange) sendUncharged(c choice, lastEventID string) (*response, error) {
	ctx, cancel := context.WithCancel(x.ctx)
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(conn.Reused)
		c.pass.Sent(time.Now()) // an endpoint that can't be reached tells nothing of the prompt
	}})
	start, incarnation := time.Now(), x.g.Directory.Incarnation(c.endpoint.ID)
	resp, err := x.transport().RoundTrip(x.request(ctx, c, lastEventID))
	if connected.Load() {
		x.sends++
		if x.sentAt.IsZero() {
			x.sentAt = start
		}
	}
	if err != nil {
		cancel()
		f := unknown
		if !connected.Load() {
			f = notSent
		} else {
			x.observeFailure(c)
		}
		c.pass.End()
		c.attempt.Failed(time.Now())
		return nil, x.recordFailure(&attemptError{failure: f, endpoint: c.endpoint.ID, err: err})
	}
	p := &response{choice: c, resp: resp, cancel: cancel, start: start, incarnation: incarnation, reusedConn: reused.Load(),
		reservation: x.g.Responses.Reserve(c.endpoint.ID, cancel)}
	if err := x.check(p); err != nil {
		p.close()
		return nil, x.recordFailure(err)
	}
	return p, nil
}

// recordFailure logs and counts a failed attempt and excludes its endpoint from
// the request's further attempts. It returns err.
func (x *exchange) recordFailure(err *attemptError) error {
	x.excluded[err.endpoint] = true
	if err.failure == unknown {
		x.mayHaveRun = true
	}
	x.g.Metrics.attempts.WithLabelValues(string(err.failure)).Inc()
	x.g.Log.Info("attempt", zap.String("request", x.info.ID), zap.String("endpoint", err.endpoint), zap.String("failure", string(err.failure)),
		zap.Int("sends", x.sends), zap.Duration("left", time.Until(x.deadline)), zap.Error(err.err))
	return err
}

// transport returns the connection pool for the request.
func (x *exchange) transport() http.RoundTripper {
	if x.route.Repeatable() {
		return x.g.LongIdle
	}
	return x.g.ShortIdle
}

// request builds the request to an endpoint. Method, path, query and body are the
// caller's byte for byte; the headers are the caller's without hop-by-hop headers.
func (x *exchange) request(ctx context.Context, c choice, lastEventID string) *http.Request {
	h := forwardedHeaders(x.r.Header)
	x.g.Codec.EncodeRequest(h, SendInfo{Endpoint: c.endpoint.ID, Account: x.accountName(), CacheSalt: x.salt(c.endpoint.Load.WeightsVersion),
		WeightsVersion: c.endpoint.Load.WeightsVersion, CacheSource: c.source.Address, Priority: x.priority(), Timeout: time.Until(x.deadline), LastEventID: lastEventID})
	out := &http.Request{Method: x.r.Method, URL: &url.URL{Scheme: "http", Host: c.endpoint.Address, Opaque: opaque(x.target(), c.endpoint.Address)},
		Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if len(x.body) > 0 {
		out.Body, out.ContentLength = requestBody{bytes.NewReader(x.body)}, int64(len(x.body))
	}
	return out.WithContext(ctx)
}

// opaque returns the request target for a URL's Opaque field. The address precedes a
// target that begins with two slashes, which net/url would take for a host.
func opaque(target, address string) string {
	if len(target) > 1 && target[1] == '/' {
		return "//" + address + target
	}
	return target
}
