package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Entries are the operator APIs that a command asks.
type EntryFlags struct {
	Entry []string `arg:"--entry,separate,env:CITRONTILLER_ENTRIES" help:"ip:port of an entry's operator API; repeatable; separated by commas in the environment"`
}

// addresses returns the URLs of the APIs.
func (e EntryFlags) addresses() ([]string, error) {
	if len(e.Entry) == 0 {
		return nil, usage("--entry (or the environment's CITRONTILLER_ENTRIES): got nothing, allowed: ip:port of an operator API, repeatable")
	}
	out := make([]string, len(e.Entry))
	for i, v := range e.Entry {
		host := strings.TrimPrefix(v, "http://")
		if _, port, err := net.SplitHostPort(host); err != nil || port == "" {
			return nil, usage("--entry: got %q, allowed: ip:port", v)
		}
		out[i] = (&url.URL{Scheme: "http", Host: host}).String()
	}
	return out, nil
}

// answer is what one entry's API said.
type answer[T any] struct {
	Address string `json:"address"`
	// Error says why the entry gave no answer; empty otherwise.
	Error string `json:"error,omitempty"`
	Value T      `json:"value"`
}

// askAll asks every entry at once and returns their answers in the given order.
func askAll[T any](ctx context.Context, e EntryFlags, path string) ([]answer[T], error) {
	addresses, err := e.addresses()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: entryTimeout}
	out := make([]answer[T], len(addresses))
	var g errgroup.Group
	for i, base := range addresses {
		out[i].Address = e.Entry[i]
		g.Go(func() error {
			if err := ask(ctx, client, base+path, &out[i].Value); err != nil {
				out[i].Error = err.Error()
			}
			return nil
		})
	}
	return out, g.Wait()
}

func ask(ctx context.Context, client *http.Client, address string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return fmt.Errorf("GET %s: %w", address, err)
	}
	return nil
}

// unanswered returns an error that names the entries without an answer.
func unanswered[T any](answers []answer[T]) error {
	var failed []string
	for _, a := range answers {
		if a.Error != "" {
			failed = append(failed, fmt.Sprintf("\n  --entry %s: %s", a.Address, a.Error))
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &Error{Exit: ExitFailed, Message: fmt.Sprintf("%d of %d entries did not answer:%s", len(failed), len(answers), strings.Join(failed, ""))}
}
