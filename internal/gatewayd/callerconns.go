package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns follows the callers' connections. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// fresh holds the connections that have not carried a request yet.
	fresh map[net.Conn]bool
	// changedAt is when a connection last began or ended, or a request on one did.
	changedAt time.Time
}

// onState records the state of a connection. It is the ConnState hook of the http.Server.
func (c *callerConns) onState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedAt = time.Now()
	if state != http.StateNew {
		delete(c.fresh, conn)
		return
	}
	if c.fresh == nil {
		c.fresh = map[net.Conn]bool{}
	}
	c.fresh[conn] = true
}

// quietSince returns since when nothing has changed, or false if a connection has yet to
// carry its first request.
func (c *callerConns) quietSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedAt, len(c.fresh) == 0
}
