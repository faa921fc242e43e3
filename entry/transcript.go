package entry

import (
	"bytes"
	"encoding/json"
)

// event holds the fields that the entry reads from one streamed chunk.
type event struct {
	ID string `json:"id"`
	// Fingerprint identifies the weights; engines may omit it.
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Index int `json:"index"`
		// Delta is set in chunks of chat completions, Text in those of
		// completions.
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

// payload returns the data of a server-sent event, or nil if it has none.
func payload(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// hasToken reports whether a piece of a completion's event stream contains more
// than the role.
func hasToken(raw []byte) bool {
	for rawEvent := range eventsOf(raw) {
		data := payload(rawEvent)
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

// transcript records the part of a streamed response that the caller has received.
type transcript struct {
	template      eventTemplate
	unparsed      [][]byte
	unparsedBytes int
	text          []byte
	// id is the id of the first stream, which events of continuations also get.
	id string
	// fingerprint is from the first event that has one.
	fingerprint string
	// finished is set after a finish reason, done after [DONE].
	finished, done bool
	// err is the reason why the response can't be resumed.
	err error
}

// add records a delivered event. It keeps a reference to raw, unless raw matches the
// template and only its text is kept.
func (t *transcript) add(raw []byte) {
	if len(t.unparsed) == 0 {
		if text, ok := t.template.text(raw); ok {
			t.append(text)
			return
		}
	}
	t.unparsed = append(t.unparsed, raw)
	t.unparsedBytes += len(raw)
	if t.unparsedBytes > maxUnparsedBytes || t.template.needsSample() {
		t.parse()
		t.template.learn(raw)
	}
}

// append appends text, up to maxTranscriptBytes in total.
func (t *transcript) append(text []byte) {
	t.text = append(t.text, text...)
	if len(t.text) > maxTranscriptBytes {
		t.text, t.err = nil, errTooLong
	}
}

// parse parses the unparsed events and appends their text.
func (t *transcript) parse() {
	for _, raw := range t.unparsed {
		for rawEvent := range eventsOf(raw) {
			t.parseEvent(payload(rawEvent))
		}
	}
	t.unparsed, t.unparsedBytes = nil, 0
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
		t.err = errInvalidEvent
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
				t.err = errNotPlainText
			}
			if d.Content != nil {
				text = *d.Content
			}
		}
		if c.Index != 0 {
			t.err = errNotPlainText
		}
		t.append([]byte(text))
		t.finished = t.finished || c.FinishReason != nil
	}
}

// sameWeights reports whether events come from the same weights as the earlier
// ones. The check is needed because engines and their agents report a change of
// weights with a delay.
func (t *transcript) sameWeights(raw []byte) bool {
	for rawEvent := range eventsOf(raw) {
		var e event
		if json.Unmarshal(payload(rawEvent), &e) == nil && e.Fingerprint != "" && t.fingerprint != "" && e.Fingerprint != t.fingerprint {
			return false
		}
	}
	return true
}

// eventsOf iterates over the events in a piece of an event stream.
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
