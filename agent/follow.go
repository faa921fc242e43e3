package agent

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/blocks"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

// Times of the loops that follow an engine.
const (
	loadInterval = time.Second
	loadTimeout  = 2 * time.Second
	// maxBackoff bounds the pause between tries at an engine that fails.
	maxBackoff = 16 * time.Second
	// eventPause is the first pause after an event stream ended.
	eventPause = 250 * time.Millisecond
	// eventStreamAge bounds an event stream: a connection that went silent
	// looks like an engine without events.
	eventStreamAge = time.Minute
)

// Follow polls the load reports of the engines and follows their cache events
// until ctx ends.
func (s *Server) Follow(ctx context.Context) {
	var wg sync.WaitGroup
	for _, ep := range s.endpoints {
		if ep.Kind == infra.Engine {
			wg.Go(func() { s.followLoad(ctx, ep) })
			wg.Go(func() { s.followEvents(ctx, ep) })
		}
	}
	wg.Wait()
}

func (s *Server) followLoad(ctx context.Context, ep *local) {
	interval := cmp.Or(s.opts.LoadInterval, loadInterval)
	pause := interval
	for ctx.Err() == nil {
		if err := s.pollLoad(ctx, ep); err != nil {
			pause = min(2*pause, max(interval, maxBackoff))
			s.log.Debug("load report failed", zap.String("endpoint", ep.ID), zap.Error(err))
		} else {
			pause = interval
		}
		wait.Sleep(ctx, s.jitter(pause))
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

func (s *Server) followEvents(ctx context.Context, ep *local) {
	pause := eventPause
	for ctx.Err() == nil {
		before := ep.view.Stats().Events
		err := ep.events(ctx)
		if ep.view.Stats().Events > before {
			pause = eventPause
		}
		s.log.Debug("event stream ended", zap.String("endpoint", ep.ID), zap.Error(err))
		// A crash breaks the stream before the next regular report is due.
		_ = s.pollLoad(ctx, ep)
		wait.Sleep(ctx, s.jitter(pause))
		pause = min(2*pause, maxBackoff)
	}
}

// events follows one event stream from the last event on.
func (l *local) events(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventStreamAge)
	defer cancel()
	l.mu.Lock()
	l.reconnect = cancel
	l.mu.Unlock()
	return l.driver.Events(ctx, l.Endpoint, l.view.LastSeq(), func(e CacheEvent) { l.view.Apply(e.event()) })
}

var eventKinds = map[CacheEventType]blocks.Kind{BlocksStored: blocks.Stored, BlocksRemoved: blocks.Removed, CacheCleared: blocks.Cleared}

func (e CacheEvent) event() blocks.Event {
	return blocks.Event{Seq: e.Seq, BootID: e.BootID, Kind: eventKinds[e.Type], Blocks: e.Blocks, RequestID: e.RequestID}
}

// jitter returns d changed by up to a tenth, so that agents started together
// don't poll together.
func (s *Server) jitter(d time.Duration) time.Duration {
	return d + time.Duration((s.opts.Random()-0.5)*0.2*float64(d))
}
