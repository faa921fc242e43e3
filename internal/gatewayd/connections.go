package gatewayd

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citrontiller/citrontiller/internal/httpclient"
)

const (
	// dialTimeout bounds the setup of a connection. A host without power never
	// responds.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	unackedTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount close an idle connection
	// within about 2.5 s after its peer stops responding.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// shortIdleTimeout is how long an idle connection is kept for requests that
	// must not run twice.
	shortIdleTimeout = 500 * time.Millisecond
	// longIdleTimeout is how long other idle connections to endpoints are kept.
	longIdleTimeout = 4 * time.Second
	// storeProbeInterval and storeProbeCount close an idle connection to the store
	// in less than 2 s after the store stops responding.
	storeProbeInterval = 400 * time.Millisecond
	storeProbeCount    = 2
	// storeIdleTimeout is how long idle connections to the store are kept.
	storeIdleTimeout = 20 * time.Second
	// maxResponseHeaderBytes bounds the headers of a response. A faulty endpoint may
	// send bytes without end.
	maxResponseHeaderBytes = 64 << 10
	// maxIdlePerHost bounds the idle connections to an endpoint.
	maxIdlePerHost = 64
)

// newTransport returns a transport for endpoints that closes connections whose
// peer stops responding. idle is how long unused connections are kept.
func newTransport(idle time.Duration) *httpclient.Transport {
	d := newDialer(keepAliveInterval, keepAliveCount)
	t := newKeepAliveTransport(idle, new(windowWatch).dialer(d))
	t.SendOnce = true // each send counts against the limits of its request
	return t
}

// newStoreTransport returns a transport for the store. A long poll sends nothing
// while it waits, so only keep-alive probes distinguish an unreachable store from
// one without changes.
func newStoreTransport() *httpclient.Transport {
	return newKeepAliveTransport(storeIdleTimeout, newDialer(storeProbeInterval, storeProbeCount).DialContext)
}

// newDialer returns a dialer of connections that end when sent data stays unacknowledged for
// unackedTimeout, or after the given number of unanswered keep-alive probes.
func newDialer(interval time.Duration, probes int) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: interval, Count: probes}}
}

// newKeepAliveTransport returns a transport with the connections of a dialer.
func newKeepAliveTransport(idle time.Duration, dial func(ctx context.Context, network, address string) (net.Conn, error)) *httpclient.Transport {
	return &httpclient.Transport{Transport: &http.Transport{DialContext: dial, DisableCompression: true, IdleConnTimeout: idle,
		MaxIdleConnsPerHost: maxIdlePerHost, MaxIdleConns: 0, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
}

// setUserTimeout sets TCP_USER_TIMEOUT of a connection to unackedTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
