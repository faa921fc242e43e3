package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
