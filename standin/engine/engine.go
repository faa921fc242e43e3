// Package engine is a stand-in for a model engine: OpenAI-compatible chat and
// plain completions, streamed or whole, a limited prefix cache with late and
// lossy events, a lagging load report, orders, and fault switches.
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

// Options shape an engine.
type Options struct {
	ID      string
	Model   string
	Version string
	// PrefillPerToken and TokenGap are the engine's speed when it runs one request.
	PrefillPerToken time.Duration
	TokenGap        time.Duration
	// GapPerRequest is added to TokenGap for each running request.
	GapPerRequest time.Duration
	// SerialPrefill lets one request prefill at a time.
	SerialPrefill bool
	// Length returns the natural length of the answer to a prompt in tokens;
	// nil means that every answer has the caller's max_tokens.
	OutputTokens func(prompt string) int
	// Slots is the batch size; more requests wait.
	Slots int
	// CacheBlocks is the cache's capacity, BlockLifetime the time after which an
	// unused block is evicted.
	CacheBlocks   int
	BlockLifetime time.Duration
	// LoadTime is how long new weights take.
	LoadTime time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// BlockBytes is the prompt text per cache block.
const BlockBytes = 256

// Faults are the switches of the stand-in.
type Faults struct {
	// CrashAfterTokens drops the connection after so many tokens of each stream.
	CrashAfterTokens int
	// Down refuses every request by dropping the connection.
	Down bool
	// Frozen blocks every request until it is cleared.
	Frozen bool
	// Slowdown multiplies all times; 0 means 1.
	Slowdown float64
	// EventLoss is the share of cache events that are lost, 0 to 1.
	EventLoss float64
	// EventDelay delays cache events.
	EventDelay time.Duration
	// EventRepeat sends each cache event twice.
	EventRepeat bool
}

// Counts are what the engine has done.
type Counts struct {
	Requests     int
	Completed    int
	Cancelled    int
	PromptTokens int
	CachedTokens int
	// Wasted is the number of tokens generated for streams that were cut,
	// WastedPrompt the number of prompt tokens computed for them.
	WastedTokens       int
	WastedPromptTokens int
	// ByRequest counts dispatches by X-Request-Id.
	ByRequest map[string]int
	// CachedBySalt counts cached tokens by cache salt, also where there are none.
	CachedBySalt map[string]int
	// Foreign counts cache hits on blocks of another salt or boot; it must stay 0.
	InvalidCacheHits int
	Orders           []Order
}

// Order is an order the engine received.
type Order struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// Server is an engine.
type Server struct {
	opts  Options
	slots chan struct{}
	// prefilling holds one element while a serial prefill runs.
	prefilling chan struct{}

	mu      sync.Mutex
	boot    string
	version string
	// life ends when the engine crashes.
	life    context.Context
	crash   context.CancelFunc
	loading bool
	fence   int64
	cache   map[uint64]*block
	events  []event
	changed chan struct{}
	faults  Faults
	thaw    chan struct{}
	counts  Counts
	running int
	waiting int
	reports []report
	rng     *rand.Rand
}

type block struct {
	salt string
	boot string
	used time.Time
	// end is the offset of the block's end in its prompt.
	end int
}

type event struct {
	Seq       uint64      `json:"seq"`
	BootID    string      `json:"boot_id"`
	Type      string      `json:"type"`
	RequestID string      `json:"request_id,omitempty"`
	Blocks    []jsonBlock `json:"blocks,omitempty"`
	at        time.Time
	lost      bool
}

type jsonBlock struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
}

type report struct {
	at               time.Time
	running, waiting int
}

// New returns a running engine.
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
	s.life, s.crash = context.WithCancel(context.Background())
	s.Restart()
	return s
}

// Restart empties the cache and takes a new boot id, as after a crash.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot = uuid.NewString()
	s.cache = map[uint64]*block{}
	s.events = nil
}

