package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxEventBytes bounds an event of a resumable stream, which is buffered until it is
// whole.
const maxEventBytes = 1 << 20

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
	s.begin(p.resp)
	chunk, err := s.next(p.resp.Body)
	if len(chunk) == 0 && err != nil && err != io.EOF {
		return x.truncated(p, err)
	}
	x.startStream(p)
	current := p
	for {
		if !x.writeChunk(chunk) {
			x.outcome = "caller_left"
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

// writeChunk writes a part of a stream to the caller at once. It returns false if the caller
// has left.
func (x *exchange) writeChunk(chunk []byte) bool {
	if len(chunk) == 0 {
		return true
	}
	if _, err := x.w.Write(chunk); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// resume continues an interrupted stream at another endpoint, after the last event
// that the caller has received. It returns nil when that is not possible.
func (x *exchange) resume(p *response, s *eventStream, cause error) *response {
	if !x.route.Resumable || x.r.Context().Err() != nil || s.lastID == "" {
		return nil
	}
	p.attempt.Failed(time.Now())
	x.observeBreak(p)
	_ = x.recordFailure(&attemptError{failure: unknown, endpoint: p.endpoint.ID, err: cause}) // recordFailure logs it
	for x.allowRetry(unknown) {
		c, ok := x.waitForEndpoint()
		if !ok {
			return nil
		}
		next, err := x.send(c, s.lastID)
		if err == nil && next.resp.StatusCode == http.StatusOK {
			next.attempt.FirstToken(time.Now())
			s.begin(next.resp)
			return next
		}
		if err == nil {
			next.close()
		}
	}
	return nil
}

// eventStream reads a stream of server-sent events.
type eventStream struct {
	// wholeEvents makes next return whole events only.
	wholeEvents bool
	// framed is true if the present response has a length or chunks, so that its end is not
	// that of its connection. received is true once it has sent bytes.
	framed, received bool
	// lastID is the id of the last whole event.
	lastID string
	// afterID is the id after which a continuation must go on, empty once it has.
	afterID string
	// events and bytes count what was read.
	events int
	bytes  int64

	buf [streamReadBytes]byte
	// partial is the beginning of an event whose end has not arrived.
	partial []byte
	// tail holds the last bytes read, at most as many as the longest event end.
	tail []byte
}

// eventEnds are the blank lines that end an event.
var eventEnds = [][]byte{eventSeparator, []byte("\r\n\r\n")}

// framed reports whether a response has a length or chunks.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// brokenOff reports whether a stream that ends now ends inside an event or, without
// framing, before its first event.
func (s *eventStream) brokenOff() bool {
	if !s.received {
		return !s.framed
	}
	return !slices.ContainsFunc(eventEnds, func(end []byte) bool { return bytes.HasSuffix(s.tail, end) })
}

// keepTail updates tail with bytes that were read.
func (s *eventStream) keepTail(b []byte) {
	const longest = 4
	s.tail = append(s.tail, b[max(0, len(b)-longest):]...)
	s.tail = s.tail[max(0, len(s.tail)-longest):]
}

// next returns the next bytes to relay. io.EOF means that the stream is complete;
// bytes may accompany an error.
func (s *eventStream) next(body io.Reader) ([]byte, error) {
	for {
		n, err := body.Read(s.buf[:])
		s.bytes += int64(n)
		s.received = s.received || n > 0
		s.keepTail(s.buf[:n])
		chunk := s.add(s.buf[:n])
		if len(chunk) > 0 && s.afterID != "" && !follows(chunk, s.afterID) {
			return nil, errRepeated
		}
		s.record(chunk)
		switch {
		case len(s.partial) > maxEventBytes:
			err = errLargeEvent
		case err == io.EOF && (len(s.partial) > 0 || s.brokenOff()):
			err = errPartialEvent
		}
		if len(chunk) > 0 || err != nil {
			return chunk, err
		}
	}
}

// add adds bytes that have arrived and returns those that may be relayed.
func (s *eventStream) add(b []byte) []byte {
	if !s.wholeEvents {
		return b
	}
	// A separator may begin with the last byte that was there before.
	from := max(0, len(s.partial)-len(eventSeparator)+1)
	s.partial = append(s.partial, b...)
	end := bytes.LastIndex(s.partial[from:], eventSeparator)
	if end < 0 {
		return nil
	}
	end += from + len(eventSeparator)
	chunk := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return chunk
}

// eventSeparator separates events.
var eventSeparator = []byte("\n\n")

// record counts the events of a chunk and, if they are whole, records the last one's id.
func (s *eventStream) record(chunk []byte) {
	s.events += bytes.Count(chunk, eventSeparator)
	if !s.wholeEvents || len(chunk) == 0 {
		return
	}
	s.afterID = ""
	for line := range bytes.Lines(chunk) {
		if id, ok := eventID(line); ok {
			s.lastID = id
		}
	}
}

// eventID returns the id in a line of an event, or false if the line has none.
func eventID(line []byte) (string, bool) {
	id, ok := bytes.CutPrefix(line, []byte("id:"))
	return string(bytes.TrimSpace(id)), ok
}

// follows reports whether the first of whole events comes after the event with an id. Ids
// of a stream increase.
func follows(events []byte, after string) bool {
	first, _, _ := bytes.Cut(events, eventSeparator)
	for line := range bytes.Lines(first) {
		if id, ok := eventID(line); ok {
			return isGreater(id, after)
		}
	}
	return false
}

// isGreater compares ids as numbers if both are, else for inequality.
func isGreater(id, than string) bool {
	a, aerr := strconv.ParseUint(id, 10, 64)
	b, berr := strconv.ParseUint(than, 10, 64)
	if aerr != nil || berr != nil {
		return id != than
	}
	return a > b
}

// begin makes next read another response: the first, or one that continues the stream. A
// truncated event of the response before is discarded; what was relayed ends with a whole
// one.
func (s *eventStream) begin(resp *http.Response) {
	s.framed, s.received = framed(resp), false
	s.partial, s.tail, s.afterID = s.partial[:0], s.tail[:0], s.lastID
}
