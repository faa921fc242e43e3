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

// Timing of the loops that poll load reports and follow cache events.
const (
	loadInterval = time.Second
	loadTimeout  = 2 * time.Second
	// maxBackoff bounds the delay between retries while an engine fails.
	maxBackoff = 16 * time.Second
	// eventReconnectDelay is the initial delay before an event stream is reopened.
	eventReconnectDelay = 250 * time.Millisecond
	// maxEventStreamAge is the time after which an event stream is reopened. A
	// connection that fails silently looks like an engine without events.
	maxEventStreamAge = time.Minute
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

func (s *Server) followLoad(ctx context.Context, ep *localEndpoint) {
	interval := cmp.Or(s.opts.LoadInterval, loadInterval)
	delay := interval
	for ctx.Err() == nil {
		if err := s.pollLoad(ctx, ep); err != nil {
			delay = min(2*delay, max(interval, maxBackoff))
			s.log.Debug("load report failed", zap.String("endpoint", ep.ID), zap.Error(err))
		} else {
			delay = interval
		}
		wait.Sleep(ctx, s.jitter(delay))
	}
}

func (s *Server) pollLoad(ctx context.Context, ep *localEndpoint) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := ep.driver.Load(ctx, ep.Endpoint)
	if err != nil {
		return err
	}
	if ep.setReport(r) {
		s.log.Info("engine changed", zap.String("endpoint", ep.ID), zap.String("boot_id", r.BootID),
			zap.String("model", r.Model), zap.String("version", r.Version))
		s.notifyWatchers()
	}
	return nil
}

func (s *Server) followEvents(ctx context.Context, ep *localEndpoint) {
	delay := eventReconnectDelay
	for ctx.Err() == nil {
		before := ep.view.Stats().Events
		err := ep.followEventStream(ctx)
		if ep.view.Stats().Events > before {
			delay = eventReconnectDelay
		}
		s.log.Debug("event stream ended", zap.String("endpoint", ep.ID), zap.Error(err))
		// A crash ends the event stream. Polling now detects the restart before
		// the next scheduled load report.
		_ = s.pollLoad(ctx, ep)
		wait.Sleep(ctx, s.jitter(delay))
		delay = min(2*delay, maxBackoff)
	}
}

// followEventStream opens an event stream and applies its events to the cache
// view. The stream starts after the last applied event.
func (l *localEndpoint) followEventStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxEventStreamAge)
	defer cancel()
	l.mu.Lock()
	l.cancelEvents = cancel
	l.mu.Unlock()
	return l.driver.Events(ctx, l.Endpoint, l.view.LastSeq(), func(e CacheEvent) { l.view.Apply(e.blocksEvent()) })
}

var eventKinds = map[CacheEventType]blocks.Kind{BlocksStored: blocks.Stored, BlocksRemoved: blocks.Removed, CacheCleared: blocks.Cleared}

func (e CacheEvent) blocksEvent() blocks.Event {
	return blocks.Event{Seq: e.Seq, BootID: e.BootID, Kind: eventKinds[e.Type], Blocks: e.Blocks, RequestID: e.RequestID}
}

// jitter varies d randomly by up to 10%, so that agents started at the same time
// do not poll in step.
func (s *Server) jitter(d time.Duration) time.Duration {
	return d + time.Duration((s.opts.Random()-0.5)*0.2*float64(d))
}
