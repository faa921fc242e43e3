package entry

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// maxFrameTries is how many events at the start of a stream are parsed at once
// in search of a frame. The first one often only announces the role.
const maxFrameTries = 4

// frame is what the text events of a stream have in common: all bytes but the
// text. Comparing it costs a hundredth of parsing an event, and the text needs a
// thirtieth of an event's memory.
type frame struct {
	before, after []byte
	tries         int
}

// wanted says whether the next event should be parsed to learn the frame.
func (f *frame) wanted() bool { return f.before == nil && f.tries < maxFrameTries }

// text returns the text of an event that differs from the learned one by its
// text alone.
func (f *frame) text(raw []byte) ([]byte, bool) {
	if f.before == nil || len(raw) < len(f.before)+len(f.after) || !bytes.HasPrefix(raw, f.before) || !bytes.HasSuffix(raw, f.after) {
		return nil, false
	}
	text := raw[len(f.before) : len(raw)-len(f.after)]
	if plain(text) {
		return text, true
	}
	// The quotes around the text are part of the frame.
	var s string
	if json.Unmarshal(raw[len(f.before)-1:len(raw)-len(f.after)+1], &s) != nil {
		return nil, false
	}
	return []byte(s), true
}

// plain reports whether a JSON string stands for its own bytes.
func plain(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

var textKeys = [][]byte{[]byte(`"content":`), []byte(`"text":`)}

// learn takes the frame from a single event with one choice of plain text.
func (f *frame) learn(raw []byte) {
	f.tries++
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
		if quoted := `"` + text + `"`; plain([]byte(text)) && bytes.HasPrefix(raw[start:], []byte(quoted)) {
			f.before, f.after = raw[:start+1], raw[start+len(quoted)-1:]
			return
		}
	}
}
