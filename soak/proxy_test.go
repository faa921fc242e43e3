package soak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// proxy is a loopback TCP proxy that can reset, delay and stall its connections.
type proxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	conns  map[net.Conn]bool
	// delay is the delay of each forwarded read, as a time.Duration.
	delay atomic.Int64
	// stalled holds back all data; connections stay open.
	stalled atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	go p.run()
	return p
}

func (p *proxy) run() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(in, out)
		go p.forward(out, in)
	}
}

// forward copies data in one direction until either connection closes. A reset is passed on.
func (p *proxy) forward(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			for p.stalled.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			resetOnClose(to)
		}
		if err != nil {
			return
		}
	}
}

// resetOnClose makes closing a connection reset it.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}
