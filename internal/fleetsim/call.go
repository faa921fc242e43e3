package fleetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// answer is what a caller saw.
type answer struct {
	status int
	// first is the time to the first byte of the body.
	first time.Duration
	// complete is true when the stream had its closing event.
	complete bool
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// call sends a job through the entry of its region and records the answer.
func (s *sim) call(j *job) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if j.leaves {
		defer time.AfterFunc(abandonAfter, cancel).Stop()
	}
	a := s.post(ctx, j)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.add(s, j, a)
}

func (s *sim) post(ctx context.Context, j *job) answer {
	c := chat{Model: j.service, Stream: true, MaxTokens: limitTokens}
	for _, p := range j.parts {
		c.Messages = append(c.Messages, chatMessage{"user", p})
	}
	body, _ := json.Marshal(c)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fleet.Entries[j.region].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Authorization", "Bearer "+secret(j.account))
	begin := time.Now()
	resp, err := s.clients[j.region].Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return answer{status: resp.StatusCode}
	}
	a := answer{status: resp.StatusCode, first: time.Since(begin)}
	rest, err := io.ReadAll(resp.Body)
	a.complete = err == nil && bytes.Contains(rest, []byte("[DONE]"))
	return a
}
