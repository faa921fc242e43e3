// Package engine is a stand-in for a model engine. It serves OpenAI-compatible
// chat and text completions, streamed or not, and simulates a prefix cache of
// limited size. Cache events can be delayed and lost, load reports lag, orders
// change the weights, and faults can be injected.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Options configure a Server.
type Options struct {
	// ID also seeds the random numbers for EventLoss.
	ID    string
	Model string
	// Version is the version of the weights at the start.
	Version string
	// PrefillPerToken is the prefill time of an uncached prompt token.
	PrefillPerToken time.Duration
	// TokenGap is the time between generated tokens. GapPerRequest is added to it
	// for each running request, the one that generates included.
	TokenGap      time.Duration
	GapPerRequest time.Duration
	// SerialPrefill limits prefill to one request at a time.
	SerialPrefill bool
	// OutputTokens returns the length of the output for a prompt in tokens, which
	// max_tokens limits. If it is nil, every output has max_tokens tokens.
	OutputTokens func(prompt string) int
	// Slots is the number of requests that run at once; further requests wait.
	// 0 means 8.
	Slots int
	// CacheBlocks is the capacity of the prefix cache; 0 means 4096. BlockLifetime
	// is the time after which an unused block is evicted; 0 means 10 s.
	CacheBlocks   int
	BlockLifetime time.Duration
	// LoadTime is the time for loading new weights.
	LoadTime time.Duration
	// ReportLag is the least age of the load values that /metrics reports.
	ReportLag time.Duration
	// ChecksFence rejects orders whose fencing token is lower than the highest
	// accepted one.
	ChecksFence bool
}

// BlockBytes is the size of a cache block in bytes of prompt text.
const BlockBytes = 256

// Faults are the faults that the engine injects.
type Faults struct {
	// CrashAfterTokens drops the connection after this many generated tokens of a
	// request; 0 means never.
	CrashAfterTokens int
	// Down drops the connection of every new request.
	Down bool
	// Frozen blocks new requests, and running ones before their next token, until
	// the next call of SetFaults.
	Frozen bool
	// Slowdown multiplies the times for prefill and tokens; 0 means 1.
	Slowdown float64
	// EventLoss is the probability that a cache event is lost, 0 to 1.
	EventLoss float64
	// EventDelay is the delay of cache events.
	EventDelay time.Duration
	// EventRepeat sends each cache event a second time; an event that EventLoss
	// drops is then sent once.
	EventRepeat bool
}

// Counts are the totals since the engine was created.
type Counts struct {
	Requests  int
	Completed int
	// Cancelled is the number of requests that ended early after they had got a
	// slot.
	Cancelled    int
	PromptTokens int
	CachedTokens int
	// WastedTokens is the number of tokens generated for requests that ended
	// early, WastedPromptTokens the number of prompt tokens prefilled for them.
	WastedTokens       int
	WastedPromptTokens int
	// ByRequest is the number of requests received by X-Request-Id.
	ByRequest map[string]int
	// CachedBySalt is the number of cached prompt tokens by cache salt. A salt
	// without cache hits has an entry with 0.
	CachedBySalt map[string]int
	// InvalidCacheHits is the number of cache hits on blocks that another salt or
	// an earlier boot stored. It must stay 0.
	InvalidCacheHits int
	// Orders are the accepted orders.
	Orders []Order
}

// Order is the body of POST /v1/orders: the state that the engine must reach.
type Order struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// Server is a stand-in engine, an http.Handler. It is safe for concurrent use.
type Server struct {
	opts  Options
	slots chan struct{}
	// prefilling is a semaphore for SerialPrefill.
	prefilling chan struct{}

	mu      sync.Mutex
	boot    string
	version string
	// bootCtx ends, by a call of crash, when the engine crashes.
	bootCtx context.Context
	crash   context.CancelFunc
	loading bool
	// fence is the highest fencing token of an accepted order.
	fence int64
	// cache is keyed by the hash of the salt and the prompt up to the block's end.
	cache  map[uint64]*block
	events []event
	// changed is closed and replaced when an event is added.
	changed chan struct{}
	faults  Faults
	// unfrozen is closed when Frozen is cleared; nil if the engine is not frozen.
	unfrozen chan struct{}
	counts   Counts
	running  int
	waiting  int
	// reports is the recent history of running and waiting, oldest first.
	reports []report
	rng     *rand.Rand
}

