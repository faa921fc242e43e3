package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/citrontiller/citrontiller/internal/memory"
)

const (
	// defaultMaxBodyBytes bounds request bodies when the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// firstBodyBytes is the first buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
)

// readBody reads the request body, at most limit bytes of it, until the request's deadline.
// Bodies share a memory budget; a request whose body doesn't fit is refused. The error is a
// *Refusal.
func (x *exchange) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: "body_too_large"}
	}
	x.bodyReservation = x.g.Bodies.Reserve("", nil)
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.deadline) // a connection that doesn't support it has none
	err := x.readAllBody(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{}) // as above; else it bounds what the server reads to reuse the connection
		return nil
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Outcome: "body_too_large"}
	case errors.Is(err, memory.ErrSpent):
		return x.unavailable("body_memory", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Outcome: "body_timeout", Err: err}
	}
	return &Refusal{Status: http.StatusBadRequest, Outcome: "body_incomplete", Err: err}
}

// readAllBody reads the body to its end. Its memory is accounted for before it is taken, at
// once if the length is known.
func (x *exchange) readAllBody(body io.Reader) error {
	size := x.r.ContentLength
	if size >= 0 {
		if err := x.bodyReservation.TryGrow(size); err != nil {
			return err
		}
		x.body = make([]byte, size)
		_, err := io.ReadFull(body, x.body)
		return err
	}
	for {
		if len(x.body) == cap(x.body) {
			grown := max(2*cap(x.body), firstBodyBytes)
			if err := x.bodyReservation.TryGrow(int64(grown - cap(x.body))); err != nil {
				return err
			}
			x.body = append(make([]byte, 0, grown), x.body...)
		}
		n, err := body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
