package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose reader learns of a failure that its writer was told of, and
// whose writer leaves a response that has arrived before a reset to the reader.
//
// The operating system reports the failure of a connection once, to the first call; later
// reads return io.EOF. A response that lasts until the end of its connection would look
// complete. http.Transport closes the connection when a write fails, and drops what has
// arrived.
//
// It also reports heads that net/http would read as other ones than were sent.
type conn struct {
	net.Conn
	heads headScanner
	// writing is held during writes and guards failure.
	writing sync.Mutex
	// failure is the failure of the connection that a write has returned.
	failure error
	// ended is closed when a read has failed or the connection is closed.
	ended   chan struct{}
	endOnce sync.Once
}

// Write implements net.Conn. After a reset it returns when the reader has read what has
// arrived, or has closed the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.ended
	}
	return n, err
}

// write writes to the connection and records its failure.
func (c *conn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.failure == nil && isConnFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side, and
// ErrFoldedLine or ErrTransferEncoding in place of such a line.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *conn) read(b []byte) (int, error) {
	if _, err := c.heads.scan(nil); err != nil {
		return 0, err // net/http may read on after an error behind a whole line
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.endWrite(); failure != nil {
			err = failure
		}
	}
	if sound, headErr := c.heads.scan(b[:n]); headErr != nil {
		return sound, headErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end lets a write that has failed return.
func (c *conn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// endWrite ends a write in progress, whose data the peer doesn't need after its last byte,
// and returns the failure of the connection that a write has returned.
func (c *conn) endWrite() error {
	_ = c.SetWriteDeadline(time.Unix(0, 0)) // fails only on a closed connection, where writes end too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isConnFailure reports whether the error of a write means that the connection failed before
// its peer ended its side. Once the peer has, the system reports a reset as EPIPE.
func isConnFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}

// dialer opens a connection.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// watched returns a dialer of connections that report failures to their readers. The
// default dialer is that of the operating system.
func watched(dial dialer) dialer {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, ended: make(chan struct{})}, nil
	}
}
