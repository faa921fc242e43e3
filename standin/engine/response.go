package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

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
