package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// askDeadline is the deadline of a request, that of job-tag.
const askDeadline = 3 * time.Second

// oneKey are the keys of callers where keys don't matter.
var oneKey = []string{"key"}

// caller sends requests to a gateway.
type caller struct {
	path, model string
	// key is the caller's key, oneKey if empty, and name a part of the ids of its requests, the
	// path's first part if empty.
	key, name string
	// every is the time between two requests.
	every time.Duration
	// prompt returns the parts of the prompt of a request.
	prompt func(id string) string
}

// tally counts the requests of the judged time.
type tally struct{ asked, served atomic.Int64 }

// askAll sends requests to a gateway until ctx ends.
func (s *system) askAll(ctx context.Context, g *gatewayProcess, c caller, t *tally, judging *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		judged := judging.Load()
		wg.Go(func() {
			served := s.ask(client, g, c, fmt.Sprintf("%s-%s-%d", g.name, cmp.Or(c.name, strings.Split(c.path, "/")[1]), n))
			if judged {
				t.asked.Add(1)
				if served {
					t.served.Add(1)
				}
			}
		})
		sleep(ctx, c.every)
	}
}

// ask sends a request. One that is refused is tried once more, as the sheets say, after the time
// that the refusal asks for, at most a third of the time left. It reports whether it was served.
func (s *system) ask(client *http.Client, g *gatewayProcess, c caller, id string) bool {
	start := time.Now()
	for try := 1; ; try++ {
		left := askDeadline - time.Since(start)
		ok, status, retryAfter := s.try(client, g, c, fmt.Sprint(id, "-", try), left)
		s.add("%s-%d: %d", id, try, status)
		if ok || try == 2 || status != http.StatusServiceUnavailable {
			return ok
		}
		time.Sleep(min(retryAfter, (askDeadline-time.Since(start))/3))
	}
}

// try sends one request.
func (s *system) try(client *http.Client, g *gatewayProcess, c caller, id string, left time.Duration) (ok bool, status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+c.path, strings.NewReader("prompt"))
	if err != nil {
		panic(err) // the address is well-formed
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Citrontiller-Request-Id": id, "Citrontiller-Model": c.model, "Citrontiller-Token-Usage": "1460,80",
		"Citrontiller-Prompt-Prefix": c.prompt(id), "Citrontiller-Credential": cmp.Or(c.key, oneKey[0]), "Citrontiller-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one
	ok = err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), fmt.Sprintf("id: %d\n", events))
	return ok, resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
