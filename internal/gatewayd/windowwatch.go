package gatewayd

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchedBytes is the number of bytes after which a connection is watched. Fewer fit the
	// receive buffer of a peer that doesn't read.
	watchedBytes = 32 << 10
	// watchInterval is the time between two looks at a watched connection. It leaves time before
	// unackedTimeout.
	watchInterval = 500 * time.Millisecond
	// maxUnansweredProbes is the number of unanswered probes of a closed window from which the
	// peer counts as silent.
	maxUnansweredProbes = 3
)

// windowWatch keeps connections open whose peers are alive but don't read. The system counts the
// time in which a peer's receive window is closed towards TCP_USER_TIMEOUT, although the peer
// answers its probes. Its zero value is ready to use, and it is safe for concurrent use.
type windowWatch struct {
	mu sync.Mutex
	// conns holds the watched connections; the watch runs while there are any.
	conns map[*windowConn]bool
}

// windowConn is a connection that is watched while it sends much.
type windowConn struct {
	net.Conn
	watch *windowWatch
	raw   syscall.RawConn
	// relaxed is true while TCP_USER_TIMEOUT is off. Only the watch uses it.
	relaxed bool

	mu sync.Mutex
	// unwatched counts the bytes written since the connection was last watched.
	unwatched int
}

// dialer returns a dialer of connections that are watched.
func (w *windowWatch) dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sc, ok := c.(syscall.Conn)
		if !ok {
			return c, nil
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return &windowConn{Conn: c, watch: w, raw: raw}, nil
	}
}

// Write implements net.Conn.
func (c *windowConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.unwatched += len(b)
	much := c.unwatched >= watchedBytes
	if much {
		c.unwatched = 0
	}
	c.mu.Unlock()
	if much {
		c.watch.add(c)
	}
	return c.Conn.Write(b)
}

// add begins to watch a connection.
func (w *windowWatch) add(c *windowConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		w.conns = map[*windowConn]bool{}
		go w.run()
	}
	w.conns[c] = true
}

// run looks at the watched connections until there are none.
func (w *windowWatch) run() {
	for {
		time.Sleep(watchInterval)
		w.mu.Lock()
		for c := range w.conns {
			if !c.look() {
				delete(w.conns, c)
			}
		}
		done := len(w.conns) == 0
		w.mu.Unlock()
		if done {
			return
		}
	}
}

// look sets TCP_USER_TIMEOUT by the present state of the connection, and reports whether it still
// has something to send.
func (c *windowConn) look() bool {
	sending := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		sending = info.Unacked > 0 || info.Notsent_bytes > 0
		closedWindow := info.Unacked == 0 && info.Notsent_bytes > 0
		c.relax(int(fd), closedWindow && info.Probes < maxUnansweredProbes)
	})
	return err == nil && sending // an error means that it is closed
}

// relax turns TCP_USER_TIMEOUT off or on.
func (c *windowConn) relax(fd int, off bool) {
	if off == c.relaxed {
		return
	}
	timeout := unackedTimeout
	if off {
		timeout = 0
	}
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())); err == nil {
		c.relaxed = off
	}
}
