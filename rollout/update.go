package rollout

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// callTimeout bounds a call to an engine.
	callTimeout = 700 * time.Millisecond
	// pollInterval is the time between two reads of a loading engine's state, and
	// before a failed read is retried.
	pollInterval = 100 * time.Millisecond
	// maxStateLag is the maximum age of the state that engines report.
	maxStateLag = 500 * time.Millisecond
	// maxStateReads bounds consecutive attempts to read an engine's state.
	maxStateReads = 3
	// updateTimeout bounds the update of one engine; a later step selects the engine
	// again.
	updateTimeout = 15 * time.Second
)

// errStale means that a later holder of the lock has sent orders to the engine.
var errStale = errors.New("engine has received a higher fencing token")

// errLeaseExpiring means that the lease could expire before the order arrives.
var errLeaseExpiring = errors.New("lease is about to expire")

// update is the update of one engine to a version.
type update struct {
	engines EngineClient
	order   Order
	// remaining returns how long the lease is guaranteed to be held.
	remaining func() time.Duration
	// onAccepted is called when the engine has accepted the order.
	onAccepted func()
	log        *zap.Logger
}

// run sends the order and polls the engine's state until it has the version. It
// sends the order again if it was lost.
func (u *update) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	for {
		st, err := u.state(ctx)
		if err != nil {
			return err
		}
		if st.Weights[u.order.Model] >= u.order.Version {
			return nil
		}
		if st.Busy {
			wait.Sleep(ctx, pollInterval)
			continue
		}
		if done, err := u.send(ctx, st.Accepted); done || err != nil {
			return err
		}
		wait.Sleep(ctx, maxStateLag)
	}
}

// state reads the engine's state, with up to maxStateReads attempts.
func (u *update) state(ctx context.Context) (State, error) {
	for try := 1; ; try++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		st, err := bounded(call, func() (State, error) { return u.engines.State(call, u.order.Endpoint, u.order.Address) })
		cancel()
		if err == nil {
			return st, nil
		}
		u.log.Info("engine state not read", zap.String("endpoint", u.order.Endpoint), zap.Int("try", try), zap.Error(err))
		if try == maxStateReads || ctx.Err() != nil {
			return State{}, err
		}
		wait.Sleep(ctx, pollInterval)
	}
}

// send sends the order once. done is true when the engine already has the version.
// A failed call is logged and not returned, because the order may have been
// executed.
func (u *update) send(ctx context.Context, accepted int64) (done bool, err error) {
	if u.remaining() < callTimeout {
		return false, errLeaseExpiring
	}
	o := u.order
	o.Expected = &accepted
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := bounded(call, func() (Reply, error) { return u.engines.Load(call, o) })
	u.log.Info("order", zap.String("endpoint", o.Endpoint), zap.String("model", o.Model), zap.Int64("version", o.Version),
		zap.Int64("fence", o.Fence), zap.Int64("accepted_before", accepted), zap.String("reply", string(reply)), zap.Error(err))
	if reply == Stale {
		return false, errStale
	}
	if reply == Accepted {
		u.onAccepted()
	}
	return reply == Current, nil // the state shows whether an order without a reply was executed
}
