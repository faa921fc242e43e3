package gateway

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
)

// maxEventBytes bounds an event of a resumable stream, which is held until it is whole.
const maxEventBytes = 1 << 20

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

	// sinceEvent counts the bytes since the end of the last event.
	sinceEvent int64

	buf [streamReadBytes]byte
	// held holds the events that were returned last, in relayed bytes, and the beginning of
	// one whose end has not arrived.
	held    heldBytes
	relayed int
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

// next returns the next bytes to relay, which are valid until the next call. io.EOF means
// that the stream is complete; bytes may accompany an error.
func (s *eventStream) next(body io.Reader) ([]byte, error) {
	s.held.dropFirst(s.relayed)
	s.relayed = 0
	for {
		n, err := body.Read(s.buf[:])
		s.bytes += int64(n)
		s.received = s.received || n > 0
		s.keepTail(s.buf[:n])
		chunk, addErr := s.add(s.buf[:n])
		if len(chunk) > 0 && s.afterID != "" && !follows(chunk, s.afterID) {
			return nil, errRepeated
		}
		s.record(chunk)
		switch {
		case addErr != nil:
			err = addErr
		case len(s.held.b)-s.relayed > maxEventBytes:
			err = errLargeEvent
		case err == io.EOF && (len(s.held.b) > s.relayed || s.brokenOff()):
			err = errPartialEvent
		}
		if len(chunk) > 0 || err != nil {
			return chunk, err
		}
	}
}

// add adds bytes that have arrived and returns those that may be relayed.
func (s *eventStream) add(b []byte) ([]byte, error) {
	if !s.wholeEvents {
		return b, nil
	}
	// A separator may begin with the last byte that was there before.
	from := max(0, len(s.held.b)-len(eventSeparator)+1)
	if err := s.held.add(b); err != nil {
		return nil, err
	}
	end := bytes.LastIndex(s.held.b[from:], eventSeparator)
	if end < 0 {
		return nil, nil
	}
	s.relayed = from + end + len(eventSeparator)
	return s.held.b[:s.relayed], nil
}

// eventSeparator separates events.
var eventSeparator = []byte("\n\n")

// record counts the events of a chunk and, if they are whole, records the last one's id.
func (s *eventStream) record(chunk []byte) {
	s.events += bytes.Count(chunk, eventSeparator)
	s.sinceEvent += int64(len(chunk))
	for _, end := range eventEnds {
		if i := bytes.LastIndex(chunk, end); i >= 0 {
			s.sinceEvent = min(s.sinceEvent, int64(len(chunk)-i-len(end)))
		}
	}
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
func (s *eventStream) begin(p *response) {
	s.held.free()
	s.held = heldBytes{reservation: p.reservation, max: maxEventBytes + streamReadBytes}
	s.framed, s.received = framed(p.resp), false
	s.relayed, s.sinceEvent, s.tail, s.afterID = 0, 0, s.tail[:0], s.lastID
}
