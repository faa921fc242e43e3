package fleet

import (
	"net"
	"sync"
)

// gate blocks traffic while it is paused.
type gate struct {
	mu sync.Mutex
	// resumed is closed while the gate is not paused.
	resumed chan struct{}
	paused  bool
}

func newGate() *gate {
	g := &gate{resumed: make(chan struct{})}
	close(g.resumed)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.paused {
		g.paused, g.resumed = true, make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused {
		g.paused = false
		close(g.resumed)
	}
}

// wait blocks while the gate is paused. It returns net.ErrClosed if closed is
// closed first.
func (g *gate) wait(closed <-chan struct{}) error {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-closed:
		return net.ErrClosed
	}
}

// gatedConn is the client side of a connection whose reads and writes pass a gate.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gerr := c.gate.wait(c.closed); gerr != nil {
		return 0, gerr
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.wait(c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
