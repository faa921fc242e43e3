// Package engine is a stand-in for a model engine. It serves OpenAI-compatible
// chat and text completions, streamed or not, and simulates a prefix cache of
// limited size. Cache events can be delayed and lost, load reports lag, orders
// change the weights, and faults can be injected.
package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
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

type block struct {
	salt string
	boot string
	used time.Time
	// end is the offset of the block's end in its prompt, in bytes.
	end int
}

// event is a cache event as sent on /v1/cache/events.
type event struct {
	Seq       uint64      `json:"seq"`
	BootID    string      `json:"boot_id"`
	Type      string      `json:"type"`
	RequestID string      `json:"request_id,omitempty"`
	Blocks    []jsonBlock `json:"blocks,omitempty"`
	// deliverAt is the time at which the event is sent, lost whether it is dropped
	// instead.
	deliverAt time.Time
	lost      bool
}

type jsonBlock struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
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

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completionRequest is the body of a chat or text completion request.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	CacheSalt string    `json:"cache_salt"`
	Continue  bool      `json:"continue_final_message"`
}

// prompt returns the text to prefill, the seed that determines the output and the
// index of the next output token. The index is above 0 when the request continues a
// partial output; the seed is then the prompt without it.
func (c completionRequest) prompt(version string) (text, seed string, offset int) {
	if len(c.Messages) == 0 {
		seed, offset = splitContinuation(version, c.Prompt)
		return c.Prompt, seed, offset
	}
	var b strings.Builder
	for i, m := range c.Messages {
		if c.Continue && i == len(c.Messages)-1 {
			var partial string
			_ = json.Unmarshal(m.Content, &partial)
			seed = b.String()
			b.WriteString(partial)
			return b.String(), seed, len(strings.Fields(partial))
		}
		fmt.Fprintf(&b, "<%s>%s", m.Role, m.Content)
	}
	return b.String(), b.String(), 0
}

// FirstVersion is the weights version that Output assumes.
const FirstVersion = "v1"

// Output returns the first n tokens that an engine with weights FirstVersion
// generates for a prompt. The seed is the prompt of a text completion, or the
// messages of a chat, each as its role in angle brackets and its content in JSON.
// The tokens depend on nothing else, so that tests can check a complete output.
func Output(seed string, n int) string { return OutputForVersion(FirstVersion, seed, n) }

// OutputForVersion is Output for any weights version. Versions generate different
// tokens, so that tests detect an output that mixes versions.
func OutputForVersion(version, seed string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(version, seed, i))
	}
	return b.String()
}

// token returns the output token with index i; it has tokenBytes bytes.
func token(version, seed string, i int) string {
	if version != FirstVersion {
		seed = version + "#" + seed
	}
	return fmt.Sprintf("w%03x ", xxhash.Sum64String(fmt.Sprintf("%s#%d", seed, i))&0xfff)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"invalid JSON"}}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.counts.Requests++
	s.counts.ByRequest[id]++
	s.waiting++
	version := s.version // a request keeps the weights it arrived with
	s.mu.Unlock()
	ctx := r.Context()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.adjustLoad(-1, 0, false)
		return
	}
	s.adjustLoad(-1, 1, false)
	defer func() { <-s.slots }()

	text, seed, offset := req.prompt(version)
	prompt, cached, ok := s.runPrefill(r, text, req.CacheSalt, id)
	if !ok {
		s.adjustLoad(0, -1, false)
		return
	}
	n := req.MaxTokens
	if n <= 0 {
		n = 16
	}
	if s.opts.OutputTokens != nil {
		n = min(n, s.opts.OutputTokens(seed))
	}
	sent, ok := s.generate(w, r, req, version, id, seed, offset, n, usage{prompt, n, prompt + n, cachedDetails{cached}})
	if !ok {
		s.recordWaste(sent, prompt-cached)
	}
	s.adjustLoad(0, -1, ok)
}

