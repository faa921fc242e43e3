// Package gatewayd assembles the gateway's process: its settings, the local copy
// of the store, the servers for callers, the load balancer and other gateways, and
// the shutdown.
package gatewayd

import (
	"errors"
	"time"

	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/rollout"
)

// Values of Settings.EndpointPace.
const (
	paceAdaptive = "adaptive"
	paceOff      = "off"
)

// Values of Settings.OverloadQueue.
const (
	queueLimited = "limited"
	queueOff     = "off"
)

// Settings are the flags of a gateway. Each is also an environment variable. The
// value of a duration includes its unit. The values that the platform provides are
// in the file named by --settings.
type Settings struct {
	File             string        `arg:"--settings,env:CITRONTILLER_BOOT" help:"path of the platform's settings file (required)"`
	LogLevel         string        `arg:"--log-level,env:CITRONTILLER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	PollWait         time.Duration `arg:"--poll-wait,env:CITRONTILLER_POLL_WAIT" default:"4s" help:"longest wait of one poll of the store for changes"`
	DrainDelay       time.Duration `arg:"--drain-delay,env:CITRONTILLER_DRAIN_DELAY" default:"3s" help:"least time between failing readiness and closing the listener"`
	LeaseTTL         time.Duration `arg:"--lease-ttl,env:CITRONTILLER_LEASE_TTL" default:"3s" help:"length of the lease of the process that gives engines orders"`
	RolloutStrategy  string        `arg:"--rollout-strategy,env:CITRONTILLER_ROLLOUT_STRATEGY" default:"keep" help:"what happens to running requests when weights change: finish, keep or cut"`
	UsualUrgent      float64       `arg:"--usual-urgent,env:CITRONTILLER_USUAL_URGENT" default:"1.5" help:"expected wait from which requests of priority 0 are refused, in shares of their target latency"`
	UsualOther       float64       `arg:"--usual-other,env:CITRONTILLER_USUAL_OTHER" default:"0.8" help:"the same for all other requests"`
	UsualOtherMax    time.Duration `arg:"--usual-other-max,env:CITRONTILLER_USUAL_OTHER_MAX" default:"480ms" help:"longest expected wait that --usual-other allows"`
	OverloadUrgent   float64       `arg:"--overload-urgent,env:CITRONTILLER_OVERLOAD_URGENT" default:"1" help:"as --usual-urgent, while endpoints have a standing queue"`
	OverloadOther    float64       `arg:"--overload-other,env:CITRONTILLER_OVERLOAD_OTHER" default:"0.3" help:"as --usual-other, while endpoints have a standing queue"`
	OverloadOtherMax time.Duration `arg:"--overload-other-max,env:CITRONTILLER_OVERLOAD_OTHER_MAX" default:"150ms" help:"longest expected wait that --overload-other allows"`
	RolloutShare     int           `arg:"--rollout-share,env:CITRONTILLER_ROLLOUT_SHARE" default:"6" help:"one in this many engines of a model is updated at the same time"`
	EndpointPace     string        `arg:"--endpoint-pace,env:CITRONTILLER_ENDPOINT_PACE" default:"off" help:"pace of work for a started or recovered engine: adaptive or off"`
	OverloadQueue    string        `arg:"--overload-queue,env:CITRONTILLER_OVERLOAD_QUEUE" default:"off" help:"whether requests wait in a queue in an overload: limited (while an account has a limit) or off"`
}

// Check returns every setting that is missing or out of range, joined. Each is
// a *process.SettingError.
func (s Settings) Check() error {
	errs := []error{
		process.CheckRequired("--settings", s.File, "the path of the platform's settings file"),
		process.CheckRange("--poll-wait", s.PollWait, 100*time.Millisecond, 30*time.Second),
		process.CheckRange("--drain-delay", s.DrainDelay, 0, 10*time.Minute),
		process.CheckRange("--usual-urgent", s.UsualUrgent, 0.1, 1e6),
		process.CheckRange("--usual-other", s.UsualOther, 0.1, 1e6),
		process.CheckRange("--overload-urgent", s.OverloadUrgent, 0.1, 1e6),
		process.CheckRange("--overload-other", s.OverloadOther, 0.1, 1e6),
		process.CheckRange("--usual-other-max", s.UsualOtherMax, time.Millisecond, time.Hour),
		process.CheckRange("--overload-other-max", s.OverloadOtherMax, time.Millisecond, time.Hour),
		process.CheckRange("--rollout-share", s.RolloutShare, 1, 1000),
		process.CheckRange("--lease-ttl", s.LeaseTTL, time.Second, 5*time.Minute),
	}
	switch rollout.Strategy(s.RolloutStrategy) {
	case rollout.Finish, rollout.Keep, rollout.Cut:
	default:
		errs = append(errs, &process.SettingError{Flag: "--rollout-strategy", Value: s.RolloutStrategy, Allowed: "finish, keep or cut"})
	}
	switch s.EndpointPace {
	case paceAdaptive, paceOff:
	default:
		errs = append(errs, &process.SettingError{Flag: "--endpoint-pace", Value: s.EndpointPace, Allowed: "adaptive or off"})
	}
	switch s.OverloadQueue {
	case queueLimited, queueOff:
	default:
		errs = append(errs, &process.SettingError{Flag: "--overload-queue", Value: s.OverloadQueue, Allowed: "limited or off"})
	}
	return errors.Join(errs...)
}
