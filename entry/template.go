package entry

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// maxTemplateSamples bounds how many events at the start of a stream are parsed
// immediately to find a template. The first event often contains only the role.
const maxTemplateSamples = 4

// eventTemplate holds the bytes that the text events of a stream have in common,
// which is everything except the text. Comparing it costs a hundredth of parsing an
// event, and the text needs a thirtieth of an event's memory.
type eventTemplate struct {
	before, after []byte
	samples       int
}

// needsSample reports whether the next event should be parsed to learn the
// template.
func (t *eventTemplate) needsSample() bool { return t.before == nil && t.samples < maxTemplateSamples }

// text returns the text of an event that matches the template, and false for any
// other event.
func (t *eventTemplate) text(raw []byte) ([]byte, bool) {
	if t.before == nil || len(raw) < len(t.before)+len(t.after) || !bytes.HasPrefix(raw, t.before) || !bytes.HasSuffix(raw, t.after) {
		return nil, false
	}
	text := raw[len(t.before) : len(raw)-len(t.after)]
	if isUnescaped(text) {
		return text, true
	}
	// The quotes around the text are part of the template.
	var s string
	if json.Unmarshal(raw[len(t.before)-1:len(raw)-len(t.after)+1], &s) != nil {
		return nil, false
	}
	return []byte(s), true
}

// isUnescaped reports whether the contents of a JSON string equal the text it
// encodes.
func isUnescaped(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

var textKeys = [][]byte{[]byte(`"content":`), []byte(`"text":`)}

// learn sets the template from raw, if raw is a single event with one choice of
// unescaped text.
func (t *eventTemplate) learn(raw []byte) {
	t.samples++
	var e event
	if bytes.Index(raw, []byte("\n\n")) != len(raw)-2 || json.Unmarshal(payload(raw), &e) != nil || len(e.Choices) != 1 {
		return
	}
	c := e.Choices[0]
	text := c.Text
	if c.Delta != nil && c.Delta.Content != nil {
		text = *c.Delta.Content
	}
	if text == "" || c.FinishReason != nil || c.Index != 0 {
		return
	}
	for _, key := range textKeys {
		if bytes.Count(raw, key) != 1 {
			continue
		}
		start := bytes.Index(raw, key) + len(key)
		start += len(raw[start:]) - len(bytes.TrimLeft(raw[start:], " "))
		if quoted := `"` + text + `"`; isUnescaped([]byte(text)) && bytes.HasPrefix(raw[start:], []byte(quoted)) {
			t.before, t.after = raw[:start+1], raw[start+len(quoted)-1:]
			return
		}
	}
}
