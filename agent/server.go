// Package agent implements the agent, which runs next to the endpoints of one
// host and is the only path to them. It queues requests, keeps a table of attempts
// so that non-idempotent requests run at most once, buffers responses for entries
// that reconnect, and drains before it stops.
package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/order"
	"github.com/citrontiller/citrontiller/stream"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Options are the settings of an agent.
type Options struct {
	// TicketLifetime is the maximum age of the ticket of an Open.
	TicketLifetime time.Duration
	// ResultRetention is how long ended attempts stay in the table. It must
	// exceed TicketLifetime.
	ResultRetention time.Duration
	// DetachGrace is how long an idempotent attempt runs without a reader.
	DetachGrace time.Duration
	// StreamBuffer is the size of a replay buffer in bytes.
	StreamBuffer int
	// ReplayBytes bounds the total size of the replay buffers of all streams.
	ReplayBytes int
	// ResultBytes bounds the total size of the kept results of non-idempotent
	// attempts.
	ResultBytes int
	// ProgressInterval is the time between Progress messages.
	ProgressInterval time.Duration
	// LoadInterval is the time between two polls of an engine's load; 0 means one
	// second.
	LoadInterval time.Duration
	// Random returns a number in [0,1) for the jitter that spreads the polls of
	// agents started at the same time; nil means rand.Float64.
	Random func() float64
	// Concurrency is the initial concurrency limit of an endpoint.
	Concurrency int
	// Weight returns a client account's relative share of a busy endpoint; nil
	// reads it from the service documents.
	Weight func(service, account string) int
	// Registry is where the agent's metrics are registered; nil means nowhere.
	Registry prometheus.Registerer
	// Log receives the agent's log messages; nil discards them.
	Log *zap.Logger
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		TicketLifetime:   60 * time.Second,
		ResultRetention:  10 * time.Minute,
		DetachGrace:      5 * time.Second,
		StreamBuffer:     64 << 10,
		ReplayBytes:      8 << 20,
		ResultBytes:      4 << 20,
		ProgressInterval: time.Second,
		LoadInterval:     loadInterval,
		Concurrency:      16,
	}
}

// tombstoneMargin is how much longer than the ticket lifetime tombstones, the
// records of revoked attempts, are kept. It covers the rounding of tickets to
// milliseconds.
const tombstoneMargin = time.Second

// Server is an agent. It implements the Agent gRPC service.
type Server struct {
	pb.UnimplementedAgentServer

	// Config holds the configuration records received from entries.
	Config *config.Table

	opts        Options
	log         *zap.Logger
	incarnation string
	start       time.Time // tickets count from it
	table       *call.Table[*attempt, endRecord]
	results     *results
	metrics     *metrics
	endpoints   map[string]*localEndpoint
	ids         []string // of the endpoints; an endRecord stores the index
	fence       *order.Fence
	replays     *stream.Pool
	running     sync.WaitGroup

	// configMu serializes changes of the endpoints' settings.
	configMu sync.Mutex

	mu      sync.Mutex
	leaving bool
	// watchers holds one channel for each Watch stream. A value in it makes the
	// stream send the agent's state.
	watchers map[chan struct{}]struct{}
	// drained is closed by Drain when every attempt has ended.
	drained   chan struct{}
	drainOnce sync.Once
}

// New returns an agent for the given endpoints. It calls driver for the driver of
// each endpoint and returns the first error of these calls.
func New(opts Options, endpoints []Endpoint, driver func(Endpoint) (Driver, error)) (*Server, error) {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	s := &Server{
		Config:      config.NewTable(),
		opts:        opts,
		log:         opts.Log,
		incarnation: uuid.NewString(),
		start:       time.Now(),
		results:     &results{limit: opts.ResultBytes},
		endpoints:   map[string]*localEndpoint{},
		fence:       order.NewFence(),
		replays:     stream.NewPool(opts.ReplayBytes),
		watchers:    map[chan struct{}]struct{}{},
		drained:     make(chan struct{}),
	}
	if opts.Weight == nil {
		opts.Weight = s.weight
	}
	s.Config.OnChange(func(service string, _ config.ActiveRecord) { s.configure(service) })
	limits := call.Limits{Retention: opts.ResultRetention, Tombstone: opts.TicketLifetime + tombstoneMargin, MaxAttempts: maxAttempts}
	s.table = call.NewTable(limits, s.restore)
	for _, ep := range endpoints {
		d, err := driver(ep)
		if err != nil {
			return nil, err
		}
		s.endpoints[ep.ID] = newLocalEndpoint(ep, d, opts)
		s.ids = append(s.ids, ep.ID)
	}
	s.metrics = newMetrics(opts.Registry, s)
	return s, nil
}

