package agent_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// harness is an agent in front of one engine, in virtual time.
type harness struct {
	*testing.T
	agent  *fleet.Agent
	engine *engine.Server
	client pb.AgentClient
	// registry holds the agent's metrics.
	registry *prometheus.Registry
}

// withHarness runs f with an engine that has the given slots and takes 10 ms per
// token.
func withHarness(t *testing.T, slots int, f func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl, err := fleet.New(fleet.NewMemoryNetwork(), nil)
		is.NoErr(err)
		defer fl.Close()
		opts := agent.DefaultOptions()
		opts.Concurrency = slots
		registry := prometheus.NewRegistry()
		opts.Registry = registry
		a, err := fl.AddAgent(fleet.AgentSpec{Name: "agent", Service: func(string) string { return "llm" }, Options: opts,
			Engines: []engine.Options{{ID: "e", Model: "m", Version: "v1", Slots: slots, TokenGap: 10 * time.Millisecond}}})
		is.NoErr(err)
		conn, err := grpc.NewClient("passthrough:///"+a.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, s string) (net.Conn, error) { return fl.Network.Dial(ctx, "tcp", s) }))
		is.NoErr(err)
		defer conn.Close()
		f(&harness{t, a, fl.Engines["e"], pb.NewAgentClient(conn), registry})
	})
}

// result is the outcome of an attempt.
type result struct {
	refused *pb.Refused
	end     *pb.End
	text    strings.Builder
	took    time.Duration
}

// ticket requests a ticket from the agent. The ticket of an Open must be recent and
// not ahead of the agent's time.
func (r *harness) ticket() int64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := r.client.Watch(ctx, &pb.WatchRequest{})
	if err != nil {
		r.Fatal(err)
	}
	st, err := w.Recv()
	if err != nil {
		r.Fatal(err)
	}
	return st.TicketMs
}

// newOpen returns an Open of a request for the given number of output tokens.
func (r *harness) newOpen(id, account string, tokens int) *pb.Open {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, id)
	return &pb.Open{RequestId: id, AttemptId: "1", EndpointId: "e", Incarnation: r.agent.Incarnation(), TicketMs: r.ticket(),
		Service: "llm", Account: account, Idempotent: true, Stream: true, CacheSalt: account,
		Http: &pb.HttpRequest{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)}}
}

// run opens the attempt and reads its response to the end.
func (r *harness) run(ctx context.Context, o *pb.Open) *result {
	began := time.Now()
	res := &result{}
	s, err := r.client.Run(ctx)
	if err != nil {
		return res
	}
	_ = s.Send(&pb.Up{Kind: &pb.Up_Open{Open: o}})
	for {
		d, err := s.Recv()
		if err != nil {
			return res
		}
		switch k := d.Kind.(type) {
		case *pb.Down_Chunk:
			for _, p := range k.Chunk.Parts {
				res.text.Write(p.GetData())
			}
			_ = s.Send(&pb.Up{Kind: &pb.Up_Ack{Ack: &pb.Ack{Seq: k.Chunk.Seq + uint64(len(k.Chunk.Parts)) - 1}}})
		case *pb.Down_Refused:
			res.refused = k.Refused
			return res
		case *pb.Down_End:
			res.end, res.took = k.End, time.Since(began)
			return res
		}
	}
}

// start runs the attempt in the background and returns once it is queued or running.
func (r *harness) start(ctx context.Context, o *pb.Open) <-chan *result {
	c := make(chan *result, 1)
	go func() { c <- r.run(ctx, o) }()
	synctest.Wait()
	return c
}

// trainPredictor runs requests, from which the agent predicts that the account's
// responses have the given number of tokens.
func (r *harness) trainPredictor(account string, tokens int) {
	for i := range 3 {
		r.run(context.Background(), r.newOpen(fmt.Sprintf("teach-%s-%d", account, i), account, tokens))
	}
}

