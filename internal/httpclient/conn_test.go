package httpclient

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// brokenConn is a connection whose writes fail. If blocked, they return only once their
// deadline is set. Reads return io.EOF.
type brokenConn struct {
	net.Conn
	failure error
	blocked bool
	// writing is closed when the write has begun, deadline when its deadline is set.
	writing, deadline chan struct{}
}

func (c *brokenConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.blocked {
		<-c.deadline
	}
	return 0, c.failure
}

func (*brokenConn) Read([]byte) (int, error) { return 0, io.EOF }
func (*brokenConn) Close() error             { return nil }

func (c *brokenConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Guards against a reader that takes a failed connection for one that its peer has ended,
// because the writer is told of the failure: before the read, or in a write that had begun.
func TestReaderLearnsOfFailedWrite(t *testing.T) {
	for name, tc := range map[string]struct{ failure, want error }{
		"reset":                      {syscall.ECONNRESET, syscall.ECONNRESET},
		"unacknowledged data":        {syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"no route":                   {syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		"reset after the peer's end": {syscall.EPIPE, io.EOF},
		"write ended by the reader":  {os.ErrDeadlineExceeded, io.EOF},
		"closed by this side":        {net.ErrClosed, io.EOF},
		"no failure":                 {nil, io.EOF},
	} {
		for when, blocked := range map[string]bool{"before": false, "during": true} {
			t.Run(name+" "+when, func(t *testing.T) {
				is := is.New(t)
				broken := &brokenConn{blocked: blocked, writing: make(chan struct{}), deadline: make(chan struct{})}
				if tc.failure != nil {
					broken.failure = &net.OpError{Op: "write", Err: tc.failure}
				}
				c := &conn{Conn: broken, ended: make(chan struct{})}
				go func() { _, _ = c.Write([]byte("b")) }()
				<-broken.writing
				_, err := c.Read(make([]byte, 1))
				is.True(errors.Is(err, tc.want))
			})
		}
	}
}

// Guards against a response that has arrived and is dropped, because http.Transport closes the
// connection once a write has failed; and against a write that never returns.
func TestFailedWriteWaitsForReader(t *testing.T) {
	for name, tc := range map[string]struct {
		failure error
		waits   bool
		end     func(c *conn)
	}{
		"reset, read to the end":    {syscall.ECONNRESET, true, func(c *conn) { _, _ = c.Read(make([]byte, 1)) }},
		"reset, closed":             {syscall.ECONNRESET, true, func(c *conn) { _ = c.Close() }},
		"reset after the end, read": {syscall.EPIPE, true, func(c *conn) { _, _ = c.Read(make([]byte, 1)) }},
		"other failure":             {syscall.ENOBUFS, false, func(*conn) {}},
		"no failure":                {nil, false, func(*conn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &conn{Conn: &brokenConn{failure: tc.failure, writing: make(chan struct{}), deadline: make(chan struct{})}, ended: make(chan struct{})}
				returned := false
				go func() {
					_, err := c.Write([]byte("b"))
					is.Equal(err, tc.failure)
					returned = true
				}()
				synctest.Wait()
				is.Equal(!returned, tc.waits)
				tc.end(c)
				synctest.Wait()
				is.True(returned)
			})
		})
	}
}

// Guards against a reader that waits for a write whose peer has ended its side and reads no
// more.
func TestEndOfPeerEndsWrite(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dial := watched(nil)
	local, err := dial(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer local.Close()
	remote, err := l.Accept()
	is.NoErr(err)
	defer remote.Close()
	written := make(chan error, 1)
	go func() {
		_, err := local.Write(make([]byte, 64<<20)) // more than the buffers hold
		written <- err
	}()
	_, err = io.ReadFull(remote, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(remote.(*net.TCPConn).CloseWrite())
	_, err = local.Read(make([]byte, 1))
	is.True(err == io.EOF)
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
}