// Reboot crashes the engine with every open connection. It comes back at once
// with an empty cache, a new boot id and the given weights.
func (s *Server) CrashAndRestart(version string) {
	s.mu.Lock()
	crash := s.crash
	s.life, s.crash = context.WithCancel(context.Background())
	s.version = version
	s.mu.Unlock()
	s.Restart()
	crash()
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
	}
	if f.Frozen {
		s.thaw = make(chan struct{})
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
	f, thaw, life := s.faults, s.thaw, s.life
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	r = r.WithContext(ctx)
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if thaw != nil {
		select {
		case <-thaw:
		case <-r.Context().Done():
			return
		}
	}
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		s.complete(w, r)
	case "/metrics":
		s.metrics(w)
	case "/v1/cache/events":
		s.serveEvents(w, r)
	case "/v1/orders":
		s.order(w, r)
	default:
		http.NotFound(w, r)
	}
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	CacheSalt string    `json:"cache_salt"`
	Continue  bool      `json:"continue_final_message"`
}

// prompt returns the text to prefill, the text that seeds the answer and the
// number of tokens already answered.
func (c completion) prompt(version string) (text, seed string, done int) {
	if len(c.Messages) == 0 {
		seed, done = continued(version, c.Prompt)
		return c.Prompt, seed, done
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

// FirstVersion is the weights version whose answers Answer returns.
const FirstVersion = "v1"

// Answer returns the text an engine with the first version gives to a prompt
// with n tokens; it depends on nothing else, so that tests can check a whole
// answer.
func Answer(seed string, n int) string { return AnswerForVersion(FirstVersion, seed, n) }

// AnswerOf is Answer for any weights version. Versions give different tokens,
// so that text spliced from two of them shows.
func AnswerForVersion(version, seed string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(version, seed, i))
	}
	return b.String()
}

func token(version, seed string, i int) string {
	if version != FirstVersion {
		seed = version + "#" + seed
	}
	return fmt.Sprintf("w%03x ", xxhash.Sum64String(fmt.Sprintf("%s#%d", seed, i))&0xfff)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var req completion
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"invalid JSON"}}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.counts.Requests++
	s.counts.ByRequest[id]++
	s.waiting++
	version := s.version // a running request keeps its weights
	s.mu.Unlock()
	ctx := r.Context()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.done(-1, 0, false)
		return
	}
	s.done(-1, 1, false)
	defer func() { <-s.slots }()

	text, seed, done := req.prompt(version)
	prompt, cached, ok := s.compute(r, text, req.CacheSalt, id)
	if !ok {
		s.done(0, -1, false)
		return
	}
	n := req.MaxTokens
	if n <= 0 {
		n = 16
	}
	if s.opts.OutputTokens != nil {
		n = min(n, s.opts.OutputTokens(seed))
	}
	sent, ok := s.generate(w, r, req, version, id, seed, done, n, usage{prompt, n, prompt + n, cachedDetails{cached}})
	if !ok {
		s.waste(sent, prompt-cached)
	}
	s.done(0, -1, ok)
}

// compute prefills the prompt; ok is false when the caller left, and the part
// computed until then counts as wasted.
func (s *Server) compute(r *http.Request, text, salt, id string) (prompt, cached int, ok bool) {
	if s.opts.SerialPrefill {
		select {
		case s.prefilling <- struct{}{}:
			defer func() { <-s.prefilling }()
		case <-r.Context().Done():
			return 0, 0, false
		}
	}
	prompt, cached = s.prefill(text, salt, id)
	begin, whole := time.Now(), time.Duration(prompt-cached)*s.opts.PrefillPerToken
	if s.sleep(r, whole) {
		return prompt, cached, true
	}
	if whole > 0 {
		share := min(1, float64(time.Since(begin))/float64(whole))
		s.waste(0, int(share*float64(prompt-cached)))
	}
	return prompt, cached, false
}

func (s *Server) waste(tokens, prompt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WastedTokens += tokens
	s.counts.WastedPromptTokens += prompt
}

// gap returns the time to the next token.
func (s *Server) gap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.TokenGap + time.Duration(s.running)*s.opts.GapPerRequest
}

