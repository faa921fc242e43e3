// Package rawserver serves the connections of a test with bytes that no HTTP server would
// send.
package rawserver

import (
	"bufio"
	"net"
	"testing"
)

// Start serves each connection to a loopback address with serve, which reads from r, and then
// closes it. n counts the connections from 0. It returns the address.
func Start(t testing.TB, serve func(c net.Conn, r *bufio.Reader, n int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c), n)
			}()
		}
	}()
	return l.Addr().String()
}
