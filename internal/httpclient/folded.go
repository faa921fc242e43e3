package httpclient

import (
	"errors"
	"sync"
)

// ErrFoldedLine means that the head of a response has a line that begins with a blank.
// net/http joins such a line to the value before it, although it may be a field whose name
// begins with a blank, such as one that frames the body. No sender may fold lines, and a
// gateway may reject those that do (RFC 9112, section 5.2).
var ErrFoldedLine = errors.New("response head has a line that begins with a blank")

// httpVersionBytes is the length of the version that a status line begins with.
const httpVersionBytes = len("HTTP/1.1")

// headScanner looks for folded lines in the heads of a connection's responses. It is safe
// for concurrent use.
type headScanner struct {
	mu sync.Mutex
	// active is true from a request to the end of the head of its final response.
	active bool
	// folded is true once a folded line was found.
	folded bool
	// line and column count the head's lines before the current one and the bytes of that.
	line, column int
	// class is the first digit of the status, 0 before it.
	class byte
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
func (s *headScanner) restart() { s.line, s.column, s.class, s.last = 0, 0, 0, 0 }

// scan reads bytes of the connection and returns the number of those before a folded line.
// After that, the error is ErrFoldedLine for good.
func (s *headScanner) scan(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.folded {
		return 0, ErrFoldedLine
	}
	for i, c := range b {
		if !s.active {
			break
		}
		if s.line > 0 && s.column == 0 && (c == ' ' || c == '\t') {
			s.folded = true
			return i, ErrFoldedLine
		}
		s.next(c)
	}
	return len(b), nil
}

// next counts a byte of the head.
func (s *headScanner) next(c byte) {
	if c == '\n' {
		s.endLine()
		return
	}
	if s.line == 0 && s.class == 0 && s.column >= httpVersionBytes && c != ' ' {
		s.class = c
	}
	s.column++
	s.last = c
}

// endLine ends a line. An empty one ends the head, which another one follows if the status
// is not that of a final response.
func (s *headScanner) endLine() {
	empty := s.column == 0 || s.column == 1 && s.last == '\r'
	if !empty {
		s.line++
		s.column = 0
		return
	}
	s.active = s.class == '1'
	s.restart()
}
