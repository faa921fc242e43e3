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

// stopPlan returns the plan of a stop that began at a time of the process's clock.
func (p *gatewayProcess) stopPlan(began time.Duration) gateway.Stop {
	return gateway.Stop{
		Clock:       p.clock,
		Began:       began,
		CertainFrom: began + min(p.settings.DrainDelay, platform.LastCuttable-lateMargin),
		End:         began + p.hostSettings.Grace - shutdownMargin,
	}
}

// drain fails the readiness check and keeps the listener open for the drain delay, so that
// the load balancer can detect it. Then it stops to accept connections as soon as the callers
// are quiet, at plan.End at the latest, and ends the requests that are still open at that time.
// began is the earliest time at which the signal may have been sent.
func (p *gatewayProcess) drain(began time.Duration) {
	plan := p.stopPlan(began)
	p.gateway.BeginStop(plan)
	now := p.clock()
	p.log.Info("draining", zap.Duration("delay", p.settings.DrainDelay), zap.Duration("signal_within", now-began),
		zap.Duration("certain_in", plan.CertainFrom-now), zap.Duration("end_in", plan.End-now), zap.Int64("open", p.gateway.Open()))
	p.sleepUntil(began + p.settings.DrainDelay)
	p.awaitQuiet(plan.End)
	p.log.Info("closing", zap.Duration("since_drain", p.clock()-began), zap.Int64("open", p.gateway.Open()))
	_ = p.callerListener.Close() // fails only if it is closed
	p.awaitQuiet(plan.End)
	end := plan.End + finalAnswerTime
	if p.gateway.Open() > 0 {
		p.gateway.EndRequests()
		p.awaitQuiet(end)
	}
	err := p.shutDownServer(end)
	p.log.Info("stop", zap.Duration("drained_in", p.clock()-began), zap.Int64("open", p.gateway.Open()), zap.Error(err))
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
func (p *gatewayProcess) awaitQuiet(until time.Duration) {
	quietFrom := time.Now()
	for now := quietFrom; p.clock() < until && now.Sub(quietFrom) < quietTime; {
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

// sleepUntil waits until a time of the process's clock.
func (p *gatewayProcess) sleepUntil(t time.Duration) {
	for p.clock() < t {
		time.Sleep(min(drainPollInterval, t-p.clock()))
	}
}

// shutDownServer closes idle connections and waits until a time for those with a request.
func (p *gatewayProcess) shutDownServer(until time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), until-p.clock())
	defer cancel()
	return p.server.Shutdown(ctx)
}
