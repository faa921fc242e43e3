package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// pollPingInterval is the time between two pings while a poll waits for changes.
	pollPingInterval = time.Second
	// pollPingTimeout is the time without a response to a ping after which the poll is
	// abandoned.
	pollPingTimeout = time.Second
	// stalePollTimeout is how long a poll may lack a change that a ping has shown.
	stalePollTimeout = 500 * time.Millisecond
	// pingInterval is the mean time between two pings of a service that doesn't respond.
	pingInterval = 400 * time.Millisecond
)

// errStalePoll means that the service has changes for which a poll gets no response.
var errStalePoll = errors.New("poll gets no response though there are changes")

// arrivals tells when a part of a long response last arrived. Its zero value is ready to use,
// and it is safe for concurrent use.
type arrivals struct{ lastNs atomic.Int64 }

// note records that a part arrives now.
func (a *arrivals) note() { a.lastNs.Store(time.Now().UnixNano()) }

// recent reports whether a part has arrived within stalePollTimeout.
func (a *arrivals) recent() bool {
	return a.lastNs.Load() > time.Now().Add(-stalePollTimeout).UnixNano()
}

// guardPoll cancels a poll that will get no response, because it was sent during an
// outage or its response was lost. Otherwise the copy would be out of date until the poll
// times out. A poll whose response is arriving goes on. It returns when ctx, the poll's context,
// ends.
func (m *Mirror) guardPoll(ctx context.Context, arriving *arrivals, cancel context.CancelCauseFunc) {
	for wait.Sleep(ctx, pollPingInterval) {
		pingCtx, cancelPing := context.WithTimeout(ctx, pollPingTimeout)
		rev, err := m.Source.Ping(pingCtx)
		cancelPing()
		if err != nil {
			if arriving.recent() {
				continue // the response takes up the connection to the service
			}
			cancel(err)
			return
		}
		m.noteResponse()
		if infra.Era(rev) > infra.Era(m.position()) {
			cancel(infra.ErrCompacted) // a restored service may give out the polled revision again
			return
		}
		if rev <= m.position() {
			continue
		}
		go m.readUrgent(ctx)
		if !wait.Sleep(ctx, stalePollTimeout) {
			return
		}
		if !arriving.recent() {
			cancel(errStalePoll)
			return
		}
	}
}

// readUrgent reads the keys under UrgentPrefix by themselves, since the response to a poll takes
// long. Removals among them are learnt from the poll.
func (m *Mirror) readUrgent(ctx context.Context) {
	if m.UrgentPrefix == "" {
		return
	}
	pairs, rev, err := m.Source.List(ctx, m.UrgentPrefix)
	switch {
	case ctx.Err() != nil:
		return // the poll has ended
	case err != nil:
		m.Log.Info("urgent keys not read", zap.String("prefix", m.UrgentPrefix), zap.Error(err))
		return
	case infra.Era(rev) != infra.Era(m.position()):
		return // a restored service is listed as a whole
	}
	var events []infra.Event
	for _, p := range pairs {
		events = append(events, infra.Event{Pair: p})
	}
	m.applyChanges(reply{source: fromUrgentList, events: events})
}

// awaitResponse pings the service until it responds, and reports false when ctx ends
// first. A call that is sent during an outage may get no response even after its end, so
// a ping doesn't wait for the ones before it.
func (m *Mirror) awaitResponse(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error)
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			go m.ping(ctx, results)
			// Gateways that lost the service together must not ping it in step.
			next.Reset(pingInterval/2 + rand.N(pingInterval))
		case err := <-results:
			if err == nil {
				m.noteResponse()
				return true
			}
			m.noteFailure(err)
		case <-ctx.Done():
			return false
		}
	}
}

// ping sends the result of a ping to results unless ctx ends first.
func (m *Mirror) ping(ctx context.Context, results chan<- error) {
	_, err := m.Source.Ping(ctx)
	select {
	case results <- err:
	case <-ctx.Done():
	}
}
