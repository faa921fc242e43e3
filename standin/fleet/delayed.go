package fleet

import (
	"context"
	"net"
	"time"
)

// DelayedNetwork wraps a Network and delivers the bytes of its connections
// after a one-way delay.
type DelayedNetwork struct {
	Network
	// Delay returns the one-way delay of connections to an address.
	Delay func(address string) time.Duration
}

// Dial implements Network.
func (d DelayedNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	delay := d.Delay(address)
	local, remote := net.Pipe()
	go copyDelayed(remote, inner, delay)
	go copyDelayed(inner, remote, delay)
	return local, nil
}

// packet is data in flight on a connection, deliverable from due on.
type packet struct {
	data []byte
	due  time.Time
}

// maxPacketBytes bounds the data of one packet.
const maxPacketBytes = 32 << 10

// maxQueuedPackets bounds the packets in flight in one direction of a connection.
const maxQueuedPackets = 256

// copyDelayed copies from src to dst with a delay and closes dst after the last
// byte. When a write to dst fails, it closes src and discards the rest.
func copyDelayed(dst, src net.Conn, delay time.Duration) {
	queue := make(chan packet, maxQueuedPackets)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, maxPacketBytes)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- packet{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if !broken {
			_, err := dst.Write(p.data)
			broken = err != nil
		}
		if broken {
			_ = src.Close()
		}
	}
	_ = dst.Close()
}
