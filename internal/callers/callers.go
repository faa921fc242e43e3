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
	// quietTime is for how long nothing may have happened until the callers are quiet.
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
	// openedAt is when a connection last began, changedAt when one last began or ended, or a
	// request on one did.
	openedAt, changedAt time.Time
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
	if state == http.StateNew {
		c.openedAt = c.changedAt
	}
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

// noArrivalSince returns when the last connection began.
func (c *Conns) noArrivalSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openedAt, true
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

// AwaitNoArrivals waits until no connection begins, but only until expired returns true. The
// host resets the connections that wait to be accepted when the listener closes.
func (c *Conns) AwaitNoArrivals(expired func() bool) { await(c.noArrivalSince, expired) }

// AwaitQuiet waits until no connection is in use, but only until expired returns true. The
// server closes what it reads after its shutdown has begun, without an answer.
func (c *Conns) AwaitQuiet(expired func() bool) { await(c.quietSince, expired) }

// await waits until nothing has happened for quietTime by since, which returns false while
// something goes on. What waits for this process to run must be served before: time in which it
// didn't run doesn't count.
func await(since func() (time.Time, bool), expired func() bool) {
	quietFrom := time.Now()
	for now := quietFrom; !expired() && now.Sub(quietFrom) < quietTime; {
		time.Sleep(pollInterval)
		last := now
		now = time.Now()
		changedAt, quiet := since()
		switch {
		case !quiet || now.Sub(last) > maxStall:
			quietFrom = now
		case changedAt.After(quietFrom):
			quietFrom = changedAt
		}
	}
}