// runPrefill simulates the prefill of the prompt and returns its total and
// cached tokens. If the request's context ends first, ok is false and the tokens
// prefilled so far count as wasted.
func (s *Server) runPrefill(r *http.Request, text, salt, id string) (prompt, cached int, ok bool) {
	if s.opts.SerialPrefill {
		select {
		case s.prefilling <- struct{}{}:
			defer func() { <-s.prefilling }()
		case <-r.Context().Done():
			return 0, 0, false
		}
	}
	prompt, cached = s.cachePrompt(text, salt, id)
	start, total := time.Now(), time.Duration(prompt-cached)*s.opts.PrefillPerToken
	if s.sleep(r, total) {
		return prompt, cached, true
	}
	if total > 0 {
		fraction := min(1, float64(time.Since(start))/float64(total))
		s.recordWaste(0, int(fraction*float64(prompt-cached)))
	}
	return prompt, cached, false
}

func (s *Server) recordWaste(tokens, prompt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WastedTokens += tokens
	s.counts.WastedPromptTokens += prompt
}

// tokenInterval returns the time to the next token at the current load.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.TokenGap + time.Duration(s.running)*s.opts.GapPerRequest
}

// adjustLoad adds to the waiting and running counts and records a load report. A
// negative runningDelta counts the request as completed or cancelled.
func (s *Server) adjustLoad(waitingDelta, runningDelta int, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waitingDelta
	s.running += runningDelta
	if runningDelta < 0 {
		if completed {
			s.counts.Completed++
		} else {
			s.counts.Cancelled++
		}
	}
	s.reports = append(s.reports, report{time.Now(), s.running, s.waiting})
	if len(s.reports) > 1024 {
		s.reports = s.reports[512:]
	}
}

// sleep waits for d multiplied by Slowdown, and while the engine is frozen. It
// returns false if the request's context ended.
func (s *Server) sleep(r *http.Request, d time.Duration) bool {
	s.mu.Lock()
	slow := s.faults.Slowdown
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	if unfrozen != nil {
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return false
		}
	}
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// cachePrompt looks up the prompt's blocks in the cache and stores the missing
// ones. It returns the prompt's total and cached tokens, at 4 bytes per token.
func (s *Server) cachePrompt(text, salt, request string) (prompt, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.evict(now)
	prompt = max(1, len(text)/4)
	h := xxhash.New()
	_, _ = h.WriteString(salt)
	hit := true
	var stored []jsonBlock
	for end := BlockBytes; end <= len(text); end += BlockBytes {
		_, _ = h.WriteString(text[end-BlockBytes : end])
		key := h.Sum64()
		b := s.cache[key]
		if b != nil && hit {
			if b.salt != salt || b.boot != s.boot {
				s.counts.InvalidCacheHits++
			}
			cached = end / 4
			b.used = now
			continue
		}
		hit = false
		s.cache[key] = &block{salt: salt, boot: s.boot, used: now, end: end}
		stored = append(stored, jsonBlock{key, int64(end / 4)})
	}
	if len(stored) > 0 {
		s.emit("stored", request, stored)
	}
	s.counts.PromptTokens += prompt
	s.counts.CachedTokens += cached
	s.counts.CachedBySalt[salt] += cached
	return prompt, cached
}

// evict removes the blocks that were unused for BlockLifetime and then those over
// capacity. The caller holds mu.
func (s *Server) evict(now time.Time) {
	var evicted []jsonBlock
	for k, b := range s.cache {
		if now.Sub(b.used) > s.opts.BlockLifetime {
			evicted = append(evicted, jsonBlock{Hash: k})
		}
	}
	for _, b := range evicted {
		delete(s.cache, b.Hash)
	}
	evicted = append(evicted, s.evictOverCapacity()...)
	if len(evicted) > 0 {
		s.emit("removed", "", evicted)
	}
}

// evictOverCapacity removes and returns the least recently used blocks over
// capacity; among equally old ones, those deepest in their prompts come first.
// The caller holds mu.
func (s *Server) evictOverCapacity() []jsonBlock {
	over := len(s.cache) - s.opts.CacheBlocks
	if over <= 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(s.cache), func(a, b uint64) int {
		x, y := s.cache[a], s.cache[b]
		return cmp.Or(x.used.Compare(y.used), cmp.Compare(y.end, x.end), cmp.Compare(a, b))
	})
	evicted := make([]jsonBlock, 0, over)
	for _, k := range keys[:over] {
		delete(s.cache, k)
		evicted = append(evicted, jsonBlock{Hash: k})
	}
	return evicted
}

