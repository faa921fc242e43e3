package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/internal/selection"
	"github.com/citrontiller/citrontiller/quota"
	"github.com/citrontiller/citrontiller/route"
)

// busyFleet is a fleet of one endpoint that is expected to be busy for seconds.
type busyFleet struct {
	*fleet
	logs *observer.ObservedLogs
	free func()
}

func newBusyFleet(t *testing.T) *busyFleet {
	f := &busyFleet{fleet: newFleet(t, []responder{ok("x")})}
	core, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	g := f.gateway
	g.Log = zap.New(core)
	g.Scheduler = selection.NewDirect(zap.NewNop())
	g.Admission = admit.LoadShedder{Usual: admit.Limits{Other: 0.1}, Overload: admit.Limits{Other: 0.1}}
	g.Queueing = func() bool { return true }
	c := testConfig
	c.Version++
	c.Routes = []catalog.Route{{Host: "h", Prefix: "/", Kind: catalog.Stream, Priority: 1, Timeout: time.Minute,
		TargetLatency: 20 * time.Second, MaxAttempts: 2, Shares: []catalog.Share{{Service: "s"}}}}
	c.Accounts = map[string]*catalog.Account{"k": {Name: "acme", Quota: &quota.Limit{PerSecond: 1, Burst: 1, Unit: quota.Requests}}}
	c.Index()
	g.Config.SetIfNewer(&c)
	now := time.Now()
	r := &route.Request{Service: "s", Region: "r", Tokens: 100_000}
	var attempts []*route.Attempt
	for range 20 {
		e := g.Tracker.AppendSnapshot(nil, r, g.Members.Service("s"), nil, noReport, now)
		attempts = append(attempts, g.Tracker.Dispatch(r, &e[0], route.Decision{}, now))
	}
	f.free = func() {
		for _, a := range attempts {
			a.Close(time.Now())
		}
	}
	return f
}

