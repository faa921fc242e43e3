package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/internal/wait"
)

const (
	// callTime is the time after which a caller gives up a short request.
	callTime = 3 * time.Second
	// shortDeadline is the deadline of short requests.
	shortDeadline = 2500 * time.Millisecond
	// longGap is the mean time between two long requests to a gateway.
	longGap = 200 * time.Millisecond
	// maxIdle bounds the time for which a caller leaves a connection idle before it sends a
	// long request.
	maxIdle = 6 * time.Second
	// slowBodyMin and slowBodyMax bound the time between head and last byte of a slow body.
	slowBodyMin = 100 * time.Millisecond
	slowBodyMax = 1500 * time.Millisecond
)

// request is what a caller sends.
type request struct {
	id, kind, method, path string
	deadline               time.Duration
	// bodyDelay is the time between the head and the last byte.
	bodyDelay time.Duration
	// lasts is how long its run lasts, if the path says so.
	lasts time.Duration
	// credential is usualKey if it is empty.
	credential string
	// model is empty for a request to a plain service.
	model string
}

// result is what a caller sees of a request.
type result struct {
	request
	// incarnation is nil if the test doesn't know which one the connection led to.
	incarnation *incarnation
	// startedAt and sentAt are just before the first and the last byte is written, writtenAt
	// just after the last.
	startedAt, sentAt, writtenAt, endedAt time.Time
	// status is 0 if there was no answer.
	status int
	header http.Header
	body   string
	// err is set unless the answer was complete.
	err error
}

// gaveUp reports whether the caller has ended the request.
func (r result) gaveUp() bool {
	return errors.Is(r.err, os.ErrDeadlineExceeded) || errors.Is(r.err, net.ErrClosed)
}

// connection is a caller's connection to a gateway.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	incarnation *incarnation
}

// dial connects to a gateway.
func (p *process) dial() (*connection, error) {
	before := p.incarnation()
	conn, err := net.DialTimeout("tcp", p.listenAddr, callTime)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, reader: bufio.NewReader(conn), incarnation: before}
	if p.incarnation() != before {
		c.incarnation = nil // it led to the earlier or the later one
	}
	return c, nil
}

// send sends a request, with a body of one byte, and reads the answer. keep is whether the
// connection can carry another request.
func (c *connection) send(r request) (out result, keep bool) {
	out = result{request: r, incarnation: c.incarnation, startedAt: time.Now()}
	resp, err := c.exchange(&out)
	if err == nil {
		out.status, out.header = resp.StatusCode, resp.Header
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.body, keep = string(body), err == nil && !resp.Close
	}
	out.err, out.endedAt = err, time.Now()
	return out, keep
}

// exchange sends a request and reads the head of the answer, which may come before the last
// byte is written.
func (c *connection) exchange(r *result) (*http.Response, error) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nCitrontiller-Request-Id: %s\r\nCitrontiller-Credential: %s\r\n"+
		"Citrontiller-Deadline-Ms: %d\r\nContent-Length: 1\r\n", r.method, r.path, r.id, cmp.Or(r.credential, usualKey), r.deadline.Milliseconds())
	if r.model != "" {
		head += "Citrontiller-Model: " + r.model + "\r\n"
	}
	head += "\r\n"
	if r.bodyDelay > 0 {
		_, _ = io.WriteString(c, head) // an error shows when the answer is read
		time.Sleep(r.bodyDelay)
		head = ""
	}
	r.sentAt = time.Now()
	_, _ = io.WriteString(c, head+"b")
	r.writtenAt = time.Now()
	return http.ReadResponse(c.reader, nil)
}

// caller sends short requests over connections that it keeps.
type caller struct {
	system *system
	kept   map[*process]*connection
}

func newCaller(s *system) *caller { return &caller{system: s, kept: map[*process]*connection{}} }

func (c *caller) close() {
	for _, conn := range c.kept {
		_ = conn.Close()
	}
}

