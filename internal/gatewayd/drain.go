package gatewayd

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/gateway"
	"github.com/citrontiller/citrontiller/platform"
)

// lateMargin is the time for which a signal, or a request that was sent, may be under way or
// wait for the process to run.
const lateMargin = time.Second

// stopPlan returns the plan of a stop that began at a time.
func (p *gatewayProcess) stopPlan(began time.Time) gateway.Stop {
	return gateway.Stop{
		Began:       began,
		CertainFrom: began.Add(min(p.settings.DrainDelay, platform.LastCuttable-lateMargin)),
		End:         began.Add(p.hostSettings.Grace - shutdownMargin),
	}
}

// drain fails the readiness check and keeps the listener open for the drain delay, so that
// the load balancer can detect it. It waits until no request is open or shutdownMargin before
// SIGKILL is reached. Requests that are still open then are ended. stalled is how long before
// now the signal may have been sent.
func (p *gatewayProcess) drain(stalled time.Duration) {
	started := time.Now()
	plan := p.stopPlan(started)
	p.gateway.BeginStop(plan)
	p.log.Info("draining", zap.Duration("delay", p.settings.DrainDelay), zap.Duration("signal_within", stalled),
		zap.Duration("certain_in", time.Until(plan.CertainFrom)), zap.Duration("end_in", time.Until(plan.End)), zap.Int64("open", p.gateway.Open()))
	time.Sleep(p.settings.DrainDelay)
	for p.gateway.Open() > 0 && time.Now().Before(plan.End) {
		time.Sleep(drainPollInterval)
	}
	p.log.Info("closing", zap.Duration("since_drain", time.Since(started)), zap.Int64("open", p.gateway.Open()))
	err := p.shutDownServer(plan.End)
	if errors.Is(err, context.DeadlineExceeded) {
		p.gateway.EndRequests()
		err = p.shutDownServer(plan.End.Add(finalAnswerTime))
	}
	p.log.Info("stop", zap.Duration("drained_in", time.Since(started)), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

// shutDownServer stops to accept requests and waits for the open ones until a time.
func (p *gatewayProcess) shutDownServer(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return p.server.Shutdown(ctx)
}
