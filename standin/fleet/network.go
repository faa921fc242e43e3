// Package fleet runs a complete system in one process: stand-ins for the
// platform and the endpoints, agents and entries. The quickstart and the tests
// use it, on loopback ports or on in-memory connections.
package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network opens listeners and dials them.
type Network interface {
	// Listen opens a listener and returns it with the address to dial. Only
	// MemoryNetwork uses the name.
	Listen(name string) (net.Listener, string, error)
	// Dial connects to an address that Listen returned.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// LoopbackNetwork is a Network of loopback TCP ports.
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

// MemoryNetwork is a Network of in-memory connections with fault injection, for
// tests with virtual time.
type MemoryNetwork struct {
	mu sync.Mutex
	// The maps with string keys are keyed by address.
	listeners map[string]*listener
	faults    map[string]*Fault
	conns     map[*faultConn]struct{}
	stopped   map[string]bool
	gates     map[string]*gate
}

// NewMemoryNetwork returns a network without listeners.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*listener{}, faults: map[string]*Fault{}, conns: map[*faultConn]struct{}{},
		stopped: map[string]bool{}, gates: map[string]*gate{}}
}

// listener accepts the server ends of pipes. It uses net.Pipe, which resets
// deadlines reliably: a bufconn deadline that fires while it is being reset fails
// the next read, and net/http servers treat that as a closed connection.
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

// address is a net.Addr on a MemoryNetwork.
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
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: fmt.Errorf("no listener on %s", address)}
	}
	c, err := l.dial(ctx)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	fc := &faultConn{Conn: &gatedConn{Conn: c, gate: g, closed: make(chan struct{})}, network: m, address: address}
	m.mu.Lock()
	m.conns[fc] = struct{}{}
	m.mu.Unlock()
	return fc, nil
}

// Pause holds back the bytes of all existing and new connections to the address,
// as if the process behind it were stopped. Resume delivers them.
func (m *MemoryNetwork) Pause(address string) { m.gate(address).pause() }

// Resume delivers the bytes held back since Pause and ends it.
func (m *MemoryNetwork) Resume(address string) { m.gate(address).resume() }

func (m *MemoryNetwork) gate(address string) *gate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gates[address]
}
