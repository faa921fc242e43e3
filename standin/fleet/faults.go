package fleet

import (
	"net"
	"sync"
	"time"
)

// Direction is a set of directions of traffic on a connection.
type Direction int

// Directions of traffic. They can be combined with |.
const (
	// ToServer is traffic from the client to the server.
	ToServer Direction = 1 << iota
	// ToClient is traffic from the server to the client.
	ToClient
	// BothWays is traffic in both directions.
	BothWays = ToServer | ToClient
)

// Fault is an injected fault on the connections to one address of a MemoryNetwork.
type Fault struct {
	Direction Direction
	// AfterOps is the number of client writes (ToServer) and reads (ToClient)
	// that pass before the fault triggers. It triggers once, on the connection of
	// the next one.
	AfterOps int
	// Close closes the connection when the fault triggers. Otherwise the connection
	// stays open, and its traffic in Direction is dropped from then on.
	Close bool
	// Delay, if not zero, delays every write and read in the direction. The fault
	// then never triggers.
	Delay time.Duration
}

// DropTraffic discards all further traffic in a direction on every open
// connection to the address. The connections stay open, and new ones work.
func (m *MemoryNetwork) DropTraffic(address string, d Direction) {
	for _, c := range m.connections(address) {
		c.drop(d)
	}
}

// CloseConnections closes every open connection to the address. New ones work.
func (m *MemoryNetwork) CloseConnections(address string) {
	for _, c := range m.connections(address) {
		_ = c.Close()
	}
}

// Stop closes every open connection to the address and refuses new ones until
// Restore.
func (m *MemoryNetwork) Stop(address string) {
	m.mu.Lock()
	m.stopped[address] = true
	m.mu.Unlock()
	m.CloseConnections(address)
}

// Restore accepts connections to the address again after Stop.
func (m *MemoryNetwork) Restore(address string) {
	m.mu.Lock()
	delete(m.stopped, address)
	m.mu.Unlock()
}

// SetFault sets the fault of an address and replaces the previous one. A zero
// Fault has no effect.
func (m *MemoryNetwork) SetFault(address string, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[address] = &f
}

// FaultTriggered reports whether the fault set for an address has triggered.
func (m *MemoryNetwork) FaultTriggered(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults[address]
	return f != nil && f.AfterOps < 0
}

func (m *MemoryNetwork) connections(address string) []*faultConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*faultConn
	for c := range m.conns {
		if c.address == address {
			out = append(out, c)
		}
	}
	return out
}

// checkFault counts a write or read in a direction. It returns the fault that
// applies, with the Delay to observe, and whether it triggers now.
func (m *MemoryNetwork) checkFault(address string, d Direction) (f Fault, triggered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := m.faults[address]
	if fault == nil || fault.Direction&d == 0 {
		return Fault{}, false
	}
	if fault.Delay > 0 {
		return *fault, false
	}
	if fault.AfterOps < 0 {
		return Fault{}, false
	}
	fault.AfterOps--
	return *fault, fault.AfterOps < 0
}

// faultConn is the client side of a connection, with the faults of its network applied.
type faultConn struct {
	net.Conn
	network *MemoryNetwork
	address string

	mu      sync.Mutex
	dropped Direction
}

func (c *faultConn) drop(d Direction) {
	c.mu.Lock()
	c.dropped |= d
	c.mu.Unlock()
}

// deliver applies the faults to one write or read and reports whether its data
// is to be delivered.
func (c *faultConn) deliver(d Direction) bool {
	f, triggered := c.network.checkFault(c.address, d)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case triggered && f.Close:
		_ = c.Close()
		return false
	case triggered:
		c.drop(f.Direction)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped&d == 0
}

// Write implements net.Conn. While traffic to the server is dropped, it reports
// success and discards the bytes.
func (c *faultConn) Write(b []byte) (int, error) {
	if !c.deliver(ToServer) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. It skips data that a fault drops.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || c.deliver(ToClient) {
			return n, err
		}
	}
}

// Close implements net.Conn. The peer sees the close even while traffic is dropped.
func (c *faultConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
