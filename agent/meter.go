package agent

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/stream"
)

// usageTail is the end of a response that holds an engine's usage counters.
const usageTail = 1 << 10

// meter passes a response on and observes its cost.
type meter struct {
	sink    Sink
	ep      *local
	prefill *admit.Prefill
	stream  bool
	status  int
	started time.Time
	first   time.Duration
	last    time.Time
	parts   int64
	tail    []byte
}

func newMeter(sink Sink, ep *local, prefill *admit.Prefill, stream bool) *meter {
	return &meter{sink: sink, ep: ep, prefill: prefill, stream: stream, started: time.Now()}
}

// Head implements Sink.
func (m *meter) Head(ctx context.Context, h stream.Head) error {
	m.status = h.Status
	return m.sink.Head(ctx, h)
}

// Data implements Sink. The gap between tokens is counted from the moment the
// sink took the previous one: a slow reader must not lower the engine's limit.
func (m *meter) Data(ctx context.Context, b []byte) error {
	m.parts++
	if m.first == 0 {
		m.first = time.Since(m.started)
		m.prefill.Done()
	} else if m.stream {
		m.ep.gap(time.Since(m.last))
	}
	m.tail = append(m.tail, b...)
	if n := len(m.tail) - usageTail; n > 0 {
		m.tail = append(m.tail[:0], m.tail[n:]...)
	}
	err := m.sink.Data(ctx, b)
	m.last = time.Now()
	return err
}

// observe records a complete response with a prompt of the given length. It
// returns the tokens that the engine took from its cache, -1 when unknown.
func (m *meter) observe(service, account string, prompt int64) (cached int64) {
	if m.status/100 != 2 {
		return -1 // an error's cost says nothing about answers
	}
	cached, known := counter(m.tail, `"cached_tokens":`)
	if n, ok := counter(m.tail, `"prompt_tokens":`); ok {
		prompt = n
	}
	output, ok := counter(m.tail, `"completion_tokens":`)
	if !ok {
		output = m.parts
	}
	o := admit.Observation{ComputedTokens: prompt - cached, OutputTokens: output, Queued: m.prefill.Queued, TotalTime: time.Since(m.started)}
	if m.stream {
		o.TimeToFirstToken = m.first
	}
	m.ep.predictor.Observe(service, account, o)
	if !known {
		return -1
	}
	return cached
}

// counter returns the number after the last occurrence of a JSON key.
func counter(b []byte, key string) (int64, bool) {
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
