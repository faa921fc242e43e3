// Package etcd is the key-value driver, id "kv.etcd". It speaks etcd's v3 JSON
// gateway over net/http.
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
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/internal/retryafter"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "kv.etcd", New: func() any { return new(Driver) }})
}

// maxReply bounds a reply; values are at most 1 MB, base64 adds a third.
const maxReply = 64 << 20

// Driver implements infra.KV.
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
	d.client = &http.Client{Transport: &http.Transport{DialContext: s.DialContext(), MaxIdleConnsPerHost: 16}}
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

type rangeReply struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// Get implements infra.KV.
func (d *Driver) Get(ctx context.Context, key string) (infra.Pair, error) {
	var reply rangeReply
	if err := d.read(ctx, "get "+key, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return infra.Pair{}, err
	}
	if len(reply.KVs) == 0 {
		return infra.Pair{}, &infra.Error{Code: infra.NotFound, Op: "get " + key}
	}
	return reply.KVs[0].pair(), nil
}

// List implements infra.KV.
func (d *Driver) List(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	return d.list(ctx, prefix, false)
}

// Scan is List without the values.
func (d *Driver) Scan(ctx context.Context, prefix string) ([]infra.Pair, int64, error) {
	return d.list(ctx, prefix, true)
}

func (d *Driver) list(ctx context.Context, prefix string, keysOnly bool) ([]infra.Pair, int64, error) {
	var reply rangeReply
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), KeysOnly: keysOnly}
	if err := d.read(ctx, "list "+prefix, "/v3/kv/range", req, &reply); err != nil {
		return nil, 0, err
	}
	pairs := make([]infra.Pair, len(reply.KVs))
	for i, kv := range reply.KVs {
		pairs[i] = kv.pair()
	}
	return pairs, reply.Header.Revision, nil
}

// prefixEnd returns the first key after all keys with the prefix.
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

type txnReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// Swap implements infra.KV.
func (d *Driver) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
	op := operation{Put: &putRequest{Key: []byte(key), Value: value, Lease: lease}}
	return d.txn(ctx, "swap "+key, key, expect, op)
}

// Delete implements infra.KV.
func (d *Driver) Delete(ctx context.Context, key string, expect int64) error {
	_, err := d.txn(ctx, "delete "+key, key, expect, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

func (d *Driver) txn(ctx context.Context, op, key string, expect int64, then operation) (int64, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expect}},
		Success: []operation{then},
	}
	var reply txnReply
	if err := d.write(ctx, op, "/v3/kv/txn", req, &reply); err != nil {
		return 0, err
	}
	if !reply.Succeeded {
		return 0, &infra.Error{Code: infra.Conflict, Op: op}
	}
	return reply.Header.Revision, nil
}

type grantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// Grant implements infra.KV. The service counts leases in whole seconds.
func (d *Driver) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var reply leaseReply
	req := grantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	if err := d.write(ctx, "grant lease", "/v3/lease/grant", req, &reply); err != nil {
		return 0, err
	}
	return reply.ID, nil
}

type keepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

type keepAliveReply struct {
	Result leaseReply `json:"result"`
}

// KeepAlive implements infra.KV.
func (d *Driver) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var reply keepAliveReply
	op := fmt.Sprintf("renew lease %d", lease)
	if err := d.write(ctx, op, "/v3/lease/keepalive", keepAliveRequest{ID: lease}, &reply); err != nil {
		return 0, err
	}
	if reply.Result.TTL <= 0 {
		return 0, &infra.Error{Code: infra.NotFound, Op: op}
	}
	return time.Duration(reply.Result.TTL) * time.Second, nil
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchReply struct {
	Result struct {
		Canceled bool `json:"canceled"`
		Events   []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// Watch implements infra.KV.
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

func (d *Driver) readWatch(ctx context.Context, op string, body io.ReadCloser, out chan<- infra.Event) {
	defer close(out)
	defer body.Close()
	dec := json.NewDecoder(body)
	for {
		var reply watchReply
		if err := dec.Decode(&reply); err != nil || reply.Result.Canceled {
			if ctx.Err() == nil {
				d.log.Warn("watch ended", zap.String("op", op), zap.Error(err))
			}
			return
		}
		for _, e := range reply.Result.Events {
			ev := infra.Event{Pair: e.KV.pair(), Deleted: e.Type == "DELETE"}
			select {
			case out <- ev:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (d *Driver) read(ctx context.Context, op, path string, req, reply any) error {
	_, err := d.exchange(ctx, op, path, req, reply)
	return err
}

// write reports ErrUnknown when the request may have reached the service.
func (d *Driver) write(ctx context.Context, op, path string, req, reply any) error {
	sent, err := d.exchange(ctx, op, path, req, reply)
	var pe *infra.Error
	if errors.As(err, &pe) && pe.Code == infra.Unavailable && sent {
		pe.Code = infra.Unknown
	}
	return err
}

func (d *Driver) exchange(ctx context.Context, op, path string, req, reply any) (sent bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return false, &infra.Error{Code: infra.Invalid, Op: op, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	resp, err := d.post(ctx, path, body)
	if err != nil {
		var op2 *net.OpError
		dial := errors.As(err, &op2) && op2.Op == "dial"
		return got.Load() && !dial, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, op, data)
	}
	if err != nil {
		return true, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return true, &infra.Error{Code: infra.Unavailable, Op: op, Err: err}
	}
	return true, nil
}

// statusError classifies an answer other than 200. A 4xx answer proves that
// nothing was written; after a 5xx answer, such as a lost leader, the write may
// still be applied.
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
	// Without GetBody the transport can't send a write twice on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return d.client.Do(req)
}
