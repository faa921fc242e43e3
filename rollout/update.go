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
	// pollInterval is the time between two readings of a loading engine's state.
	pollInterval = 100 * time.Millisecond
	// reportLag is the age that an engine's state may have.
	reportLag = 500 * time.Millisecond
	// maxReads is how often an engine that doesn't answer is asked in a row.
	maxReads = 3
	// maxUpdate bounds the work on one engine; after it the engine is planned anew.
	maxUpdate = 15 * time.Second
)

// errStale means that another holder has given the engine orders since.
var errStale = errors.New("the engine has seen a higher fencing number")

// errLapsed means that the lease could end before the order arrives.
var errLapsed = errors.New("lease is about to lapse")

// update brings one engine to a version.
type update struct {
	engines EngineClient
	order   Order
	// remaining is how long the lease is surely held.
	remaining func() time.Duration
	// accepted is told when the engine has taken the order.
	accepted func()
	log      *zap.Logger
}

// run sends the order, again if it was lost, until the engine has the version.
func (u *update) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxUpdate)
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
		wait.Sleep(ctx, reportLag)
	}
}

// state reads the engine's state, again if it doesn't answer.
func (u *update) state(ctx context.Context) (State, error) {
	for try := 1; ; try++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		st, err := u.engines.State(call, u.order.Endpoint, u.order.Address)
		cancel()
		if err == nil {
			return st, nil
		}
		u.log.Info("engine state not read", zap.String("endpoint", u.order.Endpoint), zap.Int("try", try), zap.Error(err))
		if try == maxReads || ctx.Err() != nil {
			return State{}, err
		}
		wait.Sleep(ctx, pollInterval)
	}
}

// send sends the order once; done is true when the engine has the version.
func (u *update) send(ctx context.Context, accepted int64) (done bool, err error) {
	if u.remaining() < callTimeout {
		return false, errLapsed
	}
	o := u.order
	o.Expected = &accepted
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := u.engines.Load(call, o)
	u.log.Info("order", zap.String("endpoint", o.Endpoint), zap.String("model", o.Model), zap.Int64("version", o.Version),
		zap.Int64("fence", o.Fence), zap.Int64("accepted_before", accepted), zap.String("reply", string(reply)), zap.Error(err))
	if reply == Stale {
		return false, errStale
	}
	if reply == Accepted {
		u.accepted()
	}
	return reply == Current, nil // an order without an answer shows in the state
}
