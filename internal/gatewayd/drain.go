package gatewayd

import (
	"context"
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
// the load balancer can detect it. Then it stops to accept connections as soon as the callers
// are quiet, at plan.End at the latest, and ends the requests that are still open at that time.
// stalled is how long before now the signal may have been sent.
func (p *gatewayProcess) drain(stalled time.Duration) {
	started := time.Now()
	plan := p.stopPlan(started)
	p.gateway.BeginStop(plan)
	p.log.Info("draining", zap.Duration("delay", p.settings.DrainDelay), zap.Duration("signal_within", stalled),
		zap.Duration("certain_in", time.Until(plan.CertainFrom)), zap.Duration("end_in", time.Until(plan.End)), zap.Int64("open", p.gateway.Open()))
	time.Sleep(p.settings.DrainDelay)
	p.awaitQuiet(plan.End)
	p.log.Info("closing", zap.Duration("since_drain", time.Since(started)), zap.Int64("open", p.gateway.Open()))
	_ = p.callerListener.Close() // fails only if it is closed
	p.awaitQuiet(plan.End)
	end := plan.End.Add(finalAnswerTime)
	if p.gateway.Open() > 0 {
		p.gateway.EndRequests()
		p.awaitQuiet(end)
	}
	err := p.shutDownServer(end)
	p.log.Info("stop", zap.Duration("drained_in", time.Since(started)), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

const (
	// drainPollInterval is the time between two checks whether the callers are quiet.
	drainPollInterval = 20 * time.Millisecond
	// quietTime is for how long no request may have been open, and no connection have changed,
	// until the callers are quiet.
	quietTime = 100 * time.Millisecond
)

// awaitQuiet waits until the callers are quiet, but not past a time. The server closes what
// it reads after its shutdown has begun, and the host what it has accepted for a listener that
// closes. So requests that wait for this process to run must be served before: time in which
// it didn't run doesn't count.
func (p *gatewayProcess) awaitQuiet(until time.Time) {
	quietFrom := time.Now()
	for now := quietFrom; now.Before(until) && now.Sub(quietFrom) < quietTime; {
		time.Sleep(drainPollInterval)
		last := now
		now = time.Now()
		changedAt, settled := p.callers.quietSince()
		if p.gateway.Open() > 0 || !settled || now.Sub(last) > 3*drainPollInterval {
			quietFrom = now
		} else if changedAt.After(quietFrom) {
			quietFrom = changedAt
		}
	}
}

// shutDownServer closes idle connections and waits until a time for those with a request.
func (p *gatewayProcess) shutDownServer(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return p.server.Shutdown(ctx)
}
