package fleet

import (
	"context"
	"net"
	"time"
)

// Delayed is a Network whose connections deliver bytes after a one-way delay.
type DelayedNetwork struct {
	Network
	// Delay returns the one-way delay to an address.
	Delay func(address string) time.Duration
}

// Dial implements Network.
func (d DelayedNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	delay := d.Delay(address)
	near, far := net.Pipe()
	go shuttle(far, inner, delay)
	go shuttle(inner, far, delay)
	return near, nil
}

// packet is a piece of a connection's data on its way.
type packet struct {
	data []byte
	due  time.Time
}

// packetSize is the largest piece read at once, in bytes.
const packetSize = 32 << 10

// queueLength bounds the packets on their way in one direction.
const queueLength = 256

// shuttle copies from src to dst with a delay and closes dst after the last byte.
func shuttle(dst, src net.Conn, delay time.Duration) {
	queue := make(chan packet, queueLength)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, packetSize)
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