// Incarnation returns the id of this run of the agent; each restart has a new one.
func (s *Server) Incarnation() string { return s.incarnation }

// ticket returns the value of a ticket issued now: the agent's monotonic time in
// milliseconds. It never goes back within an incarnation and is at least 1.
func (s *Server) ticket() int64 { return time.Since(s.start).Milliseconds() + 1 }

// Run implements the Run RPC.
func (s *Server) Run(srv pb.Agent_RunServer) error {
	up, err := srv.Recv()
	if err != nil {
		return err
	}
	switch k := up.Kind.(type) {
	case *pb.Up_Open:
		return s.open(srv, k.Open)
	case *pb.Up_Attach:
		return s.attach(srv, k.Attach)
	default:
		return status.Error(codes.InvalidArgument, "first message must be Open or Attach")
	}
}

func (s *Server) open(srv pb.Agent_RunServer, o *pb.Open) error {
	key := call.Key{Request: o.RequestId, Attempt: o.AttemptId}
	a, refused := s.begin(key, o)
	if a == nil {
		return s.send(srv, key, &pb.Down{Kind: &pb.Down_Refused{Refused: refused}})
	}
	return s.serve(srv, a, 1)
}

// begin returns the attempt of an Open or, if there is none, the refusal. It
// inserts and starts the attempt unless an earlier Open did so. It shares a lock
// with Leave, so that Drain never misses an attempt.
func (s *Server) begin(key call.Key, o *pb.Open) (*attempt, *pb.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.refusal(pb.RefusalCode_REFUSAL_REVOKED, "the attempt was revoked", pb.Run_RUN_NOT_RUN)
	hasRoom := s.table.MakeRoom()
	a, _, created := s.table.Begin(key, func() (*attempt, bool) {
		if refused = s.checkOpen(o); refused != nil {
			return nil, false
		}
		if !hasRoom {
			refused = s.overloadRefusal(s.endpoints[o.EndpointId], "the attempt table is full", 0)
			return nil, false
		}
		a := newAttempt(key, o, stream.NewReplay(s.endpoints[o.EndpointId].settings.Load().streamBuffer, !o.Idempotent, s.replays))
		a.cachedTokens = s.endpoints[o.EndpointId].view.CachedTokens(levels(o))
		return a, true
	})
	if created {
		if q := s.enqueue(a, o); q != nil {
			s.running.Add(1)
			go s.run(a, s.endpoints[o.EndpointId], o, q)
		}
	}
	return a, refused
}

// checkOpen returns the refusal for an Open of an unknown attempt that must not
// run, or nil. Every refusal here is permanent and needs no tombstone. The table
// must be consulted first, because a repeated Open of an accepted attempt may
// carry an old ticket. The caller holds mu.
func (s *Server) checkOpen(o *pb.Open) *pb.Refused {
	age := s.ticket() - o.TicketMs
	switch {
	case s.leaving:
		return s.refusal(pb.RefusalCode_REFUSAL_LEAVING, "the agent is leaving", pb.Run_RUN_NOT_RUN)
	case o.RequestId == "" || o.AttemptId == "" || o.Http == nil:
		return s.refusal(pb.RefusalCode_REFUSAL_INVALID, "request id, attempt id and http request are required", pb.Run_RUN_NOT_RUN)
	case o.Incarnation != s.incarnation:
		return s.refusal(pb.RefusalCode_REFUSAL_INCARNATION, "the agent has restarted", pb.Run_RUN_NOT_RUN)
	case age < 0 || age > s.opts.TicketLifetime.Milliseconds():
		// A ticket ahead of the agent's time is from another incarnation and would
		// not expire in time.
		return s.refusal(pb.RefusalCode_REFUSAL_STALE_TICKET, "the ticket is too old or not this agent's", pb.Run_RUN_NOT_RUN)
	case s.endpoints[o.EndpointId] == nil:
		return s.refusal(pb.RefusalCode_REFUSAL_UNKNOWN_ENDPOINT, "no endpoint "+o.EndpointId+" at this agent", pb.Run_RUN_NOT_RUN)
	}
	return nil
}

func (s *Server) refusal(code pb.RefusalCode, msg string, run pb.Run) *pb.Refused {
	return &pb.Refused{Code: code, Message: msg, Run: run, Incarnation: s.incarnation, TicketMs: s.ticket()}
}

