package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/memory"
)

const (
	// maxBufferedBytes bounds the part of a response that is read before any of it
	// is returned, so that a request whose response is truncated can be retried.
	maxBufferedBytes = 256 << 10
	// maxUnframedBytes is the size from which a response that tells no length, and hasn't ended
	// at the deadline, counts against its endpoint.
	maxUnframedBytes = 1 << 20
	// streamReadBytes is the buffer size for reading a stream.
	streamReadBytes = 4 << 10
)

// errEndlessFailure means that a response other than a success tells no length and exceeds
// maxBufferedBytes.
var errEndlessFailure = fmt.Errorf("failure without a length exceeds %d bytes", maxBufferedBytes)

// relay returns an endpoint's response to the caller. An error is an
// *attemptError and means that the caller has received nothing yet.
func (x *exchange) relay(p *response) error {
	if p.resp.StatusCode/100 != 2 || x.route.Kind != catalog.Stream {
		return x.relayWhole(p)
	}
	return x.relayStream(p)
}

// relayWhole buffers up to maxBufferedBytes of the response before it returns any
// of it.
func (x *exchange) relayWhole(p *response) error {
	held := heldBytes{reservation: p.reservation, max: maxBufferedBytes}
	defer held.free()
	if err := held.readAll(p.resp.Body, p.resp.ContentLength); err != nil {
		return x.truncated(p, err)
	}
	whole := len(held.b) < maxBufferedBytes
	if !whole && p.resp.StatusCode/100 != 2 && p.resp.ContentLength < 0 {
		return x.truncated(p, errEndlessFailure)
	}
	if p.resp.StatusCode >= 500 && x.allowResend(unknown) {
		// If no retry is allowed, the caller gets the endpoint's own response.
		p.attempt.Failed(time.Now())
		return x.recordFailure(&attemptError{failure: unknown, endpoint: p.endpoint.ID, retryAllowed: true,
			err: errors.New("status " + strconv.Itoa(p.resp.StatusCode))})
	}
	x.recordFirstByte(p)
	h := x.copyHeaders(p)
	if whole {
		h.Set("Content-Length", strconv.Itoa(len(held.b)))
	}
	x.writeHead(p)
	x.outcome = "answered"
	size := len(held.b)
	if !x.writeHeld(p, held.b) {
		return nil
	}
	held.free()
	if !whole {
		x.copyRest(p)
	}
	p.attempt.End(0, int64(size), time.Now())
	p.reportHarmless()
	return nil
}

// recordFirstByte records the arrival of the response's first byte.
func (x *exchange) recordFirstByte(p *response) {
	now := time.Now()
	p.firstByteAt = now
	x.firstByte = now.Sub(x.arrived)
	p.attempt.FirstToken(now)
	if x.g.queueing() {
		x.g.firstEvents.Observe(x.route.Name, now.Sub(p.start))
	}
	x.g.waiting.responseStarted(x.service)
}

// copyRest relays what exceeds maxBufferedBytes.
func (x *exchange) copyRest(p *response) {
	n, err := io.Copy(x.w, p.resp.Body)
	if err != nil {
		p.endless = p.resp.ContentLength < 0 && n > maxUnframedBytes
		x.abort(p, err)
	}
}

// truncated records a response that ended early, before the caller received any
// of it. It returns the *attemptError.
func (x *exchange) truncated(p *response, err error) error {
	if p.reservation.Revoked() {
		err = memory.ErrSpent
	}
	if x.r.Context().Err() == nil {
		p.attempt.Failed(time.Now())
	}
	x.observeBreak(p)
	return x.recordFailure(&attemptError{failure: unknown, endpoint: p.endpoint.ID, err: err})
}

// copyHeaders copies the endpoint's headers, except hop-by-hop headers, to the
// response and returns the response's headers.
func (x *exchange) copyHeaders(p *response) http.Header {
	h := x.w.Header()
	for name, values := range p.resp.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if _, ok := p.resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise the server guesses one
	}
	x.g.Codec.SetRequestID(h, x.info.ID)
	return h
}

// writeHead writes the response's status and headers.
func (x *exchange) writeHead(p *response) {
	x.status = p.resp.StatusCode
	x.closeIfDraining()
	x.w.WriteHeader(x.status)
}

// closeIfDraining tells the caller not to use the connection again if the process is about to
// end. It is called as the status is written: the stop may have begun after the request came.
func (x *exchange) closeIfDraining() {
	if x.g.Draining() {
		x.w.Header().Set("Connection", "close")
	}
}

// abort closes the caller's connection, so that a partial response can't look
// complete. It panics with http.ErrAbortHandler.
func (x *exchange) abort(p *response, err error) {
	x.outcome = "broken_off"
	switch {
	case x.r.Context().Err() != nil:
		x.outcome = "caller_left"
	case errors.Is(context.Cause(x.ctx), errStopped):
		x.outcome = "stopped"
	case errors.Is(err, context.DeadlineExceeded), x.ctx.Err() != nil:
		x.outcome = "timeout"
		if p.endless {
			p.attempt.Failed(time.Now())
		}
	default:
		p.attempt.Failed(time.Now())
		x.observeBreak(p)
	}
	x.g.Log.Info("response aborted", zap.String("request", x.info.ID), zap.String("endpoint", p.endpoint.ID),
		zap.String("outcome", x.outcome), zap.Duration("left", time.Until(x.deadline)), zap.Error(err))
	panic(http.ErrAbortHandler)
}
