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

// Parse reads a document over the defaults and validates it. It returns every
// problem at once, joined: unknown and repeated fields, wrong types and values
// out of range.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, &Error{Path: "document", Value: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}
	}
	var p problems
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := p.read(dec, "")
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("at byte %d: %w", dec.InputOffset(), err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{Err: errors.New("more than one JSON value")}
	}
	d := Default()
	if tree, ok := p.conform(tree, reflect.TypeOf(d), "").(map[string]any); ok {
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

// read builds the tree of a JSON value and reports repeated names, of which
// encoding/json would silently keep the last.
func (p *problems) read(dec *json.Decoder, path string) (any, error) {
	t, err := dec.Token()
	if err != nil {
		return nil, noEOF(err)
	}
	switch t {
	case json.Delim('{'):
		return p.readObject(dec, path)
	case json.Delim('['):
		list := []any{}
		for dec.More() {
			v, err := p.read(dec, fmt.Sprintf("%s[%d]", path, len(list)))
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := dec.Token()
		return list, noEOF(err)
	}
	return t, nil
}

func (p *problems) readObject(dec *json.Decoder, path string) (any, error) {
	object := map[string]any{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, noEOF(err)
		}
		name, _ := t.(string)
		at := join(path, name)
		v, err := p.read(dec, at)
		if err != nil {
			return nil, err
		}
		_, repeated := object[name]
		p.check(!repeated, at, "the field twice", "once")
		object[name] = v
	}
	_, err := dec.Token()
	return object, noEOF(err)
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// conform returns the part of a tree that fits the type, and reports the rest.
// It returns nil for a value of the wrong type, which then keeps its default.
func (p *problems) conform(v any, t reflect.Type, path string) any {
	switch t.Kind() {
	case reflect.Struct:
		if m, ok := v.(map[string]any); ok {
			return p.conformObject(m, t, path)
		}
		p.check(false, path, describe(v), "an object")
	case reflect.Slice:
		list, ok := v.([]any)
		p.check(ok, path, describe(v), "a list")
		out := []any{}
		for i, e := range list {
			if e = p.conform(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); e != nil {
				out = append(out, e)
			}
		}
		return out
	case reflect.String:
		if _, ok := v.(string); ok {
			return v
		}
		p.check(false, path, describe(v), "a string")
	case reflect.Bool:
		if _, ok := v.(bool); ok {
			return v
		}
		p.check(false, path, describe(v), "true, false")
	default:
		n, ok := v.(json.Number)
		if _, err := n.Int64(); ok && err == nil {
			return v
		}
		p.check(false, path, describe(v), "a whole number of 64 bits")
	}
	return nil
}

func (p *problems) conformObject(m map[string]any, t reflect.Type, path string) any {
	out := map[string]any{}
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := jsonName(f)
		known[name] = true
		v, ok := m[name]
		if !ok {
			// Default covers the document; members of lists have theirs in the tag.
			if def := f.Tag.Get("default"); def != "" {
				out[name] = json.Number(def)
			}
			continue
		}
		if v = p.conform(v, f.Type, join(path, name)); v != nil {
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
		p.check(false, join(path, name), describe(m[name]), "no field of this name; fields: "+strings.Join(fieldNames(t), ", "))
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

// maxDescribed bounds a value in an error message, in bytes.
const maxDescribed = 80

// describe returns a value as JSON, shortened.
func describe(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(b) > maxDescribed {
		return string(b[:maxDescribed]) + "…"
	}
	return string(b)
}
