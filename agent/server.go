// Package agent implements the agent, which runs next to the endpoints of one
// host and is the only path to them. It queues requests, keeps a table of attempts
// so that non-idempotent requests run at most once, buffers responses for entries
// that reconnect, and drains before it stops.
package agent

import (
	"context"
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

// maxChunkBytes bounds the body bytes of one Chunk message.
const maxChunkBytes = 32 << 10