// Guards against head-of-line blocking of short requests by long ones of another
// account.
func TestShortRequestsAreNotBlocked(t *testing.T) {
	withHarness(t, 8, func(r *harness) {
		is := is.New(r)
		ctx := context.Background()
		r.trainPredictor("long", 500)
		r.trainPredictor("short", 10)
		var longs []<-chan *result
		for i := range 16 {
			longs = append(longs, r.start(ctx, r.newOpen(fmt.Sprint("long-", i), "long", 500)))
		}
		var worst time.Duration
		for i := range 20 {
			worst = max(worst, r.run(ctx, r.newOpen(fmt.Sprint("short-", i), "short", 10)).took)
		}
		r.Logf("slowest of 20 short requests behind 16 long ones: %v", worst)
		is.True(worst < time.Second)
		for _, c := range longs {
			is.Equal((<-c).end.ErrorCode, "")
		}
	})
}

// Guards against a false "not run": an Open refused for its predicted wait must
// not run, even when it is repeated later.
func TestOverloadIsNotRun(t *testing.T) {
	withHarness(t, 2, func(r *harness) {
		is := is.New(r)
		ctx, cancel := context.WithCancel(context.Background())
		r.trainPredictor("a", 300)
		for i := range 6 {
			r.start(ctx, r.newOpen(fmt.Sprint("busy-", i), "a", 300))
		}
		o := r.newOpen("late", "a", 300)
		o.MaxWaitMs = 100
		var last int64
		for _, queued := range []int64{5, 0} {
			res := r.run(ctx, o)
			is.True(res.refused != nil)
			is.Equal(res.refused.Code, pb.RefusalCode_REFUSAL_OVERLOADED)
			is.Equal(res.refused.Run, pb.Run_RUN_NOT_RUN)
			is.True(res.refused.RetryAfterMs >= 1000)
			// The repeated Open gets the stored refusal with the current load and
			// ticket. One of the two slots is reserved for short requests, so five
			// requests wait at first.
			is.Equal(res.refused.Load.Queued, queued)
			is.True(res.refused.TicketMs > last)
			last = res.refused.TicketMs
			time.Sleep(20 * time.Second) // the endpoint is idle when the Open is repeated
		}
		is.Equal(r.engine.Counts().ByRequest["late"], 0)
		withDeadline := r.newOpen("deadline", "a", 300)
		withDeadline.DeadlineMs = 5000
		is.Equal(r.run(ctx, withDeadline).end.ErrorCode, "")
		cancel()
	})
}

// Guards against queued or running requests that keep their slot after their
// caller has cancelled.
func TestCancelFreesSlot(t *testing.T) {
	withHarness(t, 1, func(r *harness) {
		is := is.New(r)
		bg := context.Background()
		for i, id := range []string{"running", "queued"} {
			s, err := r.client.Run(bg)
			is.NoErr(err)
			is.NoErr(s.Send(&pb.Up{Kind: &pb.Up_Open{Open: r.newOpen(id, "a", 100_000)}}))
			synctest.Wait()
			defer func() { _ = s.CloseSend() }()
			time.AfterFunc(time.Second/time.Duration(i+1), func() { _ = s.Send(&pb.Up{Kind: &pb.Up_Cancel{Cancel: &pb.Cancel{}}}) })
		}
		res := r.run(bg, r.newOpen("next", "a", 10))
		is.Equal(res.end.ErrorCode, "")
		is.True(res.took < 1200*time.Millisecond)
		is.Equal(r.engine.Counts().ByRequest["queued"], 0)
	})
}

// Guards against a drain that truncates or loses streams: running and queued
// requests complete, new ones are refused, and a reader can reattach.
func TestDrain(t *testing.T) {
	withHarness(t, 2, func(r *harness) {
		is := is.New(r)
		bg := context.Background()
		var streams []<-chan *result
		for i := range 6 {
			streams = append(streams, r.start(bg, r.newOpen(fmt.Sprint("r", i), "a", 50)))
		}
		r.agent.Leave()
		late := r.run(bg, r.newOpen("late", "a", 50))
		is.Equal(late.refused.Code, pb.RefusalCode_REFUSAL_LEAVING)
		is.Equal(late.refused.Run, pb.Run_RUN_NOT_RUN)
		attached := r.run(bg, r.newOpen("r5", "a", 50)) // takes over from the first reader
		is.NoErr(r.agent.Drain(bg))
		// 50 tokens, the event with the finish reason and [DONE].
		is.Equal(strings.Count(attached.text.String(), "data: "), 52)
		for _, c := range streams[:5] {
			res := <-c
			is.Equal(res.end.ErrorCode, "")
			is.Equal(strings.Count(res.text.String(), "data: "), 52)
		}
		is.Equal(r.engine.Counts().Requests, 6)
	})
}