// connect returns a connection to a gateway, a kept one if there is one.
func (c *caller) connect(p *process) (*connection, error) {
	if conn := c.kept[p]; conn != nil {
		delete(c.kept, p)
		return conn, nil
	}
	return p.dial()
}

// call sends one short request and checks the response and the number of runs.
func (c *caller) call(p *process, r request) {
	if out, ok := c.send(p, r); ok {
		c.system.check(out)
	}
}

// send sends one short request. It returns false if the gateway restarts.
func (c *caller) send(p *process, r request) (out result, ok bool) {
	conn, err := c.connect(p)
	if err != nil {
		return result{}, false
	}
	_ = conn.SetDeadline(time.Now().Add(callTime))
	out, keep := conn.send(r)
	if keep {
		c.kept[p] = conn
	} else {
		_ = conn.Close()
	}
	return out, true
}

// shortRequest returns a request of a kind that is run at once.
func shortRequest(n int64, kind string) request {
	r := request{id: fmt.Sprintf("r%d", n), kind: kind, method: http.MethodPost, path: "/" + kind + "/x", deadline: shortDeadline}
	if kind == "read" {
		r.method = http.MethodGet
	}
	return r
}

// takesCalls reports whether callers send requests to a gateway. While the system settles they
// leave out those in a planned stop, as a load balancer does, so that they end soon.
func (s *system) takesCalls(p *process) bool {
	return !s.settling.Load() || p.incarnation().terminatedAt().IsZero()
}

// sendRequests sends random short requests to random gateways until ctx ends.
func (s *system) sendRequests(ctx context.Context, next *atomic.Int64, rng *rand.Rand) {
	c := newCaller(s)
	defer c.close()
	kinds := []string{"book", "read", "stream"}
	for ctx.Err() == nil {
		p := s.processes[rng.IntN(len(s.processes))]
		if s.takesCalls(p) {
			c.call(p, shortRequest(next.Add(1), kinds[rng.IntN(len(kinds))]))
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// longCall is a request that may last longer than a gateway's grace, and its connection.
type longCall struct {
	request
	// kept is whether the connection has carried another request, idle how long it is then
	// idle.
	kept bool
	idle time.Duration
}

// between returns a random duration.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// randomLongCall returns a stream that outlasts the grace, or one of medium length whose
// deadline may be just enough.
func randomLongCall(rng *rand.Rand, n int64) longCall {
	lasts, deadline := between(rng, graceTime+time.Second, graceTime+4*time.Second), longTimeout
	if rng.IntN(3) > 0 {
		lasts = between(rng, 200*time.Millisecond, 4*time.Second)
		if rng.IntN(2) == 0 {
			deadline = lasts + slowBodyMax + time.Second
		}
	}
	c := longCall{kept: rng.IntN(2) == 0, idle: between(rng, 0, maxIdle)}
	c.request = request{id: fmt.Sprintf("l%d", n), kind: "long", method: http.MethodPost, path: "/stream/lasts/" + lasts.String(), lasts: lasts, deadline: deadline}
	if rng.IntN(2) == 0 {
		c.bodyDelay = between(rng, slowBodyMin, slowBodyMax)
	}
	return c
}

// sendLongRequests sends random long requests to a gateway until ctx ends, which cancels
// them.
func (s *system) sendLongRequests(ctx context.Context, p *process, next *atomic.Int64, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		c := randomLongCall(rng, next.Add(1))
		wg.Go(func() { s.callLong(ctx, p, c, shortRequest(next.Add(1), "read")) })
		wait.Sleep(ctx, between(rng, 0, 2*longGap))
	}
}

// callLong sends a long request and checks the result. On a kept connection the request
// before precedes it.
func (s *system) callLong(ctx context.Context, p *process, c longCall, before request) {
	conn, err := p.dial()
	if err != nil {
		return // the gateway restarts
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if c.kept {
		r, keep := conn.send(before)
		s.check(r)
		if !keep || !wait.Sleep(ctx, c.idle) {
			return
		}
	}
	r, _ := conn.send(c.request)
	s.check(r)
}