func (s *Server) attach(srv pb.Agent_RunServer, at *pb.Attach) error {
	key := call.Key{Request: at.RequestId, Attempt: at.AttemptId}
	refuse := func(code pb.RefusalCode, msg string, run pb.Run) error {
		return s.send(srv, key, &pb.Down{Kind: &pb.Down_Refused{Refused: s.refusal(code, msg, run)}})
	}
	if at.Incarnation != s.incarnation {
		return refuse(pb.RefusalCode_REFUSAL_INCARNATION, "the agent has restarted", pb.Run_RUN_UNKNOWN)
	}
	a, state := s.table.Lookup(key)
	switch {
	case state == call.Absent:
		return refuse(pb.RefusalCode_REFUSAL_UNKNOWN_ATTEMPT, "the attempt is not known", pb.Run_RUN_UNKNOWN)
	case a == nil:
		return refuse(pb.RefusalCode_REFUSAL_REVOKED, "the attempt was revoked", pb.Run_RUN_NOT_RUN)
	}
	if at.NextSeq > 1 {
		// The entry has received the parts before NextSeq. Its acknowledgement may
		// have been lost with the previous connection and is not repeated.
		a.replay.Ack(at.NextSeq - 1)
	}
	s.metrics.resumes.Inc()
	return s.serve(srv, a, at.NextSeq)
}

// run waits for the attempt's slot, dispatches the attempt and records its end.
func (s *Server) run(a *attempt, ep *localEndpoint, o *pb.Open, q *queuedRequest) {
	defer s.running.Done()
	defer ep.queue.Done(q.ticket)
	queued := time.Now()
	ready := q.waitForSlot(a.ctx)
	if ready {
		ep.beginPrefill(q)
	}
	if q.prefill != nil {
		defer q.prefill.Done()
	}
	if !ready && a.ctx.Err() == nil {
		s.refuse(a, s.overloadRefusal(ep, "the deadline passed in the queue", 0))
		return
	}
	if ep.hasOtherVersion(o.Version) {
		s.table.Revoke(a.key, alwaysProvable)
		r := s.refusal(pb.RefusalCode_REFUSAL_UNKNOWN_ENDPOINT, "the engine has other weights", pb.Run_RUN_NOT_RUN)
		r.Load = ep.load()
		a.refuse(r)
		return
	}
	if a.ctx.Err() != nil || !s.table.Dispatch(a.key) {
		s.refuse(a, s.refusal(pb.RefusalCode_REFUSAL_REVOKED, "the attempt was revoked before dispatch", pb.Run_RUN_NOT_RUN))
		return
	}
	a.markDispatched()
	wait := time.Since(queued)
	s.metrics.queueWait.WithLabelValues(ep.ID).Observe(wait.Seconds())
	s.log.Info("dispatch", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
		zap.String("endpoint", ep.ID), zap.Int64("queue_ms", wait.Milliseconds()))
	req := newRequest(o)
	req.Priority = q.priority()
	m := newMeter(a, ep, q.prefill, o.Stream)
	err := ep.driver.Do(a.ctx, ep.Endpoint, req, m)
	q.prefill.Done()
	ep.queue.Done(q.ticket)
	if err == nil {
		cached := m.observe(o.Service, o.Account, q.promptTokens)
		q.observeCached(ep, cached)
		s.metrics.observeCached(ep.ID, q.cachedTokens, cached)
	}
	end := s.newEnd(a, err)
	end.Load = ep.load()
	end.QueueMs = wait.Milliseconds()
	s.table.Finish(a.key)
	a.finish(end)
	s.metrics.countEnd(ep.ID, end)
	s.releaseResponse(a)
	s.log.Info("finish", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
		zap.String("endpoint", ep.ID), zap.String("run", end.Run.String()), zap.String("error", end.ErrorCode),
		zap.Uint64("parts", end.LastSeq))
}