// Guards against accepting orders of a controller that has lost its lease, at an
// engine that does not check the fencing token itself.
func TestOrderFence(t *testing.T) {
	withHarness(t, 1, func(r *harness) {
		is := is.New(r)
		for _, fence := range []int64{7, 6, 7, 8} {
			reply, err := r.client.Order(context.Background(), &pb.OrderRequest{EndpointId: "e", Model: "m", Version: "v2", Fence: fence})
			is.NoErr(err)
			is.Equal(reply.Accepted, fence >= 7)
			is.Equal(reply.HighestFence, max(fence, 7))
		}
		is.Equal(len(r.engine.Counts().Orders), 3)
	})
}

// expectedCached runs a request with a prompt of 500 tokens for the given weights
// version. It returns the number of cached tokens that the agent expected, or -1
// if the agent refused the request.
func (r *harness) expectedCached(id, version string) int64 {
	is := is.New(r)
	o := r.newOpen(id, "a", 1)
	o.Version = version
	o.Http.Body = []byte(fmt.Sprintf(`{"max_tokens":1,"stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", 2000)))
	o.Levels = []*pb.Level{{Hash: 7, Tokens: 500}}
	s, err := r.client.Run(context.Background())
	is.NoErr(err)
	is.NoErr(s.Send(&pb.Up{Kind: &pb.Up_Open{Open: o}}))
	expected := int64(-1)
	for {
		d, err := s.Recv()
		is.NoErr(err)
		switch k := d.Kind.(type) {
		case *pb.Down_Accepted:
			expected = k.Accepted.CachedTokens
		case *pb.Down_Refused:
			is.Equal(k.Refused.Run, pb.Run_RUN_NOT_RUN)
			return -1
		case *pb.Down_End:
			time.Sleep(time.Second) // the events arrive
			return expected
		}
	}
}

// Guards against a cache view that ignores the engine's events, and one that
// expects blocks after the engine restarted or changed its weights, also when
// events are late, repeated or lost.
func TestCachedTokens(t *testing.T) {
	const blocks = 448 // tokens in 7 blocks of 64
	for name, c := range map[string]struct {
		faults   engine.Faults
		expected int64
	}{
		"events":          {engine.Faults{}, blocks},
		"late events":     {engine.Faults{EventDelay: 3 * time.Second}, 0},
		"repeated events": {engine.Faults{EventRepeat: true}, blocks},
		"lost events":     {engine.Faults{EventLoss: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 2, func(r *harness) {
				is := is.New(r)
				r.engine.SetFaults(c.faults)
				time.Sleep(time.Second)
				is.Equal(r.expectedCached("first", "v1"), int64(0))
				is.Equal(r.expectedCached("second", "v1"), c.expected)
				r.engine.CrashAndRestart("v1")
				time.Sleep(10 * time.Millisecond) // far less than the interval of load polls
				is.Equal(r.expectedCached("third", "v1"), int64(0))
				is.Equal(r.expectedCached("fourth", "v1"), c.expected)
				r.engine.CrashAndRestart("v2")
				time.Sleep(10 * time.Millisecond)
				before := r.engine.Counts().Requests
				is.Equal(r.expectedCached("old weights", "v1"), int64(-1))
				is.Equal(r.engine.Counts().Requests, before)
				is.Equal(r.expectedCached("new weights", "v2"), int64(0))
				time.Sleep(3 * time.Second)
				// Late events have arrived by now, so only lost ones leave 0 cached tokens.
				is.Equal(r.expectedCached("again", "v2"), int64(blocks)*min(1, c.expected+int64(c.faults.EventDelay)))
				r.engine.Restart() // only the next load report shows the restart
				time.Sleep(2 * time.Second)
				is.Equal(r.expectedCached("silent restart", "v2"), int64(0))
			})
		})
	}
}
