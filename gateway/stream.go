package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Reasons why a stream can't be relayed further.
var (
	errPartialEvent = errors.New("stream ended inside an event")
	errLargeEvent   = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
	errRepeated     = errors.New("continued stream begins with an event that has been relayed, or that has no id")
)

// relayStream relays events as they arrive. It returns an error only before the
// first bytes are relayed; after that, a resumable stream continues at another
// endpoint, and any other is aborted.
func (x *exchange) relayStream(p *response) error {
	s := &eventStream{wholeEvents: x.route.Resumable}
	defer s.held.free()
	s.begin(p)
	chunk, err := s.next(p.resp.Body)
	if len(chunk) == 0 && err != nil && err != io.EOF {
		return x.truncated(p, err)
	}
	x.startStream(p)
	current := p
	for {
		if !x.writeHeld(current, chunk) {
			return nil
		}
		if err == io.EOF {
			x.outcome = "answered"
			current.attempt.End(int64(s.events), s.bytes, time.Now())
			current.reportHarmless()
			return nil
		}
		if err != nil {
			next := x.resume(current, s, err)
			if next == nil {
				x.abort(current, err)
			}
			defer next.close()
			current = next
		}
		current.checkHarmless()
		current.endless = s.sinceEvent > maxEventBytes
		chunk, err = s.next(current.resp.Body)
		if current.firstByteAt.IsZero() && len(chunk) > 0 {
			current.firstByteAt = time.Now()
		}
	}
}

// startStream writes the status and the headers of a stream's first response.
func (x *exchange) startStream(p *response) {
	x.recordFirstByte(p)
	h := x.copyHeaders(p)
	if x.route.Resumable {
		h.Del("Content-Length") // a continuation may have another length
	}
	x.writeHead(p)
}

// writeHeld writes a part of a response to the caller at once. It returns false if the
// caller has left, or doesn't read while the memory that it holds up is needed.
func (x *exchange) writeHeld(p *response, chunk []byte) bool {
	if len(chunk) == 0 {
		return true
	}
	p.reservation.OnRevoke(x.breakConnection)
	defer p.reservation.OnRevoke(p.cancel)
	_, err := x.w.Write(chunk)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err == nil {
		return true
	}
	x.outcome = "caller_left"
	if p.reservation.Revoked() {
		x.outcome = "caller_slow"
	}
	return false
}

// breakConnection ends a write to the caller that is in progress.
func (x *exchange) breakConnection() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.arrived) // fails only if the connection has ended
}

// resume continues an interrupted stream at another endpoint, after the last event
// that the caller has received. It returns nil when that is not possible.
func (x *exchange) resume(p *response, s *eventStream, cause error) *response {
	if !x.route.Resumable || x.r.Context().Err() != nil || s.lastID == "" {
		return nil
	}
	p.attempt.Failed(time.Now())
	x.observeBreak(p)
	// recordFailure logs the error.
	_ = x.recordFailure(&attemptError{failure: unknown, endpoint: p.endpoint.ID, err: cause})
	// The endpoint must not work on while another one continues.
	s.held.free()
	p.close()
	for x.allowRetry(unknown) {
		c, ok := x.waitForEndpoint()
		if !ok {
			return nil
		}
		next, err := x.send(c, s.lastID)
		if err == nil && next.resp.StatusCode == http.StatusOK {
			next.attempt.FirstToken(time.Now())
			s.begin(next)
			return next
		}
		if err == nil {
			next.close()
		}
	}
	return nil
}