// newRequest converts an Open into a driver request.
func newRequest(o *pb.Open) *Request {
	r := &Request{
		ID: o.RequestId, Method: o.Http.Method, Path: o.Http.Path, Body: o.Http.Body,
		Stream: o.Stream, Idempotent: o.Idempotent, CacheSalt: o.CacheSalt,
	}
	for _, h := range o.Http.Headers {
		r.Headers = append(r.Headers, stream.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

// newEnd converts the driver's result into an End.
func (s *Server) newEnd(a *attempt, err error) *pb.End {
	v, _ := a.replay.Since(^uint64(0)>>1, 0) // past the last part, so that only v.Last is read
	end := &pb.End{LastSeq: v.Last, Run: pb.Run_RUN_RAN, TicketMs: s.ticket()}
	if err == nil {
		return end
	}
	end.ErrorMessage = err.Error()
	end.ErrorCode = CodeBroken
	end.Run = pb.Run_RUN_UNKNOWN
	var de *DriverError
	if errors.As(err, &de) {
		end.ErrorCode = de.Code
		end.Run = runToWire(de.Run)
	}
	return end
}

func runToWire(r call.Run) pb.Run {
	switch r {
	case call.NotRun:
		return pb.Run_RUN_NOT_RUN
	case call.Ran:
		return pb.Run_RUN_RAN
	default:
		return pb.Run_RUN_UNKNOWN
	}
}

// Revoke implements the Revoke RPC.
func (s *Server) Revoke(_ context.Context, r *pb.RevokeRequest) (*pb.RevokeReply, error) {
	reply := &pb.RevokeReply{Incarnation: s.incarnation, TicketMs: s.ticket()}
	if r.Incarnation != s.incarnation {
		reply.State = pb.AttemptState_ATTEMPT_OTHER_INCARNATION
		return reply, nil
	}
	key := call.Key{Request: r.RequestId, Attempt: r.AttemptId}
	a, state := s.table.Revoke(key, func(evicted time.Time) bool {
		age := s.ticket() - r.TicketMs
		// A ticket is rounded up by at most a millisecond.
		issued := s.start.Add(time.Duration(r.TicketMs-1) * time.Millisecond)
		return issued.After(evicted) && age >= 0 && age < s.opts.ResultRetention.Milliseconds()
	})
	switch state {
	case call.Absent:
		reply.State = pb.AttemptState_ATTEMPT_UNKNOWN
	case call.Revoked:
		reply.State = pb.AttemptState_ATTEMPT_REVOKED
		if a != nil {
			a.cancel()
		}
	case call.Dispatched:
		reply.State = pb.AttemptState_ATTEMPT_RUNNING
		if r.Cancel && a.idempotent {
			a.cancel()
		}
	case call.Finished:
		reply.State = pb.AttemptState_ATTEMPT_FINISHED
	}
	s.log.Info("revoke", zap.String("request", key.Request), zap.String("attempt", key.Attempt), zap.String("state", state.String()))
	return reply, nil
}

// alwaysProvable is the canProveNotRun argument of Table.Revoke for an attempt that
// has a record.
func alwaysProvable(time.Time) bool { return true }

// send sets the attempt's ids in a message and sends it. It counts refusals.
func (s *Server) send(srv pb.Agent_RunServer, key call.Key, d *pb.Down) error {
	d.RequestId, d.AttemptId = key.Request, key.Attempt
	if r := d.GetRefused(); r != nil {
		s.metrics.refusals.WithLabelValues(r.Code.String()).Inc()
	}
	return srv.Send(d)
}

// Watch implements the Watch RPC. It returns when the agent has drained.
func (s *Server) Watch(_ *pb.WatchRequest, srv pb.Agent_WatchServer) error {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.watchers[changed] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, changed)
		s.mu.Unlock()
	}()
	for {
		if err := srv.Send(s.state()); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-s.drained:
			return nil
		case <-srv.Context().Done():
			return srv.Context().Err()
		}
	}
}

func (s *Server) state() *pb.AgentState {
	st := &pb.AgentState{Incarnation: s.incarnation, TicketMs: s.ticket(), Leaving: s.isLeaving()}
	for _, ep := range s.endpoints {
		st.Endpoints = append(st.Endpoints, ep.load())
	}
	return st
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Ready reports whether the agent accepts new attempts.
func (s *Server) Ready() bool { return !s.isLeaving() }

// Leave makes the agent refuse new attempts and notifies every watcher.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.notifyWatchers()
	s.log.Info("leaving", zap.String("incarnation", s.incarnation))
}

