package gatewayd

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection; a host without power doesn't answer.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find open connections
	// that have gone silent within about two and a half seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// recentIdle is how long a connection for requests that may run once is kept.
	recentIdle = 500 * time.Millisecond
	// keptIdle is how long other connections to endpoints are kept.
	keptIdle = 4 * time.Second
	// storeProbeInterval and storeProbes find a store that has gone silent within
	// less than two seconds.
	storeProbeInterval = 400 * time.Millisecond
	storeProbes        = 2
	// storeIdle is how long connections to the store are kept.
	storeIdle = 20 * time.Second
	// maxIdlePerHost bounds the idle connections to an endpoint.
	maxIdlePerHost = 64
)

// newTransport returns connections that are given up when their peer falls silent.
func newTransport(idle time.Duration) *http.Transport {
	return probedTransport(idle, keepAliveInterval, keepAliveCount)
}

// storeTransport returns connections to the store. A poll waits without sending,
// so that only probes tell a store that is away from one without changes.
func storeTransport() *http.Transport {
	return probedTransport(storeIdle, storeProbeInterval, storeProbes)
}

// probedTransport returns connections that are given up after a number of probes
// without an answer.
func probedTransport(idle, interval time.Duration, probes int) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, Control: unackedBound, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: interval, Count: probes}}
	return &http.Transport{DialContext: d.DialContext, DisableCompression: true, IdleConnTimeout: idle,
		MaxIdleConnsPerHost: maxIdlePerHost, MaxIdleConns: 0}
}

// unackedBound sets the bound on unacknowledged data of a connection.
func unackedBound(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// bootTime is a steady clock that counts the time the host is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
