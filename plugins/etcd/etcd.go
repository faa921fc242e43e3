// Package etcd is the key-value driver, id "kv.etcd". It uses the JSON gateway of
// etcd's v3 API over net/http.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"net/http/httptrace"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/internal/retryafter"
	"github.com/citrontiller/citrontiller/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "kv.etcd", New: func() any { return new(Driver) }})
}

// maxResponseBytes bounds a response. Values are at most 1 MB, and base64 adds a third.
const maxResponseBytes = 64 << 20

// Driver implements infra.KV. The errors of the methods of infra.KV are of type
// *infra.Error.
type Driver struct {
	base    string
	timeout time.Duration
	client  *http.Client
	log     *zap.Logger
}

// Provision implements kernel.Provisioner.
func (d *Driver) Provision(_ context.Context, s kernel.Settings) error {
	var err error
	if d.base, err = s.URL("key-value service"); err != nil {
		return err
	}
	d.timeout = s.Timeout
	if d.timeout <= 0 {
		d.timeout = 2 * time.Second
	}
	d.client = &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{DialContext: s.DialContext(), MaxIdleConnsPerHost: 16}}}
	d.log = s.Logger()
	return nil
}

// Cleanup implements kernel.Cleaner.
func (d *Driver) Cleanup() error {
	d.client.CloseIdleConnections()
	return nil
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (kv keyValue) pair() infra.Pair {
	return infra.Pair{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// Get implements infra.KV.
func (d *Driver) Get(ctx context.Context, key string) (infra.Pair, error) {
	var out rangeResponse
	if err := d.read(ctx, "get "+key, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return infra.Pair{}, err
	}
	if len(out.KVs) == 0 {
		return infra.Pair{}, &infra.Error{Code: infra.NotFound, Op: "get " + key}
	}
	return out.KVs[0].pair(), nil
}

// List implements infra.KV.
func (d *Driver) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	return d.list(ctx, prefix, false)
}

// Scan returns the same as List, without the values.
func (d *Driver) Scan(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	return d.list(ctx, prefix, true)
}

func (d *Driver) list(ctx context.Context, prefix string, keysOnly bool) ([]infra.Pair, int64, error) {
	var out rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), KeysOnly: keysOnly}
	if err := d.read(ctx, "list "+prefix, "/v3/kv/range", req, &out); err != nil {
		return nil, 0, err
	}
	pairs := make([]infra.Pair, len(out.KVs))
	for i, kv := range out.KVs {
		pairs[i] = kv.pair()
	}
	return pairs, out.Header.Revision, nil
}

// prefixEnd returns the first key after all keys with the prefix. If there is none, it
// returns the key \x00, which etcd interprets as the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// CompareAndSwap implements infra.KV.
func (d *Driver) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
	op := operation{Put: &putRequest{Key: []byte(key), Value: value, Lease: lease}}
	return d.txn(ctx, "swap "+key, key, expect, op)
}

// Delete implements infra.KV.
func (d *Driver) Delete(ctx context.Context, key string, expect int64) error {
	_, err := d.txn(ctx, "delete "+key, key, expect, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

// txn applies an operation if the key's revision equals expect.
func (d *Driver) txn(ctx context.Context, op, key string, expect int64, onSuccess operation) (int64, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expect}},
		Success: []operation{onSuccess},
	}
	var out txnResponse
	if err := d.write(ctx, op, "/v3/kv/txn", req, &out); err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, &infra.Error{Code: infra.Conflict, Op: op}
	}
	return out.Header.Revision, nil
}

type grantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// Grant implements infra.KV. The service supports only whole seconds, so the TTL is
// rounded up.
func (d *Driver) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out leaseResponse
	req := grantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	if err := d.write(ctx, "grant lease", "/v3/lease/grant", req, &out); err != nil {
		return 0, err
	}
	return out.ID, nil
}

type keepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

// KeepAlive implements infra.KV.
func (d *Driver) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var out keepAliveResponse
	op := fmt.Sprintf("renew lease %d", lease)
	if err := d.write(ctx, op, "/v3/lease/keepalive", keepAliveRequest{ID: lease}, &out); err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, &infra.Error{Code: infra.NotFound, Op: op}
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchResponse struct {
	Result struct {
		Canceled bool `json:"canceled"`
		Events   []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch implements infra.KV. The watch ends when the service cancels it or the
// connection breaks.
func (d *Driver) Watch(ctx context.Context, prefix string, from int64) (<-chan infra.Event, error) {
	op := "watch " + prefix
	body, err := json.Marshal(watchRequest{watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: from + 1}})
	if err != nil {
		return nil, &infra.Error{Code: infra.Invalid, Op: op, Err: err}
	}
	resp, err := d.post(ctx, "/v3/watch", body)
	if err != nil {
		return nil, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &infra.Error{Code: infra.Unavailable, Op: op, Err: fmt.Errorf("status %s", resp.Status)}
	}
	out := make(chan infra.Event)
	go d.readWatch(ctx, op, resp.Body, out)
	return out, nil
}

// readWatch sends the events of a watch to out until the watch or ctx ends.
func (d *Driver) readWatch(ctx context.Context, op string, body io.ReadCloser, out chan<- infra.Event) {
	defer close(out)
	defer body.Close()
	dec := json.NewDecoder(body)
	for {
		var resp watchResponse
		if err := dec.Decode(&resp); err != nil || resp.Result.Canceled {
			if ctx.Err() == nil {
				d.log.Warn("watch ended", zap.String("op", op), zap.Error(err))
			}
			return
		}
		for _, e := range resp.Result.Events {
			ev := infra.Event{Pair: e.KV.pair(), Deleted: e.Type == "DELETE"}
			select {
			case out <- ev:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (d *Driver) read(ctx context.Context, op, path string, req, out any) error {
	_, err := d.roundTrip(ctx, op, path, req, out)
	return err
}

// write sends a request that changes data. It returns ErrUnknown if the request may
// have reached the service.
func (d *Driver) write(ctx context.Context, op, path string, req, out any) error {
	sent, err := d.roundTrip(ctx, op, path, req, out)
	var pe *infra.Error
	if errors.As(err, &pe) && pe.Code == infra.Unavailable && sent {
		pe.Code = infra.Unknown
	}
	return err
}

// roundTrip sends a request and decodes the response into out. sent is false only if
// the request had no effect.
func (d *Driver) roundTrip(ctx context.Context, op, path string, req, out any) (sent bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return false, &infra.Error{Code: infra.Invalid, Op: op, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }})
	resp, err := d.post(ctx, path, body)
	if err != nil {
		var opErr *net.OpError
		dial := errors.As(err, &opErr) && opErr.Op == "dial"
		return gotConn.Load() && !dial, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, op, data)
	}
	if err != nil {
		return true, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return true, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	return true, nil
}

// statusError returns the error for a status other than 200. A 3xx or 4xx status proves
// that nothing was written. After a 5xx status, for example because the cluster has
// lost its leader, the write may still be applied.
func statusError(resp *http.Response, op string, data []byte) (sent bool, err error) {
	cause := fmt.Errorf("status %s: %.200s", resp.Status, data)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		wait := retryafter.Parse(resp.Header, time.Now())
		return false, &infra.Error{Code: infra.RateLimited, Op: op, RetryAfter: wait, Err: cause}
	case resp.StatusCode >= 300 && resp.StatusCode < 500:
		return false, &infra.Error{Code: infra.Invalid, Op: op, Err: cause}
	default:
		return true, &infra.Error{Code: infra.Unavailable, Op: op, Err: cause}
	}
}

func (d *Driver) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend a write by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return d.client.Do(req)
}
