package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
)

const (
	// maxWhole is the size up to which an answer is read before it is returned,
	// so that one that breaks off can be replaced.
	maxWhole = 256 << 10
	// streamBuffer is the size of reads of a stream.
	streamBuffer = 4 << 10
)

// relay returns an endpoint's answer to the caller. An error means that the
// caller has received nothing yet; it is an *attemptError.
func (x *exchange) relay(p *reply) error {
	if p.resp.StatusCode/100 != 2 || x.route.Kind != catalog.Stream {
		return x.relayWhole(p)
	}
	return x.relayStream(p)
}

// relayWhole reads the answer to its end before it returns it.
func (x *exchange) relayWhole(p *reply) error {
	body, err := io.ReadAll(io.LimitReader(p.resp.Body, maxWhole))
	if err != nil {
		return x.broken(p, err)
	}
	if p.resp.StatusCode >= 500 && x.repeat(unknown) {
		// Without another send the caller gets the endpoint's own answer.
		p.attempt.Failed(time.Now())
		return x.failed(&attemptError{failure: unknown, endpoint: p.endpoint.ID, granted: true,
			err: errors.New("status " + strconv.Itoa(p.resp.StatusCode))})
	}
	x.answered(p)
	h := x.head(p)
	if int64(len(body)) < maxWhole {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.start(p)
	x.outcome = "answered"
	if _, err := x.w.Write(body); err != nil {
		x.outcome = "caller_left"
		return nil
	}
	if int64(len(body)) == maxWhole {
		x.copyRest(p)
	}
	p.attempt.End(0, int64(len(body)), time.Now())
	return nil
}

// answered records the answer's first byte.
func (x *exchange) answered(p *reply) {
	now := time.Now()
	x.first = now.Sub(x.arrived)
	p.attempt.FirstToken(now)
}

// copyRest passes on the rest of a long answer.
func (x *exchange) copyRest(p *reply) {
	if _, err := io.Copy(x.w, p.resp.Body); err != nil {
		x.abort(p, err)
	}
}

// broken reports an answer that ended early, before the caller got any of it.
func (x *exchange) broken(p *reply, err error) error {
	if x.r.Context().Err() == nil {
		p.attempt.Failed(time.Now())
	}
	return x.failed(&attemptError{failure: unknown, endpoint: p.endpoint.ID, err: err})
}

// head copies the endpoint's headers to the answer.
func (x *exchange) head(p *reply) http.Header {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range p.resp.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := p.resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // else the server guesses one
	}
	x.g.Codec.SetRequestID(h, x.call.ID)
	return h
}

// start sends the answer's head.
func (x *exchange) start(p *reply) {
	x.status = p.resp.StatusCode
	x.w.WriteHeader(x.status)
}

// abort breaks the caller's connection, so that a partial answer can't look complete.
func (x *exchange) abort(p *reply, err error) {
	x.outcome = "broken_off"
	switch {
	case x.r.Context().Err() != nil:
		x.outcome = "caller_left"
	case errors.Is(err, context.DeadlineExceeded), x.ctx.Err() != nil:
		x.outcome = "timeout"
	default:
		p.attempt.Failed(time.Now())
	}
	x.g.Log.Info("answer broken off", zap.String("request", x.call.ID), zap.String("endpoint", p.endpoint.ID),
		zap.String("outcome", x.outcome), zap.Duration("left", time.Until(x.until)), zap.Error(err))
	panic(http.ErrAbortHandler)
}
