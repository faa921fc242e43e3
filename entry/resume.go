package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/route"
)

const (
	// maxPartial bounds the answer text that is kept for a resume, in bytes.
	// A longer answer ends with an error event when its stream is cut.
	maxPartial = 1 << 20
	// maxUnparsed is how many bytes of delivered events are kept before they
	// are parsed. Most streams end earlier and are never parsed.
	maxUnparsed = 64 << 10
)

// event is what the entry reads of one streamed chunk.
type event struct {
	ID string `json:"id"`
	// Fingerprint identifies the weights; engines may leave it out.
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Index int `json:"index"`
		// Delta is set in chat chunks, Text in those of plain completions.
		Delta        *eventDelta `json:"delta"`
		Text         string      `json:"text"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
}

type eventDelta struct {
	Content   *string         `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
	Refusal   *string         `json:"refusal"`
	Reasoning *string         `json:"reasoning_content"`
}

var (
	dataPrefix  = []byte("data:")
	doneMarker  = []byte("[DONE]")
	errNotPlain = errors.New("the answer is not plain text")
	errTooLong  = errors.New("the answer is too long to resume")
	errWeights  = errors.New("the continuation has other weights")
	errNotEvent = errors.New("the stream holds an event that is not understood")
)

// payload returns the data of a server-sent event, nil when it has none.
func payload(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// hasToken reports whether a piece of a completion's event stream holds more
// than the announcement of the role.
func hasToken(raw []byte) bool {
	for one := range eventsOf(raw) {
		data := payload(one)
		var e event
		if data == nil || json.Unmarshal(data, &e) != nil {
			return true
		}
		for _, c := range e.Choices {
			if c.Text != "" || c.FinishReason != nil || c.Delta == nil || c.Delta.Content == nil || *c.Delta.Content != "" {
				return true
			}
		}
	}
	return false
}

// transcript is what the caller has received of a streamed answer.
type transcript struct {
	frame    frame
	unparsed [][]byte
	size     int
	text     []byte
	id       string
	// fingerprint is that of the first event that has one.
	fingerprint string
	// finished is true after a finish reason, done after [DONE].
	finished, done bool
	err            error
}

// add records a delivered event. It keeps a reference to raw, unless raw differs
// from an earlier event by its text alone.
func (t *transcript) add(raw []byte) {
	if len(t.unparsed) == 0 {
		if text, ok := t.frame.text(raw); ok {
			t.append(text)
			return
		}
	}
	t.unparsed = append(t.unparsed, raw)
	t.size += len(raw)
	if t.size > maxUnparsed || t.frame.wanted() {
		t.parse()
		t.frame.learn(raw)
	}
}

// append adds text within the limit.
func (t *transcript) append(text []byte) {
	t.text = append(t.text, text...)
	if len(t.text) > maxPartial {
		t.text, t.err = nil, errTooLong
	}
}

// parse moves the unparsed events into the text.
func (t *transcript) parse() {
	for _, raw := range t.unparsed {
		for one := range eventsOf(raw) {
			t.parseEvent(payload(one))
		}
	}
	t.unparsed, t.size = nil, 0
}

func (t *transcript) parseEvent(data []byte) {
	if data == nil || t.err != nil {
		return
	}
	if bytes.Equal(data, doneMarker) {
		t.done = true
		return
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		t.err = errNotEvent
		return
	}
	if t.id == "" {
		t.id = e.ID
	}
	if t.fingerprint == "" {
		t.fingerprint = e.Fingerprint
	}
	for _, c := range e.Choices {
		text := c.Text
		if d := c.Delta; d != nil {
			if len(d.ToolCalls) > 0 && string(d.ToolCalls) != "null" || d.Refusal != nil || d.Reasoning != nil {
				t.err = errNotPlain
			}
			if d.Content != nil {
				text = *d.Content
			}
		}
		if c.Index != 0 {
			t.err = errNotPlain
		}
		t.append([]byte(text))
		t.finished = t.finished || c.FinishReason != nil
	}
}

// continues reports whether events come from the same weights as those before.
// Engines and their agents report a change of weights with a lag.
func (t *transcript) continues(raw []byte) bool {
	for one := range eventsOf(raw) {
		var e event
		if json.Unmarshal(payload(one), &e) == nil && e.Fingerprint != "" && t.fingerprint != "" && e.Fingerprint != t.fingerprint {
			return false
		}
	}
	return true
}

// eventsOf yields the events of a piece of an event stream.
func eventsOf(raw []byte) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(raw) > 0 {
			end := bytes.Index(raw, []byte("\n\n"))
			if end < 0 {
				yield(raw)
				return
			}
			if !yield(raw[:end+2]) {
				return
			}
			raw = raw[end+2:]
		}
	}
}

