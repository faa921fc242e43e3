// Package testaddr reserves loopback addresses for the servers that tests start as
// separate processes.
package testaddr

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

const (
	// firstPort and lastPort bound the reserved ports. They are below the range from
	// which the operating system takes the ports of outgoing connections, so that no
	// connection can take a port between its reservation and the start of the server,
	// or while the server restarts.
	firstPort, lastPort = 12_000, 32_000
	// guardIP is the loopback address that is bound while a port is reserved, so that
	// other test processes don't reserve it too.
	guardIP = "127.0.0.9"
	// serverIP is the address of the servers.
	serverIP = "127.0.0.1"
	// maxTries bounds the search for a free port.
	maxTries = 200
)

// Reserve returns a loopback address with a port that no other server of a test uses
// until t ends.
func Reserve(t testing.TB) string {
	t.Helper()
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s:%d", guardIP, port))
		if err != nil {
			continue // reserved by another test
		}
		addr := fmt.Sprintf("%s:%d", serverIP, port)
		if !free(addr) {
			_ = guard.Close() // a listener without connections
			continue
		}
		t.Cleanup(func() { _ = guard.Close() })
		return addr
	}
	t.Fatalf("no free port between %d and %d after %d tries", firstPort, lastPort, maxTries)
	return ""
}

// free reports whether a server can listen on addr.
func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
