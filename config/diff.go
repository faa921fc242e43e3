package config

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Change is the difference in one field between two documents. Old or New is empty
// when the field is missing in that document.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

func (c Change) String() string {
	orNone := func(v string) string {
		if v == "" {
			return "(none)"
		}
		return v
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, orNone(c.Old), orNone(c.New))
}

// Diff returns the differences from a to b, sorted by path. Accounts are matched by
// name, and routes by methods and path, not by position. A nil document counts as
// one without fields.
func Diff(a, b *Document) []Change {
	from, to := flatten(a), flatten(b)
	paths := map[string]bool{}
	for p := range from {
		paths[p] = true
	}
	for p := range to {
		paths[p] = true
	}
	var out []Change
	for p := range paths {
		if from[p] != to[p] {
			out = append(out, Change{Path: p, Old: from[p], New: to[p]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// flatten returns the values of a document's fields by path.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d != nil {
		flattenStruct(out, reflect.ValueOf(*d), "")
	}
	return out
}

func flattenStruct(out map[string]string, v reflect.Value, path string) {
	for i := range v.NumField() {
		f := v.Field(i)
		name := join(path, jsonName(v.Type().Field(i)))
		switch {
		case f.Kind() == reflect.Struct:
			flattenStruct(out, f, name)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			for j := range f.Len() {
				flattenStruct(out, f.Index(j), fmt.Sprintf("%s[%s]", name, memberKey(f.Index(j).Interface())))
			}
		case f.Kind() == reflect.Slice && f.Len() == 0:
		default:
			out[name] = formatValue(f.Interface())
		}
	}
}

// memberKey returns the key by which a list member is matched with a member of the
// other document.
func memberKey(v any) string {
	switch v := v.(type) {
	case Account:
		return v.Name
	case Route:
		return strings.TrimSpace(strings.Join(v.Methods, ",") + " " + v.Path)
	default:
		return fmt.Sprint(v)
	}
}

func formatValue(v any) string {
	if list, ok := v.([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(v)
}