func (s *Server) done(waiting, running int, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
	if running < 0 {
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

// sleep waits for the scaled time; it returns false when the caller left.
func (s *Server) sleep(r *http.Request, d time.Duration) bool {
	s.mu.Lock()
	slow := s.faults.Slowdown
	thaw := s.thaw
	s.mu.Unlock()
	if slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	if thaw != nil {
		select {
		case <-thaw:
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

// prefill looks the prompt's blocks up, stores the missing ones and returns
// the token counts.
func (s *Server) prefill(text, salt, request string) (prompt, cached int) {
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

// evict drops unused blocks and, over capacity, the oldest; the caller holds mu.
func (s *Server) evict(now time.Time) {
	var gone []jsonBlock
	for k, b := range s.cache {
		if now.Sub(b.used) > s.opts.BlockLifetime {
			gone = append(gone, jsonBlock{Hash: k})
		}
	}
	for _, g := range gone {
		delete(s.cache, g.Hash)
	}
	gone = append(gone, s.displace()...)
	if len(gone) > 0 {
		s.emit("removed", "", gone)
	}
}

// displace drops the least recently used blocks over capacity, of equal age the
// deepest first; the caller holds mu.
func (s *Server) displace() []jsonBlock {
	over := len(s.cache) - s.opts.CacheBlocks
	if over <= 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(s.cache), func(a, b uint64) int {
		x, y := s.cache[a], s.cache[b]
		return cmp.Or(x.used.Compare(y.used), cmp.Compare(y.end, x.end), cmp.Compare(a, b))
	})
	gone := make([]jsonBlock, 0, over)
	for _, k := range keys[:over] {
		delete(s.cache, k)
		gone = append(gone, jsonBlock{Hash: k})
	}
	return gone
}

// emit adds a cache event; the caller holds mu.
func (s *Server) emit(kind, request string, blocks []jsonBlock) {
	seq := uint64(1)
	if n := len(s.events); n > 0 {
		seq = s.events[n-1].Seq + 1
	}
	s.events = append(s.events, event{Seq: seq, BootID: s.boot, Type: kind, RequestID: request, Blocks: blocks,
		at: time.Now().Add(s.faults.EventDelay), lost: s.rng.Float64() < s.faults.EventLoss})
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

type answer struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Fingerprint identifies the weights that gave the answer.
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// generate writes the tokens from done to n. It returns the number generated,
// and false when it was cut.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, req completion, version, id, seed string, done, n int, u usage) (int, bool) {
	chat := r.URL.Path == "/v1/chat/completions"
	s.mu.Lock()
	crash := s.faults.CrashAfterTokens
	s.mu.Unlock()
	if req.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	for i := done; i < n; i++ {
		if crash > 0 && i-done >= crash {
			panic(http.ErrAbortHandler)
		}
		if !s.sleep(r, s.gap()) {
			return i - done, false
		}
		if req.Stream {
			if !send(w, rc, streamed(chat, id, s.opts.Model, version, token(version, seed, i), nil, nil)) {
				return i + 1 - done, false
			}
		}
	}
	stop := "length"
	if req.Stream {
		ok := send(w, rc, streamed(chat, id, s.opts.Model, version, "", &stop, &u))
		_, err := fmt.Fprint(w, "data: [DONE]\n\n")
		return n - done, ok && err == nil && rc.Flush() == nil
	}
	text := ""
	for i := done; i < n; i++ {
		text += token(version, seed, i)
	}
	w.Header().Set("Content-Type", "application/json")
	a := answer{ID: id, Object: "chat.completion", Model: s.opts.Model, Fingerprint: version, Usage: &u,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &stop}}}
	if !chat {
		a.Object = "text_completion"
		a.Choices = []choice{{Text: &text, FinishReason: &stop}}
	}
	return n - done, json.NewEncoder(w).Encode(a) == nil
}

func streamed(chat bool, id, model, version, text string, stop *string, u *usage) answer {
	a := answer{ID: id, Object: "chat.completion.chunk", Model: model, Fingerprint: version, Usage: u, Choices: []choice{{FinishReason: stop}}}
	if chat {
		a.Choices[0].Delta = &delta{Content: text}
	} else {
		a.Object = "text_completion"
		a.Choices[0].Text = &text
	}
	return a
}

func send(w http.ResponseWriter, rc *http.ResponseController, a answer) bool {
	b, err := json.Marshal(a)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
		return false
	}
	return rc.Flush() == nil
}

func (s *Server) metrics(w http.ResponseWriter) {
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
			if d := time.Until(e.at); d > 0 {
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

// Load replaces the weights and empties the cache. Running requests keep theirs.
func (s *Server) LoadWeights(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.loading = version, false
	s.cache = map[uint64]*block{}
	s.emit("cleared", "", nil)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
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

// Loading reports whether the engine is loading weights.
func (s *Server) Loading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading
}

// Version returns the version of the weights that the engine has loaded.
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
