package gatewayd

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// drain fails the readiness check and keeps serving for the drain delay, so that
// the load balancer can detect it. Then it accepts only requests that end in time,
// until none is open or shutdownMargin before SIGKILL is reached. Requests that are still
// open then are ended. stalled is how long before now the signal may have been sent.
func (p *gatewayProcess) drain(stalled time.Duration) {
	started := time.Now()
	end := started.Add(p.hostSettings.Grace - shutdownMargin)
	p.gateway.SetDraining()
	p.log.Info("draining", zap.Duration("delay", p.settings.DrainDelay), zap.Duration("signal_within", stalled), zap.Int64("open", p.gateway.Open()))
	time.Sleep(p.settings.DrainDelay)
	p.gateway.SetClosing(end)
	p.log.Info("closing", zap.Duration("since_drain", time.Since(started)), zap.Duration("left", time.Until(end)), zap.Int64("open", p.gateway.Open()))
	for p.gateway.Open() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	err := p.shutDownServer(end)
	if errors.Is(err, context.DeadlineExceeded) {
		p.gateway.EndRequests()
		err = p.shutDownServer(end.Add(finalAnswerTime))
	}
	p.log.Info("stop", zap.Duration("drained_in", time.Since(started)), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

// shutDownServer stops to accept requests and waits for the open ones until a time.
func (p *gatewayProcess) shutDownServer(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return p.server.Shutdown(ctx)
}
