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
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes keep-alive connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers; net/http answers 431.
	maxHeaderBytes = 64 << 10
)

// HTTPServer returns the server for the caller API with its limits set.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Serve runs h on l until ctx ends and every running request has finished.
// When ctx ends, readiness fails at once, and responses ask callers to close
// their connections; the listener stays open for drainDelay, so that the load
// balancer can notice. It returns nil after a complete drain.
func (s *Server) Serve(ctx context.Context, h *http.Server, l net.Listener, drainDelay time.Duration) error {
	drained := make(chan error, 1)
	serving, stopped := context.WithCancel(ctx)
	defer stopped()
	go func() {
		<-serving.Done()
		drained <- s.drain(ctx, h, drainDelay)
	}()
	s.log.Info("listening", zap.String("address", l.Addr().String()))
	err := h.Serve(l)
	stopped()
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-drained
}

func (s *Server) drain(ctx context.Context, h *http.Server, delay time.Duration) error {
	if ctx.Err() == nil {
		return nil // h failed or was closed
	}
	s.draining.Store(true)
	s.log.Info("draining", zap.Duration("delay", delay))
	time.Sleep(delay)
	err := h.Shutdown(context.Background())
	s.log.Info("drained", zap.Error(err))
	return err
}
