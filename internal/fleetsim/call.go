package fleetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// response is the outcome of a request as its caller observed it.
type response struct {
	status int
	// timeToFirstByte is the time to the first byte of the body; 0 without a body.
	timeToFirstByte time.Duration
	// complete reports whether the stream ended with its closing event.
	complete bool
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// send sends a request through the entry of its region and records the response.
func (s *sim) send(req *request) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if req.abandoned {
		defer time.AfterFunc(abandonAfter, cancel).Stop()
	}
	resp := s.post(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.add(s, req, resp)
}

// post sends a request and reads its whole response. A request that fails without
// a response has status 0.
func (s *sim) post(ctx context.Context, r *request) response {
	c := chatRequest{Model: r.service, Stream: true, MaxTokens: maxOutputTokens}
	for _, p := range r.messages {
		c.Messages = append(c.Messages, chatMessage{"user", p})
	}
	body, _ := json.Marshal(c)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fleet.Entries[r.region].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey(r.account))
	begin := time.Now()
	resp, err := s.clients[r.region].Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return response{status: resp.StatusCode}
	}
	result := response{status: resp.StatusCode, timeToFirstByte: time.Since(begin)}
	rest, err := io.ReadAll(resp.Body)
	result.complete = err == nil && bytes.Contains(rest, []byte("[DONE]"))
	return result
}
