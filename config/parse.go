package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// Parse decodes a document, applies the defaults to missing fields and validates
// the result. It reports all unknown and repeated fields, wrong types and values
// out of range at once, as joined errors of type *Error. A document that is too
// large or not a single JSON value gives one *Error.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, &Error{Path: "document", Value: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}
	}
	var p problems
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := p.readValue(dec, "")
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("at byte %d: %w", dec.InputOffset(), err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{Err: errors.New("more than one JSON value")}
	}
	d := Default()
	if tree, ok := p.checkType(tree, reflect.TypeOf(d), "").(map[string]any); ok {
		clean, err := json.Marshal(tree)
		if err != nil {
			return nil, &Error{Err: err}
		}
		if err := json.Unmarshal(clean, &d); err != nil {
			return nil, &Error{Err: err}
		}
	}
	if err := d.Validate(); err != nil {
		p = append(p, err)
	}
	if len(p) > 0 {
		return nil, errors.Join(p...)
	}
	return &d, nil
}

// readValue decodes a JSON value into maps and slices. It reports repeated names,
// of which encoding/json would silently keep the last one.
func (p *problems) readValue(dec *json.Decoder, path string) (any, error) {
	t, err := dec.Token()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	switch t {
	case json.Delim('{'):
		return p.readObject(dec, path)
	case json.Delim('['):
		list := []any{}
		for dec.More() {
			v, err := p.readValue(dec, fmt.Sprintf("%s[%d]", path, len(list)))
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := dec.Token()
		return list, unexpectedEOF(err)
	}
	return t, nil
}

func (p *problems) readObject(dec *json.Decoder, path string) (any, error) {
	object := map[string]any{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		name, _ := t.(string)
		fieldPath := join(path, name)
		v, err := p.readValue(dec, fieldPath)
		if err != nil {
			return nil, err
		}
		_, repeated := object[name]
		p.check(!repeated, fieldPath, "the field twice", "once")
		object[name] = v
	}
	_, err := dec.Token()
	return object, unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkType returns the part of a decoded value that matches the type, and reports
// the rest. It returns nil for a value of the wrong type, whose field then keeps
// its default.
func (p *problems) checkType(v any, t reflect.Type, path string) any {
	switch t.Kind() {
	case reflect.Struct:
		if m, ok := v.(map[string]any); ok {
			return p.checkObject(m, t, path)
		}
		p.check(false, path, excerpt(v), "an object")
	case reflect.Slice:
		list, ok := v.([]any)
		p.check(ok, path, excerpt(v), "a list")
		out := []any{}
		for i, e := range list {
			if e = p.checkType(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); e != nil {
				out = append(out, e)
			}
		}
		return out
	case reflect.String:
		if _, ok := v.(string); ok {
			return v
		}
		p.check(false, path, excerpt(v), "a string")
	case reflect.Bool:
		if _, ok := v.(bool); ok {
			return v
		}
		p.check(false, path, excerpt(v), "true, false")
	default:
		n, ok := v.(json.Number)
		if _, err := n.Int64(); ok && err == nil {
			return v
		}
		p.check(false, path, excerpt(v), "a whole number of 64 bits")
	}
	return nil
}

func (p *problems) checkObject(m map[string]any, t reflect.Type, path string) any {
	out := map[string]any{}
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := jsonName(f)
		known[name] = true
		v, ok := m[name]
		if !ok {
			// Default sets the defaults of the document. Members of lists have
			// theirs in the tag.
			if def := f.Tag.Get("default"); def != "" {
				out[name] = json.Number(def)
			}
			continue
		}
		if v = p.checkType(v, f.Type, join(path, name)); v != nil {
			out[name] = v
		}
	}
	names := make([]string, 0, len(m))
	for name := range m {
		if !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		p.check(false, join(path, name), excerpt(m[name]), "no field of this name; fields: "+strings.Join(fieldNames(t), ", "))
	}
	return out
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}

// maxExcerptBytes is the maximum length of a value in an error message.
const maxExcerptBytes = 80

// excerpt returns a value as JSON, truncated to maxExcerptBytes.
func excerpt(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(b) > maxExcerptBytes {
		return string(b[:maxExcerptBytes]) + "…"
	}
	return string(b)
}
