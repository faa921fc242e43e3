package entry

import (
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
	// maxTranscriptBytes bounds the response text that is kept for a resume. A
	// longer response ends with an error event if its stream is interrupted.
	maxTranscriptBytes = 1 << 20
	// maxUnparsedBytes bounds the delivered events that are kept before they are
	// parsed. Most streams end earlier and are never parsed.
	maxUnparsedBytes = 64 << 10
)

var (
	dataPrefix      = []byte("data:")
	doneMarker      = []byte("[DONE]")
	errNotPlainText = errors.New("the response is not plain text")
	errTooLong      = errors.New("the response is too long to resume")
	errOtherWeights = errors.New("the continuation comes from different weights")
	errInvalidEvent = errors.New("the stream contains an event that can't be parsed")
)

// resumer reads a stream and continues it on another endpoint when it is
// interrupted or silent.
type resumer struct {
	server     *Server
	request    *Request
	route      *route.Request
	resp       *Response
	transcript transcript
	// resumes counts the continuations that the stream has switched to.
	resumes int
	// deadline bounds the whole request, continuations included.
	deadline time.Time
	// gaps determines when the stream counts as silent; moves counts the moves
	// started for that reason.
	gaps  tokenGaps
	moves int
	// attempt, next and close are those of the attempt that is being read.
	attempt *attempt
	next    func(context.Context) ([]byte, error)
	close   func()
}

// withResume makes an event stream continue on another endpoint if its endpoint
// fails.
func (s *Server) withResume(ctx context.Context, r *Request, rr *route.Request, resp *Response) *Response {
	if !r.resumable || resp.attempt == nil || !resp.events() || resp.Head.Status != http.StatusOK {
		return resp
	}
	// The rest of the response must come from the same weights.
	pinned := *rr
	pinned.Version = resp.version
	m := &resumer{server: s, request: r, route: &pinned, resp: resp, attempt: resp.attempt, next: resp.next, close: resp.close,
		gaps: tokenGaps{service: s.budgetsOf(r.Service).longestGap}}
	m.deadline, _ = ctx.Deadline()
	resp.next = m.read
	// Events of a continuation may be dropped, so that only those of the first
	// attempt are certain to reach the caller.
	resp.buffered = func() bool { return m.resumes == 0 && m.attempt.buffered() }
	resp.close = func() { m.close() }
	return resp
}

// read returns the next events for the caller, or nil at the end of the stream.
func (m *resumer) read(ctx context.Context) ([]byte, error) {
	for {
		b, err := m.await(ctx)
		if err == nil && m.resumes > 0 && !m.transcript.sameWeights(b) {
			err = errOtherWeights
		}
		switch {
		case err != nil:
			if b, err = m.resume(ctx, err); err != nil || b != nil {
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
		m.transcript.add(b)
		return b, nil
	}
}

// resume handles an interrupted stream. It returns the final [DONE] event if only
// that is missing, and nil if the stream was complete or now continues on another
// endpoint. It returns an error if the stream can't be continued, and cause itself
// if ctx has ended.
func (m *resumer) resume(ctx context.Context, cause error) ([]byte, error) {
	m.transcript.parse()
	if ctx.Err() != nil {
		return nil, cause
	}
	if m.transcript.err == nil && m.transcript.done {
		m.next = func(context.Context) ([]byte, error) { return nil, nil }
		return nil, nil
	}
	if m.transcript.err == nil && m.transcript.finished {
		m.transcript.done = true
		m.next = func(context.Context) ([]byte, error) { return nil, nil }
		return []byte("data: [DONE]\n\n"), nil
	}
	reason := m.transcript.err
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
	errNoAttemptsLeft = errors.New("no attempts are left")
	errNoContinuation = errors.New("no endpoint continued the stream")
)

// orNil converts e to an error that is nil if e is nil.
func (e *Error) orNil() error {
	if e == nil {
		return nil
	}
	return e
}

// reopen closes the interrupted attempt and starts its continuation on another
// endpoint.
func (m *resumer) reopen(ctx context.Context) error {
	if m.resumes+1 >= m.request.Document.Budgets.MaxAttemptsPerRequest {
		return errNoAttemptsLeft
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
	m.switchTo(resp)
	return nil
}

// continuation returns a function that runs the rest of the response on another
// endpoint and returns at its first token. The function does not use mutable state
// of the resumer, so that the old stream can be read concurrently. Only the given
// endpoints are excluded, because those that refused the request earlier may accept
// it now.
func (m *resumer) continuation(exclude map[string]bool) (func(context.Context) (*Response, error), error) {
	body, err := m.request.continuationBody(string(m.transcript.text))
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

// switchTo makes the resumer read from a continuation.
func (m *resumer) switchTo(resp *Response) {
	m.resumes++
	m.server.metrics.resumes.WithLabelValues(m.request.Service).Inc()
	m.server.log.Info("resume", zap.String("request", m.request.ID), zap.String("from", m.resp.Endpoint),
		zap.String("to", resp.Endpoint), zap.Int("bytes", len(m.transcript.text)))
	m.resp.Endpoint, m.attempt, m.next, m.close = resp.Endpoint, resp.attempt, resp.next, resp.close
	m.gaps.reset()
}

// continuationBody returns a request body that makes an engine continue the
// response after text.
func (r *Request) continuationBody(text string) ([]byte, error) {
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

// rewrite sets the id of the first stream in the events of a continuation and drops
// events that only repeat the role.
func (m *resumer) rewrite(raw []byte) []byte {
	var out []byte
	for rawEvent := range eventsOf(raw) {
		out = append(out, m.rewriteEvent(rawEvent)...)
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
		if m.stripRole(choices) {
			return nil
		}
		if b, err := json.Marshal(choices); err == nil {
			fields["choices"] = b
		}
	}
	if m.transcript.id != "" {
		if id, err := json.Marshal(m.transcript.id); err == nil {
			fields["id"] = id
		}
	}
	b, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return append(append([]byte("data: "), b...), "\n\n"...)
}

// stripRole removes the role from chat deltas and reports whether they contained
// nothing else.
func (m *resumer) stripRole(choices []map[string]json.RawMessage) bool {
	onlyRole := true
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
			onlyRole = false
		}
		if b, err := json.Marshal(delta); err == nil {
			c["delta"] = b
		}
	}
	return onlyRole
}
