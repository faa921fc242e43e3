package wire

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citrontiller/citrontiller/call"
)

// conn is a connection with a reference count, so that a replaced connection is
// closed only when its last user has released it.
type conn struct {
	cc      *grpc.ClientConn
	refs    int
	retired bool
	// lastReceived is when the last message of a call arrived, in nanoseconds since
	// the link was created.
	lastReceived atomic.Int64
	// ctx ends when the connection is retired, so that the watch moves to the next
	// connection.
	ctx    context.Context
	cancel context.CancelFunc
}

// retire marks a connection as replaced and reports whether the caller must
// close it, because it has no users left. The caller holds mu.
func (l *Link) retire(c *conn) bool {
	c.retired = true
	c.cancel()
	return c.refs == 0
}

// connectBackoff is the backoff between attempts to connect. It stays short because
// agents restart within seconds.
var connectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

func (l *Link) dial() (*conn, error) {
	creds := l.opts.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: time.Second}),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		// An idle timeout would shut down the watch's connection.
		grpc.WithIdleTimeout(0),
	}
	if l.opts.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return l.opts.Dial(ctx, "tcp", addr)
		}))
	}
	cc, err := grpc.NewClient("passthrough:///"+l.address, opts...)
	if err != nil {
		return nil, &Error{Code: CodeUnreachable, Run: call.NotRun, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{cc: cc, ctx: ctx, cancel: cancel}, nil
}

func (l *Link) acquire() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.refs++
	return l.conn
}

func (l *Link) release(c *conn) {
	l.mu.Lock()
	c.refs--
	closing := c.retired && c.refs == 0
	l.mu.Unlock()
	if closing {
		_ = c.cc.Close()
	}
}

// replace replaces a connection by a new one unless another call has already done so.
func (l *Link) replace(old *conn) {
	l.mu.Lock()
	if l.conn != old {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	c, err := l.dial()
	if err != nil {
		l.log.Warn("dial", zap.Error(err))
		return
	}
	l.mu.Lock()
	if l.conn != old {
		l.mu.Unlock()
		c.cancel()
		_ = c.cc.Close()
		return
	}
	l.conn = c
	if l.closed {
		// The call that requested this connection still uses it.
		l.retire(c)
	}
	closing := l.retire(old)
	l.mu.Unlock()
	if closing {
		_ = old.cc.Close()
	}
	l.log.Info("connection replaced")
}
