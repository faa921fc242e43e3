package fleet

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic on a connection.
type Direction int

// Directions. They can be combined.
const (
	// ToServer is traffic from the dialling side.
	ToServer Direction = 1 << iota
	// ToClient is traffic to the dialling side.
	ToClient
	// BothWays is all traffic of a connection.
	BothWays = ToServer | ToClient
)

// Fault is a switch that applies to one address of a Memory network.
type Fault struct {
	Direction Direction
	// After is how many writes in the direction pass before the fault strikes.
	// It then strikes once, on the connection of the next write.
	AfterOps int
	// Cut closes the connection; otherwise it goes silent for good.
	Close bool
	// Delay slows every write in the direction and does nothing else.
	Delay time.Duration
}

// Silence makes every open connection to the address silent in a direction.
// New connections work.
func (m *MemoryNetwork) DropTraffic(address string, d Direction) {
	for _, c := range m.connections(address) {
		c.silence(d)
	}
}

// Cut closes every open connection to the address.
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

// Restore ends Stop.
func (m *MemoryNetwork) Restore(address string) {
	m.mu.Lock()
	delete(m.stopped, address)
	m.mu.Unlock()
}

// Arm sets the fault of an address, in place of an earlier one.
func (m *MemoryNetwork) SetFault(address string, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[address] = &f
}

// Struck reports whether the fault armed for an address has struck.
func (m *MemoryNetwork) FaultTriggered(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults[address]
	return f != nil && f.AfterOps < 0
}

func (m *MemoryNetwork) connections(address string) []*connection {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*connection
	for c := range m.open {
		if c.address == address {
			out = append(out, c)
		}
	}
	return out
}

// strike counts a write and returns the fault if it strikes now, or its delay.
func (m *MemoryNetwork) strike(address string, d Direction) (f Fault, now bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	armed := m.faults[address]
	if armed == nil || armed.Direction&d == 0 {
		return Fault{}, false
	}
	if armed.Delay > 0 {
		return *armed, false
	}
	if armed.AfterOps < 0 {
		return Fault{}, false
	}
	armed.AfterOps--
	return *armed, armed.AfterOps < 0
}

// connection is the dialling side of a connection.
type connection struct {
	net.Conn
	network *MemoryNetwork
	address string

	mu     sync.Mutex
	silent Direction
}

func (c *connection) silence(d Direction) {
	c.mu.Lock()
	c.silent |= d
	c.mu.Unlock()
}

// pass applies the faults to one write or read and reports whether it is delivered.
func (c *connection) pass(d Direction) bool {
	f, now := c.network.strike(c.address, d)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case now && f.Close:
		_ = c.Close()
		return false
	case now:
		c.silence(f.Direction)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent&d == 0
}

// Write implements net.Conn. Bytes to a silent peer are accepted and lost.
func (c *connection) Write(b []byte) (int, error) {
	if !c.pass(ToServer) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || c.pass(ToClient) {
			return n, err
		}
	}
}

// Close implements net.Conn. The peer learns of it even when silenced.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
