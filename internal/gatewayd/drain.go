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

// stopTimes are the lengths of the parts of a planned stop, counted from the signal.
type stopTimes struct {
	// drained is until when the listener stays open in any case, certain from when only requests
	// that end before end are accepted.
	drained, certain time.Duration
	// end is when the open requests are ended if the signal was noticed at once, lastEnd the
	// latest time at which they can be ended and still be answered.
	end, lastEnd time.Duration
	// answering is the time in which ended requests are answered, and exit when the process ends,
	// whatever still runs.
	answering, exit time.Duration
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
		drained:   min(p.settings.DrainDelay, end),
		certain:   min(p.settings.DrainDelay, platform.LastCuttable-lateMargin, end),
		end:       end,
		lastEnd:   grace - margin/2,
		answering: margin / 2,
		exit:      grace - margin/5,
	}
}

// stopPlan returns the plan of a stop whose signal was sent between two times. Requests may
// be cut late in the grace only, counted from the later time; but they must be answered before
// SIGKILL, counted from the earlier.
func (t stopTimes) stopPlan(earliest, noticed time.Duration) gateway.Stop {
	return gateway.Stop{Began: noticed, CertainFrom: earliest + t.certain, End: min(noticed+t.end, earliest+t.lastEnd)}
}

// drain fails the readiness check and keeps the listener open for the drain delay, so that
// the load balancer can detect it. Then it stops to accept connections as soon as the callers
// are quiet, at plan.End at the latest, and ends the requests that are still open at that
// time. earliest is the earliest time at which the signal may have been sent. drain returns
// when the process must end.
func (p *gatewayProcess) drain(earliest time.Duration) (exit time.Duration) {
	noticed, times := p.clock(), p.stopTimes()
	earliest = max(earliest, noticed-times.end) // else the process would have been killed
	plan := times.stopPlan(earliest, noticed)
	plan.Clock = p.clock
	exit = earliest + times.exit
	p.gateway.BeginStop(plan)
	p.log.Info("draining", zap.Duration("delay", times.drained), zap.Duration("signal_within", noticed-earliest),
		zap.Duration("certain_in", plan.CertainFrom-noticed), zap.Duration("end_in", plan.End-noticed), zap.Int64("open", p.gateway.Open()))
	p.sleepUntil(min(noticed+times.drained, plan.End))
	p.callers.AwaitQuiet(p.after(plan.End))
	p.log.Info("closing", zap.Duration("since_drain", p.clock()-noticed), zap.Int64("open", p.gateway.Open()))
	_ = p.callerListener.Close() // fails only if it is closed
	p.callers.AwaitQuiet(p.after(plan.End))
	answered := min(plan.End+times.answering, exit)
	if p.gateway.Open() > 0 {
		p.gateway.EndRequests()
		p.callers.AwaitQuiet(p.after(answered))
	}
	err := p.shutDownServer(answered)
	p.log.Info("stop", zap.Duration("drained_in", p.clock()-noticed), zap.Int64("open", p.gateway.Open()), zap.Error(err))
	return exit
}

// after returns a function that reports whether the process's clock has reached a time.
func (p *gatewayProcess) after(t time.Duration) func() bool {
	return func() bool { return p.clock() >= t }
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
