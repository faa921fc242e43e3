package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// errPartialEvent reports a stream that ended inside an event.
var errPartialEvent = errors.New("stream ended inside an event")

// relayStream passes events on as they arrive. Before the first one, an error
// is returned; later a resumable stream goes on at another endpoint, and any
// other is broken off.
func (x *exchange) relayStream(p *reply) error {
	s := &eventStream{whole: x.route.Resumable}
	chunk, err := s.next(p.resp.Body)
	if len(chunk) == 0 && err != nil && err != io.EOF {
		return x.broken(p, err)
	}
	x.answered(p)
	x.head(p)
	x.start(p)
	flusher := http.NewResponseController(x.w)
	current := p
	for {
		if len(chunk) > 0 {
			if _, werr := x.w.Write(chunk); werr != nil {
				x.outcome = "caller_left"
				return nil
			}
			if werr := flusher.Flush(); werr != nil {
				x.outcome = "caller_left"
				return nil
			}
		}
		if err == io.EOF {
			x.outcome = "answered"
			current.attempt.End(int64(s.events), s.bytes, time.Now())
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
		chunk, err = s.next(current.resp.Body)
	}
}

// resume goes on with a broken stream at another endpoint, after the last
// event that the caller has. It returns nil when that is not possible.
func (x *exchange) resume(p *reply, s *eventStream, cause error) *reply {
	if !x.route.Resumable || x.r.Context().Err() != nil || s.lastID == "" {
		return nil
	}
	p.attempt.Failed(time.Now())
	_ = x.failed(&attemptError{failure: unknown, endpoint: p.endpoint.ID, err: cause}) // logged there
	s.drop()
	for x.repeat(unknown) {
		c, ok := x.choose()
		if !ok {
			return nil
		}
		next, err := x.send(c, s.lastID)
		if err == nil && next.resp.StatusCode == http.StatusOK {
			next.attempt.FirstToken(time.Now())
			return next
		}
		if err == nil {
			next.close()
		}
	}
	return nil
}

// eventStream reads a stream of events.
type eventStream struct {
	// whole holds back an event until all of it is there.
	whole bool
	// lastID is the id of the last whole event.
	lastID string
	events int
	bytes  int64

	buf  [streamBuffer]byte
	rest []byte
}

// next returns the next bytes to pass on. With io.EOF the stream is complete.
func (s *eventStream) next(body io.Reader) ([]byte, error) {
	for {
		n, err := body.Read(s.buf[:])
		s.bytes += int64(n)
		chunk := s.take(s.buf[:n])
		if err == io.EOF && len(s.rest) > 0 {
			err = errPartialEvent
		}
		if len(chunk) > 0 || err != nil {
			return chunk, err
		}
	}
}

// take returns what may be passed on after more bytes have arrived.
func (s *eventStream) take(b []byte) []byte {
	if !s.whole {
		s.events += bytes.Count(b, eventEnd)
		return b
	}
	s.rest = append(s.rest, b...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	chunk := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.scan(chunk)
	return chunk
}

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// scan notes the ids of whole events.
func (s *eventStream) scan(chunk []byte) {
	for line := range bytes.Lines(chunk) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			s.events++
		} else if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// drop forgets the part of an event that was cut off.
func (s *eventStream) drop() { s.rest = s.rest[:0] }
