package httpclient

import (
	"errors"
	"sync"
)

// Errors of heads that net/http reads as other ones than were sent. The parsed head doesn't
// show it.
var (
	// ErrFoldedLine means that the head of a response has a line that begins with a blank.
	// net/http joins such a line to the value before it, although it may be a field whose
	// name begins with a blank, such as one that frames the body. No sender may fold lines,
	// and a gateway may reject those that do (RFC 9112, section 5.2).
	ErrFoldedLine = errors.New("response head has a line that begins with a blank")
	// ErrTransferEncoding means that a response of HTTP/1.0 has a transfer encoding, which
	// makes its framing faulty (RFC 9112, section 6.1). net/http drops the field and takes
	// the chunks for the body.
	ErrTransferEncoding = errors.New("response of HTTP/1.0 has a transfer encoding")
)

const (
	// httpVersionBytes is the length of the version that a status line begins with. It ends
	// with the minor version.
	httpVersionBytes = len("HTTP/1.1")
	// transferEncoding is the name of a field in lower case.
	transferEncoding = "transfer-encoding"
)

// headScanner looks at the heads of a connection's responses as they were sent. It is safe
// for concurrent use.
type headScanner struct {
	mu sync.Mutex
	// active is true from a request to the end of the head of its final response.
	active bool
	// err is the first error.
	err error
	// line counts the head's lines before the current one, column the bytes of that.
	line, column int
	// minor is the minor version of the protocol and class the first digit of the status, 0
	// before them.
	minor, class byte
	// matched counts the bytes of the current line that begin transferEncoding.
	matched int
	// last is the byte before the next one.
	last byte
}

// expect makes the scanner expect the head of the response to another request.
func (s *headScanner) expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
	s.active = true
}

// restart begins a head.
func (s *headScanner) restart() {
	s.line, s.column, s.matched = 0, 0, 0
	s.minor, s.class, s.last = 0, 0, 0
}

// scan reads bytes of the connection and returns the number of those before an error. The
// error is ErrFoldedLine or ErrTransferEncoding, from then on for good.
func (s *headScanner) scan(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	for i, c := range b {
		if !s.active {
			break
		}
		if s.err = s.check(c); s.err != nil {
			return i, s.err
		}
		s.next(c)
	}
	return len(b), nil
}

// check returns the error of the next byte of the head.
func (s *headScanner) check(c byte) error {
	switch {
	case s.line == 0:
		return nil
	case s.column == 0 && (c == ' ' || c == '\t'):
		return ErrFoldedLine
	case s.minor == '0' && c == ':' && s.column == len(transferEncoding) && s.matched == s.column:
		return ErrTransferEncoding
	}
	return nil
}

// next counts a byte of the head.
func (s *headScanner) next(c byte) {
	if c == '\n' {
		s.endLine()
		return
	}
	if s.line == 0 {
		s.nextOfStatusLine(c)
	}
	if s.matched == s.column && s.matched < len(transferEncoding) && lower(c) == transferEncoding[s.matched] {
		s.matched++
	}
	s.column++
	s.last = c
}

// lower returns the lower case of an ASCII letter, and other bytes as they are.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// nextOfStatusLine records the protocol's minor version and the first digit of the status.
func (s *headScanner) nextOfStatusLine(c byte) {
	switch {
	case s.column == httpVersionBytes-1:
		s.minor = c
	case s.class == 0 && s.column >= httpVersionBytes && c != ' ':
		s.class = c
	}
}

// endLine ends a line. An empty one ends the head, which another one follows if the status
// is not that of a final response.
func (s *headScanner) endLine() {
	empty := s.column == 0 || s.column == 1 && s.last == '\r'
	if !empty {
		s.line++
		s.column, s.matched = 0, 0
		return
	}
	s.active = s.class == '1'
	s.restart()
}
