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

	"github.com/citrontiller/citrontiller/internal/httpclient"
)

// EntryFlags are the flags of the commands that query the operator APIs of entries.
type EntryFlags struct {
	Entry []string `arg:"--entry,separate,env:CITRONTILLER_ENTRIES" help:"ip:port of an entry's operator API; repeatable; separated by commas in the environment"`
}

// addresses returns the base URLs of the operator APIs.
func (e EntryFlags) addresses() ([]string, error) {
	if len(e.Entry) == 0 {
		return nil, settingError("--entry", "", "ip:port of an operator API, repeatable")
	}
	out := make([]string, len(e.Entry))
	for i, v := range e.Entry {
		host := strings.TrimPrefix(v, "http://")
		if _, port, err := net.SplitHostPort(host); err != nil || port == "" {
			return nil, settingError("--entry", v, "ip:port")
		}
		out[i] = (&url.URL{Scheme: "http", Host: host}).String()
	}
	return out, nil
}

// entryResponse is the response of one entry's operator API.
type entryResponse[T any] struct {
	Address string `json:"address"`
	// Error is the reason why there is no valid response; empty on success.
	Error string `json:"error,omitempty"`
	Value T      `json:"value"`
}

// queryEntries sends a GET request for path to all entries concurrently. It returns
// the responses in the order of the flags. The error of a single entry is in its
// response.
func queryEntries[T any](ctx context.Context, e EntryFlags, path string) ([]entryResponse[T], error) {
	addresses, err := e.addresses()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{}}, Timeout: entryTimeout}
	out := make([]entryResponse[T], len(addresses))
	var g errgroup.Group
	for i, base := range addresses {
		out[i].Address = e.Entry[i]
		g.Go(func() error {
			if err := getJSON(ctx, client, base+path, &out[i].Value); err != nil {
				out[i].Error = err.Error()
			}
			return nil
		})
	}
	return out, g.Wait()
}

// getJSON sends a GET request and decodes the JSON response into v.
func getJSON(ctx context.Context, client *http.Client, address string, v any) error {
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

// responseErrors returns an error that lists the entries without a valid response,
// or nil if there are none.
func responseErrors[T any](responses []entryResponse[T]) error {
	var failed []string
	for _, resp := range responses {
		if resp.Error != "" {
			failed = append(failed, fmt.Sprintf("\n  --entry %s: %s", resp.Address, resp.Error))
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &Error{Exit: ExitFailed, Message: fmt.Sprintf("%d of %d entries did not answer:%s", len(failed), len(responses), strings.Join(failed, ""))}
}
