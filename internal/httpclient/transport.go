// Package httpclient holds the transport of the HTTP calls to endpoints and to the
// platform's services.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that returns final, well-formed responses only. Their
// bodies end with the request's context. It is safe for concurrent use.
type Transport struct {
	*http.Transport
	// SendOnce makes a request fail where http.Transport would send it again by itself, as
	// it does on kept connections that break, depending on its method, headers and body.
	SendOnce bool

	watchConns sync.Once
}

// RoundTrip implements http.RoundTripper. It returns a *StatusError, a *FieldNameError,
// ErrFoldedLine or ErrTransferEncoding for a response that answers no request or is malformed,
// and closes its connection.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.watchConns.Do(func() { t.DialContext = watched(t.DialContext) })
	send := t.Transport.RoundTrip
	if t.SendOnce && mayBeRepeated(req) {
		send = t.sendOnce
	}
	var used usedConn
	resp, err := send(req.WithContext(used.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	resp.Request = req
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // the response is not used
		used.close()
		return nil, err
	}
	return resp, nil
}

// usedConn is the connection that a request was sent on last.
type usedConn struct{ conn atomic.Pointer[net.Conn] }

// trace returns a context for a request that records its connection.
func (u *usedConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.conn.Store(&info.Conn)
		if c, ok := info.Conn.(*conn); ok { // else the connection is encrypted
			c.heads.expect()
		}
	}})
}

// close closes the connection, which http.Transport keeps after a response without a body.
func (u *usedConn) close() {
	if c := u.conn.Load(); c != nil {
		_ = (*c).Close() // it may have been closed
	}
}