// notifyWatchers makes every Watch stream send the agent's state.
func (s *Server) notifyWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Drain waits until every attempt has ended, or returns the error of ctx if that
// ends first. Once every attempt has ended, the Watch streams end too, because a
// graceful stop of the gRPC server would wait for them.
func (s *Server) Drain(ctx context.Context) error {
	go func() {
		s.running.Wait()
		s.drainOnce.Do(func() { close(s.drained) })
	}()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sweep evicts expired results and attempts every interval until ctx ends.
func (s *Server) Sweep(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, a := range s.results.expire(s.opts.ResultRetention) {
				s.dropResponse(a)
			}
			s.table.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// serve sends the attempt's parts from sequence number next on and handles
// acknowledgements and cancellation until the end is sent or the stream breaks.
func (s *Server) serve(srv pb.Agent_RunServer, a *attempt, next uint64) error {
	session, superseded := a.attach()
	defer func() {
		a.detach(session, s.endpoints[a.endpointID].settings.Load().detachGrace, func() { s.releaseResponse(a) })
		s.releaseResponse(a)
	}()
	closed := make(chan struct{})
	go s.receive(srv, a, closed)

	progress := time.NewTicker(s.opts.ProgressInterval)
	defer progress.Stop()
	accepted := false
	for {
		view, err := a.replay.Since(next, maxChunkBytes)
		refused, end, dispatched := a.status()
		if refused != nil {
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Refused{Refused: s.refreshRefusal(a, refused)}})
		}
		if !accepted {
			if err := s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Accepted{Accepted: s.newAccepted(a)}}); err != nil {
				return err
			}
			accepted = true
		}
		if err != nil {
			r := s.refusal(pb.RefusalCode_REFUSAL_RESULT_EXPIRED, "the response is no longer kept", pb.Run_RUN_RAN)
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Refused{Refused: r}})
		}
		if len(view.Parts) > 0 {
			if err := s.send(srv, a.key, newChunk(next, view.Parts)); err != nil {
				return err
			}
			next += uint64(len(view.Parts))
			continue
		}
		if end != nil && next > end.LastSeq {
			return s.send(srv, a.key, &pb.Down{Kind: &pb.Down_End{End: end}})
		}
		select {
		case <-view.Changed:
		case <-progress.C:
			p := &pb.Progress{AckedSeq: a.replay.Acked(), TicketMs: s.ticket(), Dispatched: dispatched, Load: s.endpoints[a.endpointID].load()}
			if err := s.send(srv, a.key, &pb.Down{Kind: &pb.Down_Progress{Progress: p}}); err != nil {
				return err
			}
		case <-superseded:
			return status.Error(codes.Aborted, "another stream attached to the attempt")
		case <-closed:
			return srv.Context().Err()
		}
	}
}

// maxChunkBytes bounds the body bytes of one Chunk message.
const maxChunkBytes = 32 << 10

func (s *Server) newAccepted(a *attempt) *pb.Accepted {
	return &pb.Accepted{Incarnation: s.incarnation, Load: s.endpoints[a.endpointID].load(), CachedTokens: a.cachedTokens}
}

func newChunk(seq uint64, parts []stream.Part) *pb.Down {
	c := &pb.Chunk{Seq: seq, Parts: make([]*pb.Part, len(parts))}
	for i, p := range parts {
		if p.Head == nil {
			c.Parts[i] = &pb.Part{Kind: &pb.Part_Data{Data: p.Data}}
			continue
		}
		h := &pb.Head{Status: int32(p.Head.Status)}
		for _, kv := range p.Head.Headers {
			h.Headers = append(h.Headers, &pb.Header{Name: kv.Name, Value: kv.Value})
		}
		c.Parts[i] = &pb.Part{Kind: &pb.Part_Head{Head: h}}
	}
	return &pb.Down{Kind: &pb.Down_Chunk{Chunk: c}}
}

// receive handles the messages that an entry sends on an open stream. It closes
// the channel when the stream breaks, but not when the entry closes its sending
// side.
func (s *Server) receive(srv pb.Agent_RunServer, a *attempt, closed chan<- struct{}) {
	for {
		up, err := srv.Recv()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			close(closed)
			return
		}
		switch k := up.Kind.(type) {
		case *pb.Up_Ack:
			a.replay.Ack(k.Ack.Seq)
			s.releaseResponse(a)
		case *pb.Up_Cancel:
			s.cancelAttempt(a)
		default:
			s.metrics.discarded.Inc()
			s.log.Warn("message discarded", zap.String("request", a.key.Request), zap.String("attempt", a.key.Attempt),
				zap.String("type", fmt.Sprintf("%T", k)))
		}
	}
}

// cancelAttempt handles the Cancel of a reader. A non-idempotent attempt continues
// if it has other readers or was dispatched, so that its result can be fetched
// later.
func (s *Server) cancelAttempt(a *attempt) {
	if !a.idempotent && !a.soleReader() {
		return
	}
	if _, state := s.table.Revoke(a.key, alwaysProvable); state == call.Revoked || a.idempotent {
		a.cancel()
	}
}
