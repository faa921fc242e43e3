package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/citrontiller/citrontiller/infra"
)

// Error reports one problem of a document or record.
type Error struct {
	// Path is the path of the field, such as "timeouts.request_ms".
	Path string
	// Value is the value of the field. Allowed describes the valid values.
	Value   any
	Allowed string
	// Err is a problem that concerns no single field. If it is set, the other
	// fields are empty.
	Err error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("service document: %v", e.Err)
	}
	return fmt.Sprintf("service document: %s: got %v, allowed: %s", e.Path, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// pattern is the rule for a string field, selected by the field's match tag. The
// length is checked separately: a regular expression that repeats up to 1,000
// times compiles to megabytes, which exceeds an agent's memory budget.
type pattern struct {
	re *regexp.Regexp
	// min and max limit the length in characters.
	min, max int
	allowed  string
}

func (p pattern) match(s string) bool {
	n := utf8.RuneCountInString(s)
	return n >= p.min && n <= p.max && p.re.MatchString(s)
}

// patterns holds the rules by the value of the match tag.
var patterns = map[string]pattern{
	"name":   {regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`), 1, 63, "1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"},
	"text":   {regexp.MustCompile(`^[^\s\pC]+$`), 1, 256, "1 to 256 characters without spaces"},
	"kind":   {regexp.MustCompile(`^(engine|plain)$`), 1, 6, "engine, plain"},
	"sha256": {regexp.MustCompile(`^[0-9a-f]+$`), 64, 64, "64 lower-case hex digits"},
	"path":   {regexp.MustCompile(`^/[^\s?#]*$`), 1, 1000, "a path of up to 1000 characters, starting with /, without query"},
	"method": {regexp.MustCompile(`^(GET|HEAD|OPTIONS|POST|PUT|PATCH|DELETE)$`), 3, 7, "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE"},
}

// problems collects the validation errors of a document.
type problems []error

func (p *problems) check(ok bool, path string, value any, allowed string) {
	if !ok {
		*p = append(*p, &Error{Path: path, Value: value, Allowed: allowed})
	}
}

// Validate returns all problems of the document as joined errors of type *Error,
// or nil.
func (d *Document) Validate() error {
	var p problems
	p.checkFields(reflect.ValueOf(*d), "")
	p.checkCrossField(d)
	p.checkUnique(d)
	return errors.Join(p...)
}

// checkFields checks the fields of a struct against their range and match tags.
func (p *problems) checkFields(v reflect.Value, path string) {
	for i := range v.NumField() {
		sf, f := v.Type().Field(i), v.Field(i)
		name := join(path, jsonName(sf))
		switch f.Kind() {
		case reflect.Struct:
			p.checkFields(f, name)
		case reflect.Slice:
			for j := range f.Len() {
				memberPath := fmt.Sprintf("%s[%d]", name, j)
				if e := f.Index(j); e.Kind() == reflect.Struct {
					p.checkFields(e, memberPath)
				} else {
					p.checkPattern(sf, e, memberPath)
				}
			}
		case reflect.String:
			if f.Len() > 0 || !omitEmpty(sf) {
				p.checkPattern(sf, f, name)
			}
		case reflect.Int, reflect.Int64:
			low, high := bounds(sf)
			p.check(f.Int() >= low && f.Int() <= high, name, f.Int(), allowed(sf))
		}
	}
}

func (p *problems) checkPattern(sf reflect.StructField, v reflect.Value, path string) {
	pat := patterns[sf.Tag.Get("match")]
	p.check(pat.match(v.String()), path, strconv.Quote(v.String()), pat.allowed)
}

// checkCrossField checks the rules that involve more than one field.
func (p *problems) checkCrossField(d *Document) {
	p.check(d.Kind != infra.Engine || d.Model != "", "model", `""`, "a name, for kind engine")
	p.check(d.Kind != infra.Engine || len(d.Routes) == 0, "routes", len(d.Routes), "none for kind engine")
	p.check(d.Kind != infra.Plain || len(d.Routes) > 0, "routes", 0, "at least one, for kind plain")
	p.check(d.Kind != infra.Plain || d.Model+d.Version == "" && len(d.Adapters) == 0, "model", strconv.Quote(d.Model), "no model, version or adapters for kind plain")
	e := d.Engine
	p.check(e.MinConcurrency <= e.MaxConcurrency, "engine.min_concurrency", e.MinConcurrency, "at most engine.max_concurrency")
}

// checkUnique checks that names, keys and routes do not repeat.
func (p *problems) checkUnique(d *Document) {
	names, keys, models := map[string]string{}, map[string]string{}, map[string]string{}
	addUnique := func(seen map[string]string, value, path string) {
		if first, ok := seen[value]; ok {
			p.check(false, path, strconv.Quote(value), "a value other than that of "+first)
			return
		}
		seen[value] = path
	}
	for i, a := range d.Accounts {
		addUnique(names, a.Name, fmt.Sprintf("accounts[%d].name", i))
		for j, k := range a.KeySHA256 {
			addUnique(keys, k, fmt.Sprintf("accounts[%d].key_sha256[%d]", i, j))
		}
	}
	addUnique(models, d.Model, "model")
	for i, a := range d.Adapters {
		addUnique(models, a, fmt.Sprintf("adapters[%d]", i))
	}
	routes := map[string]string{}
	for i, r := range d.Routes {
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			addUnique(routes, m+" "+r.Path, fmt.Sprintf("routes[%d]", i))
		}
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func omitEmpty(f reflect.StructField) bool { return strings.HasSuffix(f.Tag.Get("json"), ",omitempty") }

// bounds returns the limits in a field's range tag. TestReference checks that every
// integer field has one.
func bounds(f reflect.StructField) (low, high int64) {
	l, h, _ := strings.Cut(f.Tag.Get("range"), "..")
	low, _ = strconv.ParseInt(l, 10, 64)
	high, _ = strconv.ParseInt(h, 10, 64)
	return low, high
}

// allowed returns a description of the valid values of a field, empty if any value
// is valid.
func allowed(f reflect.StructField) string {
	if m := f.Tag.Get("match"); m != "" {
		return patterns[m].allowed
	}
	if f.Tag.Get("range") == "" {
		return ""
	}
	low, high := bounds(f)
	return fmt.Sprintf("%d to %d", low, high)
}