// emit appends a cache event of the given type. The caller holds mu.
func (s *Server) emit(kind, request string, blocks []jsonBlock) {
	seq := uint64(1)
	if n := len(s.events); n > 0 {
		seq = s.events[n-1].Seq + 1
	}
	s.events = append(s.events, event{Seq: seq, BootID: s.boot, Type: kind, RequestID: request, Blocks: blocks,
		deliverAt: time.Now().Add(s.faults.EventDelay), lost: s.rng.Float64() < s.faults.EventLoss})
	if len(s.events) > 8192 {
		s.events = append([]event(nil), s.events[4096:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type cachedDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails cachedDetails `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionResponse is a complete response or a chunk of a streamed one.
type completionResponse struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Fingerprint is the version of the weights that generated the output.
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// generate writes the output tokens from offset to n. It returns the number of
// tokens generated, and false if the response could not be completed.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, req completionRequest, version, id, seed string, offset, n int, u usage) (int, bool) {
	chat := r.URL.Path == "/v1/chat/completions"
	s.mu.Lock()
	crash := s.faults.CrashAfterTokens
	s.mu.Unlock()
	if req.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	for i := offset; i < n; i++ {
		if crash > 0 && i-offset >= crash {
			panic(http.ErrAbortHandler)
		}
		if !s.sleep(r, s.tokenInterval()) {
			return i - offset, false
		}
		if req.Stream {
			if !writeChunk(w, rc, newChunk(chat, id, s.opts.Model, version, token(version, seed, i), nil, nil)) {
				return i + 1 - offset, false
			}
		}
	}
	finishReason := "length"
	if req.Stream {
		ok := writeChunk(w, rc, newChunk(chat, id, s.opts.Model, version, "", &finishReason, &u))
		_, err := fmt.Fprint(w, "data: [DONE]\n\n")
		return n - offset, ok && err == nil && rc.Flush() == nil
	}
	text := ""
	for i := offset; i < n; i++ {
		text += token(version, seed, i)
	}
	w.Header().Set("Content-Type", "application/json")
	resp := completionResponse{ID: id, Object: "chat.completion", Model: s.opts.Model, Fingerprint: version, Usage: &u,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &finishReason}}}
	if !chat {
		resp.Object = "text_completion"
		resp.Choices = []choice{{Text: &text, FinishReason: &finishReason}}
	}
	return n - offset, json.NewEncoder(w).Encode(resp) == nil
}

// newChunk returns a chunk of a streamed response.
func newChunk(chat bool, id, model, version, text string, finishReason *string, u *usage) completionResponse {
	resp := completionResponse{ID: id, Object: "chat.completion.chunk", Model: model, Fingerprint: version, Usage: u, Choices: []choice{{FinishReason: finishReason}}}
	if chat {
		resp.Choices[0].Delta = &delta{Content: text}
	} else {
		resp.Object = "text_completion"
		resp.Choices[0].Text = &text
	}
	return resp
}

// writeChunk sends a chunk as a server-sent event. It returns false on failure.
func writeChunk(w http.ResponseWriter, rc *http.ResponseController, resp completionResponse) bool {
	b, err := json.Marshal(resp)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
		return false
	}
	return rc.Flush() == nil
}

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

// serveEvents streams the cache events with a sequence number above the query
// parameter after.
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_, _ = fmt.Sscanf(r.URL.Query().Get("after"), "%d", &after)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		s.mu.Lock()
		changed := s.changed
		var due []event
		var wait time.Duration
		for _, e := range s.events {
			if e.Seq <= after {
				continue
			}
			if d := time.Until(e.deliverAt); d > 0 {
				wait = d
				break
			}
			after = e.Seq
			if !e.lost {
				due = append(due, e)
			}
			if s.faults.EventRepeat {
				due = append(due, e)
			}
		}
		s.mu.Unlock()
		for _, e := range due {
			b, _ := json.Marshal(e)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
		case <-r.Context().Done():
			return
		}
	}
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
