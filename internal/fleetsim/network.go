package fleetsim

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/standin/fleet"
)

// One-way delays of the workloads in docs/design.md.
const (
	hostDelay          = 100 * time.Microsecond // between an agent and an engine of one host
	failureDomainDelay = time.Millisecond       // between failure domains
	regionDelay        = 20 * time.Millisecond  // between regions
)

// regionNetwork is the network of the processes in one region. It counts the bytes
// that they exchange with agents in other regions.
type regionNetwork struct {
	fleet.Network
	region           string
	crossRegionBytes *atomic.Int64
}

// newRegionNetwork returns the network of a region, with delays by address. The
// address of a process starts with the name of its region, except for the
// key-value service and the host list.
func newRegionNetwork(base fleet.Network, region string, crossRegionBytes *atomic.Int64) regionNetwork {
	delay := func(address string) time.Duration {
		switch {
		case strings.Contains(address, "engine"):
			return hostDelay
		case strings.HasPrefix(address, region), strings.HasPrefix(address, "kv"), strings.HasPrefix(address, "hosts"):
			return failureDomainDelay
		default:
			return regionDelay
		}
	}
	return regionNetwork{fleet.DelayedNetwork{Network: base, Delay: delay}, region, crossRegionBytes}
}

// Dial implements fleet.Network.
func (n regionNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, network, address)
	if err != nil || !strings.Contains(address, "agent") || strings.HasPrefix(address, n.region) {
		return c, err
	}
	return countingConn{c, n.crossRegionBytes}, nil
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
