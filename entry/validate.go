package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	// maxJSONDepth bounds the nesting of a body; real requests with tools stay
	// below 20.
	maxJSONDepth = 64
	// maxTokenLimit is the largest max_tokens accepted. No model in use has a
	// context of more than a million tokens.
	maxTokenLimit = 1 << 20
	// maxChoices is the largest n that the OpenAI API accepts.
	maxChoices = 128
)

// jsonFields splits a JSON object into its top-level fields. Names are case
// sensitive, and duplicates are an error: otherwise the entry, the driver and the
// engine could use different values of a field.
func jsonFields(body []byte) (map[string]json.RawMessage, error) {
	if nestingDepth(body) > maxJSONDepth {
		return nil, fmt.Errorf("nested deeper than %d levels", maxJSONDepth)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	start, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if start != json.Delim('{') {
		return nil, fmt.Errorf("expected an object")
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name := t.(string) // the decoder accepts only strings as keys
		if _, ok := fields[name]; ok {
			return nil, fmt.Errorf("field %q occurs twice", name)
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, fmt.Errorf("field %q: %w", name, err)
		}
		fields[name] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	if dec.More() {
		return nil, fmt.Errorf("data after the object")
	}
	return fields, nil
}

// nestingDepth returns the maximum nesting depth of brackets outside strings.
func nestingDepth(body []byte) int {
	level, deepest, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// decodeField decodes one field into v. It leaves v unchanged if the field is absent
// or null.
func decodeField(fields map[string]json.RawMessage, name string, v any) error {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "%s has the wrong type: %v", name, err)
	}
	return nil
}

// positiveInt decodes an integer field between 1 and limit. It returns 0 if the field
// is absent or null.
func positiveInt(fields map[string]json.RawMessage, name string, limit int64) (int64, error) {
	var v *int64
	if err := decodeField(fields, name, &v); err != nil || v == nil {
		return 0, err
	}
	if *v < 1 || *v > limit {
		return 0, invalid(http.StatusBadRequest, CodeInvalidRequest, "%s is %d, allowed: 1 to %d", name, *v, limit)
	}
	return *v, nil
}

// parseCompletion parses the fields of a completion request that the entry uses. It
// marks the request as idempotent.
func (r *Request) parseCompletion(chat bool) error {
	f, err := jsonFields(r.Body)
	if err != nil {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "the body is not valid JSON for this call: %v", err)
	}
	if err := decodeField(f, "model", &r.Model); err != nil {
		return err
	}
	if r.Model == "" {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "model is missing")
	}
	if err := decodeField(f, "stream", &r.Stream); err != nil {
		return err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, err := positiveInt(f, name, maxTokenLimit)
		if err != nil {
			return err
		}
		r.MaxTokens = max(r.MaxTokens, n)
	}
	choices, err := positiveInt(f, "n", maxChoices)
	if err != nil {
		return err
	}
	r.Idempotent = true
	r.resumable = r.Stream && choices <= 1 && isResumable(f)
	return r.parsePrompt(f, chat)
}

// parsePrompt sets the segments of the prompt: one per message of a chat, or the
// whole prompt.
func (r *Request) parsePrompt(f map[string]json.RawMessage, chat bool) error {
	if !chat {
		if len(f["prompt"]) == 0 || string(f["prompt"]) == "null" {
			return invalid(http.StatusBadRequest, CodeInvalidRequest, "prompt is missing")
		}
		r.Segments = [][]byte{f["prompt"]}
		r.resumable = r.resumable && f["prompt"][0] == '"'
		return nil
	}
	var messages []json.RawMessage
	if err := decodeField(f, "messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "messages is missing or empty")
	}
	for i, m := range messages {
		if m[0] != '{' {
			return invalid(http.StatusBadRequest, CodeInvalidRequest, "messages[%d] is not an object", i)
		}
		r.Segments = append(r.Segments, m)
	}
	return nil
}

// unresumableFields are fields whose effect on a partial response can't be
// transferred to another engine.
var unresumableFields = []string{"tools", "functions", "logprobs", "top_logprobs", "response_format", "echo", "suffix",
	"best_of", "audio", "continue_final_message"}

// isResumable reports whether none of unresumableFields is set.
func isResumable(f map[string]json.RawMessage) bool {
	for _, name := range unresumableFields {
		switch string(f[name]) {
		case "", "null", "false", "[]":
		default:
			return false
		}
	}
	return true
}
