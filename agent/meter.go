package agent

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/stream"
)

// usageTailBytes is the length of the part at the end of a response that is
// searched for an engine's usage counters.
const usageTailBytes = 1 << 10

// meter is a Sink that forwards a response and measures its timing and token
// usage.
type meter struct {
	sink          Sink
	ep            *localEndpoint
	prefill       *admit.Prefill
	stream        bool
	status        int
	started       time.Time
	timeToFirst   time.Duration
	lastForwarded time.Time
	parts         int64
	tail          []byte
}

func newMeter(sink Sink, ep *localEndpoint, prefill *admit.Prefill, stream bool) *meter {
	return &meter{sink: sink, ep: ep, prefill: prefill, stream: stream, started: time.Now()}
}

// Head implements Sink.
func (m *meter) Head(ctx context.Context, h stream.Head) error {
	m.status = h.Status
	return m.sink.Head(ctx, h)
}

// Data implements Sink. It measures the gap between tokens from the time at which
// the sink accepted the previous part, so that a slow reader does not lower the
// engine's concurrency limit.
func (m *meter) Data(ctx context.Context, b []byte) error {
	m.parts++
	if m.timeToFirst == 0 {
		m.timeToFirst = time.Since(m.started)
		m.prefill.Done()
	} else if m.stream {
		m.ep.observeTokenGap(time.Since(m.lastForwarded))
	}
	m.tail = append(m.tail, b...)
	if n := len(m.tail) - usageTailBytes; n > 0 {
		m.tail = append(m.tail[:0], m.tail[n:]...)
	}
	err := m.sink.Data(ctx, b)
	m.lastForwarded = time.Now()
	return err
}

// observe records the cost of a complete response. prompt is the estimated
// prompt length in tokens, used if the response does not report it. The result is
// the number of prompt tokens that the engine reported as cached, or -1 if the
// response does not report it or is an error.
func (m *meter) observe(service, account string, prompt int64) (cached int64) {
	if m.status/100 != 2 {
		return -1 // the cost of an error does not predict that of a successful response
	}
	cached, known := jsonCounter(m.tail, `"cached_tokens":`)
	if n, ok := jsonCounter(m.tail, `"prompt_tokens":`); ok {
		prompt = n
	}
	output, ok := jsonCounter(m.tail, `"completion_tokens":`)
	if !ok {
		output = m.parts
	}
	o := admit.Observation{ComputedTokens: prompt - cached, OutputTokens: output, Queued: m.prefill.Queued, TotalTime: time.Since(m.started)}
	if m.stream {
		o.TimeToFirstToken = m.timeToFirst
	}
	m.ep.predictor.Observe(service, account, o)
	if !known {
		return -1
	}
	return cached
}

// jsonCounter returns the integer after the last occurrence of a JSON key. The
// key is given with its quotes and colon.
func jsonCounter(b []byte, key string) (int64, bool) {
	i := bytes.LastIndex(b, []byte(key))
	if i < 0 {
		return 0, false
	}
	digits := bytes.TrimLeft(b[i+len(key):], " ")
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.ParseInt(string(digits[:end]), 10, 64)
	return n, err == nil
}
