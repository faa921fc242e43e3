package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	// maxJSONDepth bounds nesting; real requests with tools stay below 20.
	maxJSONDepth = 64
	// maxTokenLimit is the largest max_tokens accepted. No model in use has a
	// context beyond a million tokens.
	maxTokenLimit = 1 << 20
	// maxChoices is the largest n the OpenAI API accepts.
	maxChoices = 128
)

// jsonFields splits a JSON object into its top-level fields. Field names are
// matched exactly and may occur once: the driver, the engine and the entry
// would otherwise disagree on which value counts.
func jsonFields(body []byte) (map[string]json.RawMessage, error) {
	if depth(body) > maxJSONDepth {
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

// depth returns the deepest nesting of brackets outside strings.
func depth(body []byte) int {
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

// field decodes one field into v and leaves v alone when it is absent or null.
func field(fields map[string]json.RawMessage, name string, v any) error {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "%s has the wrong type: %v", name, err)
	}
	return nil
}

// count decodes a positive integer field; 0 means absent.
func count(fields map[string]json.RawMessage, name string, limit int64) (int64, error) {
	var v *int64
	if err := field(fields, name, &v); err != nil || v == nil {
		return 0, err
	}
	if *v < 1 || *v > limit {
		return 0, invalid(http.StatusBadRequest, CodeInvalidRequest, "%s is %d, allowed: 1 to %d", name, *v, limit)
	}
	return *v, nil
}

// parseCompletion reads the fields the entry acts on.
func (r *Request) parseCompletion(chat bool) error {
	f, err := jsonFields(r.Body)
	if err != nil {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "the body is not valid JSON for this call: %v", err)
	}
	if err := field(f, "model", &r.Model); err != nil {
		return err
	}
	if r.Model == "" {
		return invalid(http.StatusBadRequest, CodeInvalidRequest, "model is missing")
	}
	if err := field(f, "stream", &r.Stream); err != nil {
		return err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, err := count(f, name, maxTokenLimit)
		if err != nil {
			return err
		}
		r.MaxTokens = max(r.MaxTokens, n)
	}
	choices, err := count(f, "n", maxChoices)
	if err != nil {
		return err
	}
	r.Idempotent = true
	r.resumable = r.Stream && choices <= 1 && plainText(f)
	return r.parsePrompt(f, chat)
}

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
	if err := field(f, "messages", &messages); err != nil {
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

// unresumable are fields whose effect on a partial answer can't be carried
// over to another engine.
var unresumable = []string{"tools", "functions", "logprobs", "top_logprobs", "response_format", "echo", "suffix",
	"best_of", "audio", "continue_final_message"}

func plainText(f map[string]json.RawMessage) bool {
	for _, name := range unresumable {
		switch string(f[name]) {
		case "", "null", "false", "[]":
		default:
			return false
		}
	}
	return true
}
