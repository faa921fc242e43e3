// Package callers follows the connections of callers, so that a process that ends closes
// none on which a request is due.
package callers

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pollInterval is the time between two checks whether the callers are quiet.
	pollInterval = 20 * time.Millisecond
	// quietTime is for how long no connection may have been in use, or have changed, until the
	// callers are quiet.
	quietTime = 100 * time.Millisecond
	// maxStall is the time between two checks from which the process has not run meanwhile.
	maxStall = 3 * pollInterval
	// maxUnusedTime is how long a connection without a request counts as in use.
	maxUnusedTime = 5 * time.Second
)

// Conns follows the connections of an http.Server. The zero value is ready for use. It is
// safe for concurrent use.
type Conns struct {
	mu sync.Mutex
	// inUse holds the connections with a request, and those that have carried none yet.
	inUse map[net.Conn]use
	// changedAt is when a connection last began or ended, or a request on one did.
	changedAt time.Time
}

// use is how a connection is in use.
type use struct {
	since time.Time
	// unused is true until its first request has arrived.
	unused bool
}

// OnState records the state of a connection. It is the ConnState hook of the http.Server.
func (c *Conns) OnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedAt = time.Now()
	switch state {
	case http.StateNew, http.StateActive:
		if c.inUse == nil {
			c.inUse = map[net.Conn]use{}
		}
		c.inUse[conn] = use{since: c.changedAt, unused: state == http.StateNew}
	default:
		delete(c.inUse, conn)
	}
}

// quietSince returns since when nothing has changed, or false while a connection is in use.
func (c *Conns) quietSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.inUse {
		if !u.unused || time.Since(u.since) < maxUnusedTime {
			return time.Time{}, false
		}
	}
	return c.changedAt, true
}

// AwaitQuiet waits until the callers are quiet, but only until expired returns true. The
// server closes what it reads after its shutdown has begun, without an answer, and the host
// resets the connections that wait to be accepted when the listener closes. So what waits for
// this process to run must be served before: time in which it didn't run doesn't count.
func (c *Conns) AwaitQuiet(expired func() bool) {
	quietFrom := time.Now()
	for now := quietFrom; !expired() && now.Sub(quietFrom) < quietTime; {
		time.Sleep(pollInterval)
		last := now
		now = time.Now()
		changedAt, quiet := c.quietSince()
		switch {
		case !quiet || now.Sub(last) > maxStall:
			quietFrom = now
		case changedAt.After(quietFrom):
			quietFrom = changedAt
		}
	}
}