// resumer continues a cut stream on another endpoint.
type resumer struct {
	server  *Server
	request *Request
	route   *route.Request
	resp    *Response
	seen    transcript
	resumes int
	// deadline is the request's.
	deadline time.Time
	// gaps and moves serve the prediction of silence and the bound on moves.
	gaps  gaps
	moves int
	// attempt, next and close belong to the attempt that is being read.
	attempt *attempt
	next    func(context.Context) ([]byte, error)
	close   func()
}

// resuming makes an event stream survive the loss of its endpoint.
func (s *Server) resuming(ctx context.Context, r *Request, rr *route.Request, resp *Response) *Response {
	if !r.resumable || resp.attempt == nil || !resp.events() || resp.Head.Status != http.StatusOK {
		return resp
	}
	// The rest of the answer must come from the same weights.
	pinned := *rr
	pinned.Version = resp.version
	m := &resumer{server: s, request: r, route: &pinned, resp: resp, attempt: resp.attempt, next: resp.next, close: resp.close,
		gaps: gaps{service: s.budgetsOf(r.Service).gaps}}
	m.deadline, _ = ctx.Deadline()
	resp.next = m.read
	// A continuation's events may be dropped, so that only the first attempt's
	// are known to reach the caller.
	resp.waiting = func() bool { return m.resumes == 0 && m.attempt.waiting() }
	resp.close = func() { m.close() }
	return resp
}

// read returns the next events for the caller.
func (m *resumer) read(ctx context.Context) ([]byte, error) {
	for {
		b, err := m.await(ctx)
		if err == nil && m.resumes > 0 && !m.seen.continues(b) {
			err = errWeights
		}
		switch {
		case err != nil:
			if b, err = m.recover(ctx, err); err != nil || b != nil {
				return b, err
			}
			continue
		case b == nil:
			return nil, nil
		}
		if m.resumes > 0 {
			if b = m.rewrite(b); len(b) == 0 {
				continue
			}
		}
		m.seen.add(b)
		return b, nil
	}
}

// recover continues on another endpoint. It returns bytes when only the
// closing event was missing, and the cause when the stream can't continue.
func (m *resumer) recover(ctx context.Context, cause error) ([]byte, error) {
	m.seen.parse()
	if ctx.Err() != nil {
		return nil, cause
	}
	if m.seen.err == nil && m.seen.done {
		m.next = func(context.Context) ([]byte, error) { return nil, nil }
		return nil, nil
	}
	if m.seen.err == nil && m.seen.finished {
		m.seen.done = true
		m.next = func(context.Context) ([]byte, error) { return nil, nil }
		return []byte("data: [DONE]\n\n"), nil
	}
	reason := m.seen.err
	if reason == nil {
		reason = m.reopen(ctx)
	}
	if reason == nil {
		return nil, nil
	}
	m.server.log.Warn("resume failed", zap.String("request", m.request.ID), zap.Int("resumes", m.resumes), zap.Error(reason))
	return nil, &Error{Status: http.StatusBadGateway, Code: CodeStreamBroken, Run: call.Ran,
		Message: "the answer was cut off and could not be continued", Err: cause}
}

var (
	errBudget         = errors.New("no attempts are left")
	errNoContinuation = errors.New("no endpoint continued the stream")
)

// orNil avoids an error interface that holds a nil pointer.
func (e *Error) orNil() error {
	if e == nil {
		return nil
	}
	return e
}

// reopen starts the continuation of a cut stream at the next candidate.
func (m *resumer) reopen(ctx context.Context) error {
	if m.resumes+1 >= m.request.Document.Budgets.MaxAttemptsPerRequest {
		return errBudget
	}
	m.close()
	m.close = func() {}
	run, err := m.continuation(map[string]bool{m.resp.Endpoint: true})
	if err != nil {
		return err
	}
	resp, err := run(ctx)
	if err != nil {
		return err
	}
	m.adopt(resp)
	return nil
}