// ask sends a request to the model and returns the channel of its status and body, or of the
// error.
func (f *busyFleet) ask(ctx context.Context, t *testing.T, id string) <-chan string {
	req := f.request(t, http.MethodPost, "/1", id, "").WithContext(ctx)
	req.Header.Set("Model", "m")
	req.Header.Set("Tokens", "100")
	out := make(chan string, 1)
	go func() {
		resp, err := f.open(req)
		if err != nil {
			out <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		out <- fmt.Sprintf("%d %s", resp.StatusCode, body)
	}()
	return out
}

// awaitWaiting waits until a number of requests wait.
func (f *busyFleet) awaitWaiting(t *testing.T, n float64) {
	t.Helper()
	for range 10_000 {
		var m dto.Metric
		_ = f.gateway.Metrics.waiting.Write(&m) // a gauge has no errors
		if m.GetGauge().GetValue() == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not %v requests wait", n)
}

// outcomes returns the outcomes of the requests that have waited.
func (f *busyFleet) outcomes() (out []string) {
	for _, e := range f.logs.FilterMessage("waited").All() {
		out = append(out, e.ContextMap()["outcome"].(string))
	}
	return out
}

// Guards against a shed request that is refused although it could wait, or that isn't sent
// when its endpoint is free.
func TestShedRequestWaitsForEndpoint(t *testing.T) {
	is := is.New(t)
	f := newBusyFleet(t)
	f.gateway.Codec = patientCodec{}
	first, second := f.ask(context.Background(), t, "1"), f.ask(context.Background(), t, "2")
	f.awaitWaiting(t, 2)
	is.Equal(f.sends(), 0)
	f.free()
	for _, answered := range []<-chan string{first, second} {
		is.Equal(<-answered, "200 x")
	}
	is.Equal(f.outcomes(), []string{"sent", "sent"})
	f.awaitWaiting(t, 0)
}

// Guards against a request that the load shedder admits and that is late then, where it could
// wait for an endpoint that serves it in time.
func TestRequestThatWouldBeLateWaits(t *testing.T) {
	is := is.New(t)
	for _, queueing := range []bool{false, true} {
		f := newBusyFleet(t)
		f.gateway.Codec = patientCodec{}
		f.gateway.Admission = admit.LoadShedder{Usual: admit.Limits{Other: 1e6}, Overload: admit.Limits{Other: 1e6}}
		f.gateway.Queueing = func() bool { return queueing }
		answered := f.ask(context.Background(), t, "1")
		if queueing {
			f.awaitWaiting(t, 1)
			is.Equal(f.sends(), 0)
			f.free()
		}
		is.Equal(<-answered, "200 x")
	}
}

// Guards against requests that wait in a process that stops, instead of trying elsewhere.
func TestPlannedStopRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	f := newBusyFleet(t)
	f.gateway.Codec = patientCodec{}
	waiting := f.ask(context.Background(), t, "1")
	f.awaitWaiting(t, 1)
	f.gateway.BeginStop(stopAt(0, time.Hour, 2*time.Hour)) // it would end in time
	is.Equal(<-waiting, "503 closing\n")
	is.Equal(f.outcomes(), []string{"closing"})
	is.Equal(f.sends(), 0)
}

// Guards against a place in the queue of a caller that has left, and against a request that
// waits for longer than half of its time.
func TestWaitEndsWithoutSend(t *testing.T) {
	is := is.New(t)
	f := newBusyFleet(t)
	ctx, leave := context.WithCancel(context.Background())
	left := f.ask(ctx, t, "1")
	f.awaitWaiting(t, 1)
	leave()
	is.True(strings.Contains(<-left, context.Canceled.Error()))
	f.awaitWaiting(t, 0)
	is.Equal(f.outcomes(), []string{"caller_left"})
	is.Equal(<-f.ask(context.Background(), t, "2"), "503 overload\n")
	is.Equal(f.outcomes(), []string{"caller_left", "expired"})
	is.Equal(f.sends(), 0)
}

// Guards against a full queue that searches for an endpoint for each of its requests.
func TestWaitingRequestsTakeTurns(t *testing.T) {
	is := is.New(t)
	q := &serviceQueue{responses: make(chan struct{}, 1), waiters: map[*admit.Waiting]*waiter{}, running: true} // the test ticks
	g, now := &Gateway{}, time.Unix(0, 0)
	var waiters []*waiter
	for i := range admit.MaxWaiting {
		latest := now.Add(time.Minute + time.Duration(i))
		w := &waiter{wake: make(chan struct{}, 1), Waiting: admit.Waiting{Account: strconv.Itoa(i), LatestStart: latest, Until: latest}}
		waiters = append(waiters, w)
		q.enter(g, w, now)
	}
	for range 3 {
		now = now.Add(turnInterval)
		is.True(q.tick(g, now, 0))
		for i := range turnsPerRound {
			is.Equal(q.turn, waiters[i])
			is.True(q.tick(g, now.Add(turnInterval), 0)) // a round doesn't begin before the last has ended
			q.failedTurn(waiters[i], turnFailure{})
		}
		is.Equal(q.turn, nil)
	}
	is.True(q.tick(g, now.Add(turnInterval), 0))
	q.failedTurn(waiters[0], turnFailure{shed: true}) // as the others of its class would be
	is.Equal(q.turn, nil)
	is.True(q.tick(g, now.Add(turnInterval), 0))
	q.sent(waiters[0], now) // the next has its turn at once
	is.Equal(q.turn, waiters[1])
	is.Equal(q.leave(waiters[1], waitCallerLeft, now), waitCallerLeft)
	is.Equal(q.turn, waiters[2])
	is.Equal(len(waiters[turnsPerRound+2].wake), 0)
	q.holdTurn(waiters[2], now.Add(time.Second)) // its account has no room, which tells nothing of others
	for i := range turnsPerRound - 1 {
		is.Equal(q.turn, waiters[3+i])
		q.failedTurn(waiters[3+i], turnFailure{})
	}
	for i := range turnsPerRound {
		is.True(q.tick(g, now.Add(2*turnInterval), 0))
		is.Equal(q.turn, waiters[3+i]) // the held request doesn't take the place of another
		q.failedTurn(waiters[3+i], turnFailure{})
	}
	is.True(q.tick(g, now.Add(time.Second), 0))
	is.Equal(q.turn, waiters[2])
}

// Guards against waiting requests that use up the quota of their account, against those that are
// sent beyond it or uncharged, and against a refusal that doesn't tell the caller why.
func TestWaitingRequestIsChargedWhenSent(t *testing.T) {
	for _, c := range []struct {
		name string
		// full is true if the account has no room in the request's first turn, room if it has some
		// in later turns, and free if the endpoint has room.
		full, room, free bool
		want             string
		outcome          string
		charged          int64
	}{
		{"sent", false, true, true, "200 x", "sent", 1},
		{"no endpoint", false, true, false, "503 overload\n", "expired", 0},
		{"quota has room later", true, true, true, "200 x", "sent", 1},
		{"quota exceeded", true, false, true, "429 quota\n", "expired", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, q := newBusyFleet(t), &testQuotas{}
			f.gateway.Quotas = q
			if c.room && c.free {
				f.gateway.Codec = patientCodec{}
			}
			answered := f.ask(context.Background(), t, "1")
			f.awaitWaiting(t, 1)
			for start := time.Now(); q.balance.Load() != 0; time.Sleep(time.Millisecond) { // it is charged for the moment of a turn
				is.True(time.Since(start) < time.Second)
			}
			if c.full {
				for q.refuse.Store(true); q.refused.Load() == 0; time.Sleep(time.Millisecond) {
				}
				q.refuse.Store(!c.room)
			}
			if c.free {
				f.free()
			}
			is.Equal(<-answered, c.want)
			is.Equal(f.outcomes(), []string{c.outcome})
			is.Equal(q.balance.Load(), c.charged)
		})
	}
}

// Guards against a change for deployments without queueing: a shed request is refused at once.
func TestWithoutQueueingShedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	for _, queueing := range []func() bool{nil, func() bool { return false }} {
		f := newBusyFleet(t)
		f.gateway.Queueing = queueing
		is.Equal(<-f.ask(context.Background(), t, "1"), "503 overload\n")
		is.Equal(f.logs.FilterMessage("overload").Len(), 1)
		is.Equal(f.logs.FilterMessage("waited").Len()+f.logs.FilterMessage("not queued").Len(), 0)
		is.Equal(len(f.gateway.waiting.queues), 0)
		is.Equal(f.sends(), 0)
	}
}
