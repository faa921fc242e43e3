package fleet

import (
	"net"
	"sync"
)

// gate holds traffic back while it is shut.
type gate struct {
	mu sync.Mutex
	// passable is closed while traffic may pass.
	passable chan struct{}
	isShut   bool
}

func newGate() *gate {
	g := &gate{passable: make(chan struct{})}
	close(g.passable)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isShut {
		g.isShut, g.passable = true, make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isShut {
		g.isShut = false
		close(g.passable)
	}
}

func (g *gate) wait(closed <-chan struct{}) error {
	g.mu.Lock()
	passable := g.passable
	g.mu.Unlock()
	select {
	case <-passable:
		return nil
	case <-closed:
		return net.ErrClosed
	}
}

// gatedConn is the dialling side of a connection through a gate.
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
