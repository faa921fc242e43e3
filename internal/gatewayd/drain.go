package gatewayd

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drain fails the readiness check and keeps serving for the drain delay, so that
// the load balancer can detect it. Then it accepts only requests that end in time,
// until none is open or shutdownMargin before SIGKILL is reached.
func (p *gatewayProcess) drain() {
	started := time.Now()
	end := started.Add(p.hostSettings.Grace - shutdownMargin)
	p.gateway.SetDraining()
	p.log.Info("draining", zap.Duration("delay", p.settings.DrainDelay), zap.Int64("open", p.gateway.Open()))
	time.Sleep(p.settings.DrainDelay)
	p.gateway.SetClosing(end)
	p.waitForRequests(end)
	p.gateway.EndRequests()
	end = end.Add(finalAnswerTime)
	p.waitForRequests(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := p.server.Shutdown(ctx)
	p.log.Info("stop", zap.Duration("drained_in", time.Since(started)), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

// waitForRequests waits until no request is open, but not beyond a time.
func (p *gatewayProcess) waitForRequests(until time.Time) {
	for p.gateway.Open() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}