// continuation returns a function that runs the rest of the answer on another
// endpoint and returns with its first token. The function doesn't use what the
// resumer changes, so that the old stream can be read meanwhile. Endpoints that
// refused the request earlier may take it by now; only the given ones are avoided.
func (m *resumer) continuation(exclude map[string]bool) (func(context.Context) (*Response, error), error) {
	body, err := m.request.continued(string(m.seen.text))
	if err != nil {
		return nil, err
	}
	next, rr := *m.request, *m.route
	next.Body, rr.Exclude = body, exclude
	s, deadline := m.server, m.deadline
	return func(ctx context.Context) (*Response, error) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		resp, rerr := s.newRace(&next, &rr).run(ctx)
		if resp == nil {
			cancel()
			return nil, errors.Join(errNoContinuation, rerr.orNil())
		}
		resp.close = closeBoth(resp.close, cancel)
		if resp.Head.Status != http.StatusOK || !resp.events() {
			resp.close()
			return nil, errNoContinuation
		}
		return resp, nil
	}, nil
}

// adopt reads on from a continuation.
func (m *resumer) adopt(resp *Response) {
	m.resumes++
	m.server.metrics.resumes.WithLabelValues(m.request.Service).Inc()
	m.server.log.Info("resume", zap.String("request", m.request.ID), zap.String("from", m.resp.Endpoint),
		zap.String("to", resp.Endpoint), zap.Int("bytes", len(m.seen.text)))
	m.resp.Endpoint, m.attempt, m.next, m.close = resp.Endpoint, resp.attempt, resp.next, resp.close
	m.gaps.restart()
}

// continued returns the request body that continues the answer after text.
func (r *Request) continued(text string) ([]byte, error) {
	f, err := jsonFields(r.Body)
	if err != nil || text == "" {
		return r.Body, err
	}
	if _, chat := f["messages"]; !chat {
		var prompt string
		if err := json.Unmarshal(f["prompt"], &prompt); err != nil {
			return nil, err
		}
		if f["prompt"], err = json.Marshal(prompt + text); err != nil {
			return nil, err
		}
		return json.Marshal(f)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(f["messages"], &messages); err != nil {
		return nil, err
	}
	partial, err := json.Marshal(partialMessage{"assistant", text})
	if err != nil {
		return nil, err
	}
	if f["messages"], err = json.Marshal(append(messages, partial)); err != nil {
		return nil, err
	}
	f["continue_final_message"] = json.RawMessage("true")
	f["add_generation_prompt"] = json.RawMessage("false")
	return json.Marshal(f)
}

type partialMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// rewrite gives events of a continuation the id of the first stream and drops
// those that only repeat the role.
func (m *resumer) rewrite(raw []byte) []byte {
	var out []byte
	for one := range eventsOf(raw) {
		out = append(out, m.rewriteEvent(one)...)
	}
	return out
}

func (m *resumer) rewriteEvent(raw []byte) []byte {
	data := payload(raw)
	var fields map[string]json.RawMessage
	if data == nil || json.Unmarshal(data, &fields) != nil {
		return raw
	}
	var choices []map[string]json.RawMessage
	if json.Unmarshal(fields["choices"], &choices) == nil && len(choices) > 0 {
		if m.roleOnly(choices) {
			return nil
		}
		if b, err := json.Marshal(choices); err == nil {
			fields["choices"] = b
		}
	}
	if m.seen.id != "" {
		if id, err := json.Marshal(m.seen.id); err == nil {
			fields["id"] = id
		}
	}
	b, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return append(append([]byte("data: "), b...), "\n\n"...)
}

// roleOnly removes the role from chat deltas and reports whether nothing else
// is in them.
func (m *resumer) roleOnly(choices []map[string]json.RawMessage) bool {
	only := true
	for _, c := range choices {
		var delta map[string]json.RawMessage
		if json.Unmarshal(c["delta"], &delta) != nil || delta == nil {
			return false
		}
		_, role := delta["role"]
		delete(delta, "role")
		finish := string(c["finish_reason"])
		content := string(delta["content"])
		if !role || (finish != "" && finish != "null") || (content != "" && content != `""` && content != "null") {
			only = false
		}
		if b, err := json.Marshal(delta); err == nil {
			c["delta"] = b
		}
	}
	return only
}
