package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

// rolloutTimeout bounds the time until all engines have loaded the new weights.
const rolloutTimeout = 15 * time.Second

// conversations sends chats with shared prefixes of three levels: instructions,
// guide and customer history.
func (d *demo) conversations() error {
	instructions := strings.Repeat("Shop instructions: answer in short sentences. ", 40)
	fmt.Println("\nChats that share the shop's instructions, a guide and a customer's history:")
	for round := range 2 {
		for i, guide := range []string{"aneroid barometers", "mercury barometers"} {
			for customer := range 2 {
				messages := []chatMessage{{"system", instructions}, {"system", strings.Repeat("Guide to "+guide+". ", 60)},
					{"user", strings.Repeat(fmt.Sprintf("History of customer %d. ", customer), 40)},
					{"user", fmt.Sprintf("Question %d", round)}}
				if err := d.chat((round+customer)%2, messages, i == 0); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat sends a chat request and prints the response's text, its endpoint and the
// routing decisions.
func (d *demo) chat(entry int, messages []chatMessage, stream bool) error {
	body, err := json.Marshal(map[string]any{"model": "guide", "stream": stream, "max_tokens": 6, "messages": messages})
	if err != nil {
		return err
	}
	r, err := d.post(entry, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	text, _ := fleet.StreamedText(r.body)
	kind := "streamed"
	if !stream {
		kind, text = "whole", wholeText(r.body)
	}
	fmt.Printf("  %-8s by entry %d at %s, first byte after %-6s %q\n", kind, entry, r.endpoint, r.firstByte.Round(time.Millisecond), text)
	return d.explain(entry, r.id)
}

// wholeText returns the text of a response that is not streamed.
func wholeText(body string) string {
	var a struct {
		Choices []struct{ Message chatMessage }
	}
	if json.Unmarshal([]byte(body), &a) != nil || len(a.Choices) == 0 {
		return body
	}
	return a.Choices[0].Message.Content
}

// explain prints the routing decisions of a request.
func (d *demo) explain(i int, id string) error {
	resp, err := d.Client().Get("http://" + d.operatorAddrs[i] + "/decisions/" + id)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var decisions []entry.Explanation
	if err := json.NewDecoder(resp.Body).Decode(&decisions); err != nil {
		return err
	}
	for _, e := range decisions {
		fmt.Printf("           why: %s, expected first token in ms: %s\n", e.Decision.Reason, e.Decision)
	}
	return nil
}

// booking sends a non-idempotent call and retries it with the same idempotency key
// through the other entry. It returns an error unless the call ran once.
func (d *demo) booking() error {
	fmt.Println("\nA booking, and its repeat through the other entry with the same idempotency key:")
	for i := range 2 {
		r, err := d.post(i, "/book", []byte(`{"pickup":"Tuesday"}`), "booking-1")
		if err != nil {
			return err
		}
		fmt.Printf("  entry %d: status %d, %s\n", i, r.status, strings.TrimSpace(r.body))
	}
	total := 0
	for _, p := range d.Plains {
		total += p.Total()
	}
	fmt.Printf("  calls that reached the desks: %d\n", total)
	if total != 1 {
		return fmt.Errorf("booking ran %d times", total)
	}
	return nil
}

// rollout changes the weights version of the document and waits until every engine
// has loaded it.
func (d *demo) rollout() error {
	fmt.Println("\nAn edit of the document: weights v1 -> v2, loaded by at most two engines at a time:")
	begin := time.Now()
	if err := d.apply(guideDocument("v2"), 1); err != nil {
		return err
	}
	for {
		done := 0
		for _, e := range d.Engines {
			if e.Version() == "v2" {
				done++
			}
		}
		if done == len(d.Engines) {
			break
		}
		if time.Since(begin) > rolloutTimeout {
			return fmt.Errorf("%d of %d engines have the new weights after %s", done, len(d.Engines), rolloutTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Printf("  in force at %d engines after %s\n", len(d.Engines), time.Since(begin).Round(time.Millisecond))
	return d.chat(0, []chatMessage{{"user", "Which weights answer?"}}, true)
}

// summary prints the prefix cache hit rate of the engines.
func (d *demo) summary() error {
	prompt, cached := 0, 0
	for _, e := range d.Engines {
		c := e.Counts()
		prompt += c.PromptTokens
		cached += c.CachedTokens
	}
	fmt.Printf("\nPrefix hit rate: %d of %d prompt tokens (%.0f%%). Total time %s.\n",
		cached, prompt, 100*float64(cached)/float64(prompt), time.Since(d.started).Round(time.Millisecond))
	return nil
}

// response is a response to a caller.
type response struct {
	status   int
	id       string
	endpoint string
	body     string
	// firstByte is the time to the first byte of the body.
	firstByte time.Duration
}

// post sends a POST request to entry i. It returns an error for any status but 200.
func (d *demo) post(i int, path string, body []byte, idempotencyKey string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Entries[i].Address+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	begin := time.Now()
	resp, err := d.Client().Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	_, _ = r.Peek(1)
	out := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), endpoint: resp.Header.Get("X-Citrontiller-Endpoint"), firstByte: time.Since(begin)}
	b, err := io.ReadAll(r)
	if err == nil && out.status != http.StatusOK {
		err = fmt.Errorf("POST %s: status %d: %s", path, out.status, b)
	}
	out.body = string(b)
	return out, err
}
