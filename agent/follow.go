package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/platform"
)

// Times of the loops that follow an engine.
const (
	loadInterval = time.Second
	loadTimeout  = 2 * time.Second
	// maxBackoff bounds the pause between tries at an engine that fails.
	maxBackoff = 16 * time.Second
)

// Follow polls the load reports of the engines until ctx ends.
func (s *Server) Follow(ctx context.Context) {
	var wg sync.WaitGroup
	for _, ep := range s.endpoints {
		if ep.Kind == platform.Engine {
			wg.Go(func() { s.followLoad(ctx, ep) })
		}
	}
	wg.Wait()
}

func (s *Server) followLoad(ctx context.Context, ep *local) {
	pause := loadInterval
	for ctx.Err() == nil {
		if err := s.pollLoad(ctx, ep); err != nil {
			pause = min(2*pause, maxBackoff)
			s.log.Debug("load report failed", zap.String("endpoint", ep.ID), zap.Error(err))
		} else {
			pause = loadInterval
		}
		sleep(ctx, jitter(pause))
	}
}

func (s *Server) pollLoad(ctx context.Context, ep *local) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := ep.driver.Load(ctx, ep.Endpoint)
	if err != nil {
		return err
	}
	if ep.setReport(r) {
		s.log.Info("engine changed", zap.String("endpoint", ep.ID), zap.String("boot_id", r.BootID),
			zap.String("model", r.Model), zap.String("version", r.Version))
		s.notify()
	}
	return nil
}

// jitter returns d changed by up to a tenth, so that agents started together
// don't poll together.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration((rand.Float64()-0.5)*0.2*float64(d))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
