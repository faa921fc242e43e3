package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// headerTimeout bounds the time for reading a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which idle keep-alive connections are closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers; net/http responds 431 to larger
	// ones.
	maxHeaderBytes = 64 << 10
	// maxArrivalWait bounds the wait for a moment without new connections after the drain delay.
	maxArrivalWait = 10 * time.Second
)

// HTTPServer returns an HTTP server for the caller API with timeouts and limits.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: s.Handler(), ConnState: s.callers.OnState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Serve runs h on l until ctx ends and every running request has finished.
// When ctx ends, the readiness check fails immediately and responses carry
// Connection: close. The listener stays open for drainDelay, so that the load
// balancer can detect it. Serve returns nil after a complete drain.
func (s *Server) Serve(ctx context.Context, h *http.Server, l net.Listener, drainDelay time.Duration) error {
	drained := make(chan error, 1)
	serving, stopped := context.WithCancel(ctx)
	defer stopped()
	go func() {
		<-serving.Done()
		drained <- s.drain(ctx, h, l, drainDelay)
	}()
	s.log.Info("listening", zap.String("address", l.Addr().String()))
	err := h.Serve(l)
	stopped()
	if !errors.Is(err, http.ErrServerClosed) && !(errors.Is(err, net.ErrClosed) && s.draining.Load()) {
		return err
	}
	return <-drained
}

// drain waits for delay, closes l and shuts h down, if ctx has ended.
func (s *Server) drain(ctx context.Context, h *http.Server, l net.Listener, delay time.Duration) error {
	if ctx.Err() == nil {
		return nil // h.Serve failed or h was closed
	}
	s.draining.Store(true)
	s.log.Info("draining", zap.Duration("delay", delay))
	time.Sleep(delay)
	until := time.Now().Add(maxArrivalWait)
	s.callers.AwaitNoArrivals(func() bool { return time.Now().After(until) })
	_ = l.Close() // fails only if it is closed
	s.callers.AwaitQuiet(func() bool { return false })
	err := h.Shutdown(context.Background())
	s.log.Info("drained", zap.Error(err))
	return err
}
