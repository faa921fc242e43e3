package gateway

import (
	"context"
	"net"
	"sync/atomic"
)

// connectionKey is the context key of a caller's *connection.
type connectionKey struct{}

// connection is what is known of a caller's connection.
type connection struct {
	// requests counts the requests that it has carried.
	requests atomic.Int64
}

// ConnContext prepares the context of a caller's connection. It is the ConnContext of the
// http.Server that serves the Gateway.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{})
}

// isKept counts a request of a connection and reports whether it has carried others before.
func isKept(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && c.requests.Add(1) > 1
}