// report is the engine's load at one time.
type report struct {
	at               time.Time
	running, waiting int
}

// New returns a running engine. Its random numbers are seeded from the ID.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	if o.BlockLifetime == 0 {
		o.BlockLifetime = 10 * time.Second
	}
	s := &Server{opts: o, slots: make(chan struct{}, o.Slots), prefilling: make(chan struct{}, 1), version: o.Version, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(o.ID), 1))}
	s.counts.ByRequest, s.counts.CachedBySalt = map[string]int{}, map[string]int{}
	s.bootCtx, s.crash = context.WithCancel(context.Background())
	s.Restart()
	return s
}

// Restart empties the cache and changes the boot id, as after a crash. Requests
// and connections continue; CrashAndRestart breaks them.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot = uuid.NewString()
	s.cache = map[uint64]*block{}
	s.events = nil
}

// CrashAndRestart simulates a crash that breaks every open connection. The
// engine serves again at once, with an empty cache, a new boot id and the given
// version of the weights.
func (s *Server) CrashAndRestart(version string) {
	s.mu.Lock()
	crash := s.crash
	s.bootCtx, s.crash = context.WithCancel(context.Background())
	s.version = version
	s.mu.Unlock()
	s.Restart()
	crash()
}

// SetFaults replaces the injected faults and unblocks requests that Frozen blocked.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
	if f.Frozen {
		s.unfrozen = make(chan struct{})
	}
	s.faults = f
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.ByRequest, c.CachedBySalt = maps.Clone(s.counts.ByRequest), maps.Clone(s.counts.CachedBySalt)
	c.Orders = append([]Order(nil), s.counts.Orders...)
	return c
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f, unfrozen, bootCtx := s.faults, s.unfrozen, s.bootCtx
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(bootCtx, cancel)()
	r = r.WithContext(ctx)
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if unfrozen != nil {
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return
		}
	}
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		s.serveCompletion(w, r)
	case "/metrics":
		s.serveMetrics(w)
	case "/v1/cache/events":
		s.serveEvents(w, r)
	case "/v1/orders":
		s.serveOrder(w, r)
	default:
		http.NotFound(w, r)
	}
	if bootCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// FirstVersion is the weights version that Output assumes.
const FirstVersion = "v1"

// serveMetrics reports the newest load that is at least ReportLag old.
func (s *Server) serveMetrics(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rep report
	limit := time.Now().Add(-s.opts.ReportLag)
	for _, r := range s.reports {
		if !r.at.After(limit) {
			rep = r
		}
	}
	loading := 0
	if s.loading {
		loading = 1
	}
	fmt.Fprintf(w, "# TYPE engine_requests_running gauge\nengine_requests_running %d\n", rep.running)
	fmt.Fprintf(w, "# TYPE engine_requests_waiting gauge\nengine_requests_waiting %d\n", rep.waiting)
	fmt.Fprintf(w, "# TYPE engine_cache_usage_ratio gauge\nengine_cache_usage_ratio %g\n", float64(len(s.cache))/float64(s.opts.CacheBlocks))
	fmt.Fprintf(w, "# TYPE engine_loading gauge\nengine_loading %d\n", loading)
	fmt.Fprintf(w, "# TYPE engine_info gauge\nengine_info{model=%q,version=%q,boot_id=%q} 1\n", s.opts.Model, s.version, s.boot)
}

// LoadWeights replaces the weights and empties the cache. Running requests
// continue with their old weights.
func (s *Server) LoadWeights(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.loading = version, false
	s.cache = map[uint64]*block{}
	s.emit("cleared", "", nil)
}

// serveOrder accepts an order and starts loading weights if their version differs.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFence && o.Fence < s.fence {
		http.Error(w, "fencing number is too old", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.Fence)
	s.counts.Orders = append(s.counts.Orders, o)
	if o.Version != s.version {
		s.loading = true
		time.AfterFunc(s.opts.LoadTime, func() { s.LoadWeights(o.Version) })
	}
	w.WriteHeader(http.StatusAccepted)
}

// Loading reports whether an order is loading weights.
func (s *Server) Loading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading
}

// Version returns the version of the loaded weights.
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
