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

// rolloutTimeout bounds the wait for the engines' new weights.
const rolloutTimeout = 15 * time.Second

// conversations sends chats that share prefixes of three levels.
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
	fmt.Printf("  %-8s by entry %d at %s, first byte after %-6s %q\n", kind, entry, r.endpoint, r.first.Round(time.Millisecond), text)
	return d.explain(entry, r.id)
}

func wholeText(body string) string {
	var a struct {
		Choices []struct{ Message chatMessage }
	}
	if json.Unmarshal([]byte(body), &a) != nil || len(a.Choices) == 0 {
		return body
	}
	return a.Choices[0].Message.Content
}

// explain prints why the request went where it went.
func (d *demo) explain(i int, id string) error {
	resp, err := d.Client().Get("http://" + d.operators[i] + "/decisions/" + id)
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

// booking makes a call that must not run twice, and repeats it with the same
// idempotency key through the other entry.
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
		return fmt.Errorf("the booking ran %d times", total)
	}
	return nil
}

// edit changes the weights version and waits until every engine has it.
func (d *demo) edit() error {
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

// summary prints the hit rate at the engines.
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

// answer is what a caller received.
type answer struct {
	status   int
	id       string
	endpoint string
	body     string
	// first is the time to the first byte of the body.
	first time.Duration
}

func (d *demo) post(i int, path string, body []byte, idempotencyKey string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Entries[i].Address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	begin := time.Now()
	resp, err := d.Client().Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	_, _ = r.Peek(1)
	a := answer{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), endpoint: resp.Header.Get("X-Citrontiller-Endpoint"), first: time.Since(begin)}
	b, err := io.ReadAll(r)
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("POST %s: status %d: %s", path, a.status, b)
	}
	a.body = string(b)
	return a, err
}
