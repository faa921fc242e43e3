package gatewayd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/gateway"
	"github.com/citrontiller/citrontiller/platform"
)

const (
	// defaultGrace applies if the platform doesn't tell the time between SIGTERM and SIGKILL.
	defaultGrace = 8 * time.Second
	// lateMargin is the time for which a signal, or a request that was sent, may be under way or
	// wait for the process to run.
	lateMargin = time.Second
	// maxEndMargin is the longest time between the end of the open requests and SIGKILL, and
	// endMarginDivisor divides the grace to give it: requests may only be cut in its last sixth.
	maxEndMargin     = 700 * time.Millisecond
	endMarginDivisor = 10
)

// stopTimes are the times of a planned stop, counted from the signal.
type stopTimes struct {
	// drained is until when the listener stays open in any case, certain from when only requests
	// that end before end are accepted.
	drained, certain time.Duration
	// end is when the open requests are ended, answered until when they are answered, and exit
	// when the process ends, whatever still runs.
	end, answered, exit time.Duration
}

// stopTimes returns the times of a planned stop.
func (p *gatewayProcess) stopTimes() stopTimes {
	grace := p.hostSettings.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	margin := min(maxEndMargin, grace/endMarginDivisor)
	end := grace - margin
	return stopTimes{
		drained:  min(p.settings.DrainDelay, end),
		certain:  min(p.settings.DrainDelay, platform.LastCuttable-lateMargin, end),
		end:      end,
		answered: end + margin/2,
		exit:     grace - margin/5,
	}
}

// drain fails the readiness check and keeps the listener open for the drain delay, so that
// the load balancer can detect it. Then it stops to accept connections as soon as the callers
// are quiet, at plan.End at the latest, and ends the requests that are still open at that time.
// began is the earliest time at which the signal may have been sent.
func (p *gatewayProcess) drain(began time.Duration) {
	times := p.stopTimes()
	plan := gateway.Stop{Clock: p.clock, Began: began, CertainFrom: began + times.certain, End: began + times.end}
	p.gateway.BeginStop(plan)
	now := p.clock()
	p.log.Info("draining", zap.Duration("delay", times.drained), zap.Duration("signal_within", now-began),
		zap.Duration("certain_in", plan.CertainFrom-now), zap.Duration("end_in", plan.End-now), zap.Int64("open", p.gateway.Open()))
	p.sleepUntil(began + times.drained)
	p.awaitQuiet(plan.End)
	p.log.Info("closing", zap.Duration("since_drain", p.clock()-began), zap.Int64("open", p.gateway.Open()))
	_ = p.callerListener.Close() // fails only if it is closed
	p.awaitQuiet(plan.End)
	if p.gateway.Open() > 0 {
		p.gateway.EndRequests()
		p.awaitQuiet(began + times.answered)
	}
	err := p.shutDownServer(began + times.answered)
	p.log.Info("stop", zap.Duration("drained_in", p.clock()-began), zap.Int64("open", p.gateway.Open()), zap.Error(err))
}

// awaitQuiet waits until the callers are quiet, but not past a time of the process's clock.
func (p *gatewayProcess) awaitQuiet(until time.Duration) {
	p.callers.AwaitQuiet(func() bool { return p.clock() >= until })
}

// clockPollInterval is the time between two looks at the process's clock, which the runtime's
// timers don't follow.
const clockPollInterval = 20 * time.Millisecond

// sleepUntil waits until a time of the process's clock.
func (p *gatewayProcess) sleepUntil(t time.Duration) {
	for p.clock() < t {
		time.Sleep(min(clockPollInterval, t-p.clock()))
	}
}

// shutDownServer closes idle connections and waits until a time for those with a request.
func (p *gatewayProcess) shutDownServer(until time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), until-p.clock())
	defer cancel()
	return p.server.Shutdown(ctx)
}
