// Package exchange sends HTTP requests to endpoints. Its errors distinguish failures
// that prove that a request was not run from those that don't.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/internal/httpclient"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/stream"
)

const (
	// bodyBufferBytes is the largest part of a body that is forwarded at once.
	bodyBufferBytes = 16 << 10
	// lineBufferBytes is the size of the buffer for splitting an event stream into
	// lines. Events are a few hundred bytes; longer lines take several reads.
	lineBufferBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// Pools of buffers. An agent has hundreds of open streams, and a buffer allocated for
// each would be most of its memory.
var (
	bodyBuffers = sync.Pool{New: func() any { return new([bodyBufferBytes]byte) }}
	lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBufferBytes) }}
)

// doneEvent is the line that ends an OpenAI event stream.
var doneEvent = []byte("data: [DONE]")

// Client sends requests to endpoints.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection per request, because http.Transport retries a
	// request with an Idempotency-Key header that failed on a reused connection.
	unpooled *http.Client
}

// New returns a client that opens connections with the dialer of the settings.
func New(s kernel.Settings) *Client {
	pooled := &httpclient.Transport{Transport: &http.Transport{DialContext: s.DialContext(), MaxIdleConnsPerHost: 64, DisableCompression: true}, SendOnce: true}
	unpooled := &httpclient.Transport{Transport: &http.Transport{DialContext: s.DialContext(), DisableKeepAlives: true, DisableCompression: true}, SendOnce: true}
	return &Client{pooled: httpclient.NewClient(pooled), unpooled: httpclient.NewClient(unpooled)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Get sends a GET request to an endpoint.
func (c *Client) Get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.pooled.Do(req)
}

// Post sends a POST request to an endpoint.
func (c *Client) Post(ctx context.Context, url, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", contentType)
	return c.pooled.Do(req)
}

// Do sends a request and forwards the response to the sink. Errors are of type
// *agent.DriverError or returned by the sink.
func (c *Client) Do(ctx context.Context, ep agent.Endpoint, r *agent.Request, body []byte, sink agent.Sink) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// The request may reach the endpoint as soon as it is assigned a connection,
		// before the trace reports a write.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, "http://"+ep.Address+r.Path, bytes.NewReader(body))
	if err != nil {
		return &agent.DriverError{Code: agent.CodeProtocol, Run: call.NotRun, Err: err}
	}
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(requestIDHeader, r.ID)
	client := c.pooled
	if !r.Idempotent {
		client = c.unpooled
		// Without GetBody the transport can't resend the body.
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendError(ctx, err, sent.Load())
	}
	defer resp.Body.Close()
	if err := checkRequestID(r.ID, resp.Header); err != nil {
		// If a pooled connection returns the response to another request, its later
		// responses don't match their requests either.
		c.pooled.CloseIdleConnections()
		return err
	}
	return relay(ctx, resp, sink)
}

// requestIDHeader is the header of the request id. Endpoints that support it return
// it in the response.
const requestIDHeader = "X-Request-Id"

// checkRequestID returns an error if the response has the id of another request.
// Whether the endpoint ran this request is then unknown.
func checkRequestID(id string, h http.Header) error {
	for _, got := range h.Values(requestIDHeader) {
		if got != id {
			return &agent.DriverError{Code: agent.CodeProtocol, Run: call.Unknown,
				Err: fmt.Errorf("received the response to request %q instead of %q", got, id)}
		}
	}
	return nil
}

// sendError returns the error for a failure before the response header. A failed dial
// alone doesn't prove that the request was not run: the transport also dials after a
// pooled connection broke.
func sendError(ctx context.Context, err error, sent bool) error {
	run, code := call.Unknown, agent.CodeBroken
	if !sent {
		run, code = call.NotRun, agent.CodeConnect
	}
	if ctx.Err() != nil {
		code = agent.CodeCancelled
	}
	return &agent.DriverError{Code: code, Run: run, Err: err}
}

// hopByHop are the headers that apply to one connection only and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// relay forwards a response to the sink.
func relay(ctx context.Context, resp *http.Response, sink agent.Sink) error {
	head := stream.Head{Status: resp.StatusCode}
	for name, values := range resp.Header {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			head.Headers = append(head.Headers, stream.Header{Name: name, Value: v})
		}
	}
	if err := sink.Head(ctx, head); err != nil {
		return err
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return relayEvents(ctx, resp.Body, sink)
	}
	return relayBody(ctx, resp.Body, sink)
}

func relayBody(ctx context.Context, body io.Reader, sink agent.Sink) error {
	buf := bodyBuffers.Get().(*[bodyBufferBytes]byte)
	defer bodyBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if err := sink.Data(ctx, bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return readError(ctx, err)
		}
	}
}

// relayEvents forwards server-sent events. It forwards only complete events, so that
// an error event never follows a partial one. A stream that ends without doneEvent is
// reported as truncated.
func relayEvents(ctx context.Context, body io.Reader, sink agent.Sink) error {
	r := lineReaders.Get().(*bufio.Reader)
	r.Reset(body)
	defer func() {
		r.Reset(nil)
		lineReaders.Put(r)
	}()
	var event []byte
	lineStart := 0 // offset of the current line in event
	done := false
	for {
		fragment, err := r.ReadSlice('\n')
		event = append(event, fragment...)
		if len(event) > maxEventBytes {
			return &agent.DriverError{Code: agent.CodeProtocol, Run: call.Ran, Err: fmt.Errorf("event exceeds %d bytes", maxEventBytes)}
		}
		switch {
		case err == nil:
			line := bytes.TrimRight(event[lineStart:], "\r\n")
			lineStart = len(event)
			done = done || bytes.Equal(line, doneEvent)
			if len(line) == 0 {
				if err := sink.Data(ctx, event); err != nil {
					return err
				}
				event, lineStart = nil, 0
			}
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && done:
			return nil
		case errors.Is(err, io.EOF):
			return &agent.DriverError{Code: agent.CodeTruncated, Run: call.Ran, Err: errors.New("event stream ended without [DONE]")}
		default:
			return readError(ctx, err)
		}
	}
}

// readError returns the error for a failure while the body is read.
func readError(ctx context.Context, err error) error {
	code := agent.CodeTruncated
	if ctx.Err() != nil {
		code = agent.CodeCancelled
	}
	return &agent.DriverError{Code: code, Run: call.Ran, Err: err}
}
