package fleetsim

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/standin/fleet"
)

// One-way delays; source: the workloads of the design page.
const (
	hostDelay   = 100 * time.Microsecond // agent and engine of one host
	nearDelay   = time.Millisecond       // between failure domains
	regionDelay = 20 * time.Millisecond  // between regions
)

// view is the network as seen from one region. It counts the bytes that its
// processes exchange with agents in other regions.
type view struct {
	fleet.Network
	region  string
	crossed *atomic.Int64
}

// newView returns the network of a region. Addresses start with the region's
// name, except those of the platform.
func newView(base fleet.Network, region string, crossed *atomic.Int64) view {
	delay := func(address string) time.Duration {
		switch {
		case strings.Contains(address, "engine"):
			return hostDelay
		case strings.HasPrefix(address, region), strings.HasPrefix(address, "kv"), strings.HasPrefix(address, "hosts"):
			return nearDelay
		default:
			return regionDelay
		}
	}
	return view{fleet.DelayedNetwork{Network: base, Delay: delay}, region, crossed}
}

// Dial implements fleet.Network.
func (v view) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := v.Network.Dial(ctx, network, address)
	if err != nil || !strings.Contains(address, "agent") || strings.HasPrefix(address, v.region) {
		return c, err
	}
	return counted{c, v.crossed}, nil
}

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
