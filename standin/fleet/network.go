// Package fleet assembles a whole system in one process: stand-ins for the
// platform and the endpoints, agents and entries. The quickstart and the tests
// use it, on loopback ports or on in-memory connections.
package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network gives out listeners and dials them.
type Network interface {
	// Listen opens a listener; name is only used in memory.
	Listen(name string) (net.Listener, string, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is a Network of loopback TCP ports.
type LoopbackNetwork struct{}

// Listen implements Network.
func (LoopbackNetwork) Listen(string) (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return l, l.Addr().String(), nil
}

// Dial implements Network.
func (LoopbackNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Memory is a Network of in-memory connections, for tests with virtual time.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	faults    map[string]*Fault
	open      map[*connection]struct{}
	stopped   map[string]bool
	gates     map[string]*gate
}

// NewMemory returns an empty in-memory network.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*listener{}, faults: map[string]*Fault{}, open: map[*connection]struct{}{},
		stopped: map[string]bool{}, gates: map[string]*gate{}}
}

// listener accepts the server's ends of pipes. net.Pipe resets deadlines
// reliably; a bufconn deadline that fires while it is reset breaks the next
// read, which net/http's servers then take for a closed connection.
type listener struct {
	name   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newListener(name string) *listener {
	return &listener{name: name, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.name) }

func (l *listener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// address is a net.Addr on a Memory network.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Listen implements Network.
func (m *MemoryNetwork) Listen(name string) (net.Listener, string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addr := name + ":80"
	l := newListener(addr)
	m.listeners[addr] = l
	m.gates[addr] = newGate()
	return l, addr, nil
}

// Dial implements Network.
func (m *MemoryNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l, g, stopped := m.listeners[address], m.gates[address], m.stopped[address]
	m.mu.Unlock()
	if l == nil || stopped {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: fmt.Errorf("nothing listens on %s", address)}
	}
	c, err := l.dial(ctx)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	fc := &connection{Conn: &gatedConn{Conn: c, gate: g, closed: make(chan struct{})}, network: m, address: address}
	m.mu.Lock()
	m.open[fc] = struct{}{}
	m.mu.Unlock()
	return fc, nil
}

// Pause makes every connection to the address silent, old and new, as if the
// process behind it were stopped. Resume lets the held bytes through.
func (m *MemoryNetwork) Pause(address string) { m.gate(address).shut() }

// Resume ends Pause.
func (m *MemoryNetwork) Resume(address string) { m.gate(address).open() }

func (m *MemoryNetwork) gate(address string) *gate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gates[address]
}
