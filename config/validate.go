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

// Error reports one problem of a document.
type Error struct {
	// Path is the field, e.g. "timeouts.request_ms".
	Path string
	// Value is what the document says, Allowed what it may say.
	Value   any
	Allowed string
	Err     error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("service document: %v", e.Err)
	}
	return fmt.Sprintf("service document: %s: got %v, allowed: %s", e.Path, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// pattern is a rule for a string field, named by its match tag. The length is
// checked apart from the expression: one that counts to 1,000 compiles to
// megabytes, which an agent can't spare.
type pattern struct {
	re *regexp.Regexp
	// min and max bound the length in characters.
	min, max int
	allowed  string
}

func (p pattern) match(s string) bool {
	n := utf8.RuneCountInString(s)
	return n >= p.min && n <= p.max && p.re.MatchString(s)
}

var patterns = map[string]pattern{
	"name":   {regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`), 1, 63, "1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"},
	"text":   {regexp.MustCompile(`^[^\s\pC]+$`), 1, 256, "1 to 256 characters without spaces"},
	"kind":   {regexp.MustCompile(`^(engine|plain)$`), 1, 6, "engine, plain"},
	"sha256": {regexp.MustCompile(`^[0-9a-f]+$`), 64, 64, "64 lower-case hex digits"},
	"path":   {regexp.MustCompile(`^/[^\s?#]*$`), 1, 1000, "a path of up to 1000 characters, starting with /, without query"},
	"method": {regexp.MustCompile(`^(GET|HEAD|OPTIONS|POST|PUT|PATCH|DELETE)$`), 3, 7, "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE"},
}

// problems collects the errors of a document.
type problems []error

func (p *problems) check(ok bool, path string, value any, allowed string) {
	if !ok {
		*p = append(*p, &Error{Path: path, Value: value, Allowed: allowed})
	}
}

// Validate returns every problem of the document, joined.
func (d *Document) Validate() error {
	var p problems
	p.fields(reflect.ValueOf(*d), "")
	p.required(d)
	p.unique(d)
	return errors.Join(p...)
}

// fields checks the range and match tags of a struct.
func (p *problems) fields(v reflect.Value, path string) {
	for i := range v.NumField() {
		sf, f := v.Type().Field(i), v.Field(i)
		name := join(path, jsonName(sf))
		switch f.Kind() {
		case reflect.Struct:
			p.fields(f, name)
		case reflect.Slice:
			for j := range f.Len() {
				at := fmt.Sprintf("%s[%d]", name, j)
				if e := f.Index(j); e.Kind() == reflect.Struct {
					p.fields(e, at)
				} else {
					p.match(sf, e, at)
				}
			}
		case reflect.String:
			if f.Len() > 0 || !omitEmpty(sf) {
				p.match(sf, f, name)
			}
		case reflect.Int, reflect.Int64:
			low, high := bounds(sf)
			p.check(f.Int() >= low && f.Int() <= high, name, f.Int(), allowed(sf))
		}
	}
}

func (p *problems) match(sf reflect.StructField, v reflect.Value, path string) {
	pat := patterns[sf.Tag.Get("match")]
	p.check(pat.match(v.String()), path, strconv.Quote(v.String()), pat.allowed)
}

// required checks what depends on more than one field.
func (p *problems) required(d *Document) {
	p.check(d.Kind != infra.Engine || d.Model != "", "model", `""`, "a name, for kind engine")
	p.check(d.Kind != infra.Engine || len(d.Routes) == 0, "routes", len(d.Routes), "none for kind engine")
	p.check(d.Kind != infra.Plain || len(d.Routes) > 0, "routes", 0, "at least one, for kind plain")
	p.check(d.Kind != infra.Plain || d.Model+d.Version == "" && len(d.Adapters) == 0, "model", strconv.Quote(d.Model), "no model, version or adapters for kind plain")
	e := d.Engine
	p.check(e.MinConcurrency <= e.MaxConcurrency, "engine.min_concurrency", e.MinConcurrency, "at most engine.max_concurrency")
}

// unique checks names that must not repeat.
func (p *problems) unique(d *Document) {
	names, keys, models := map[string]string{}, map[string]string{}, map[string]string{}
	once := func(seen map[string]string, value, path string) {
		if first, ok := seen[value]; ok {
			p.check(false, path, strconv.Quote(value), "a value other than that of "+first)
			return
		}
		seen[value] = path
	}
	for i, a := range d.Accounts {
		once(names, a.Name, fmt.Sprintf("accounts[%d].name", i))
		for j, k := range a.KeySHA256 {
			once(keys, k, fmt.Sprintf("accounts[%d].key_sha256[%d]", i, j))
		}
	}
	once(models, d.Model, "model")
	for i, a := range d.Adapters {
		once(models, a, fmt.Sprintf("adapters[%d]", i))
	}
	routes := map[string]string{}
	for i, r := range d.Routes {
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			once(routes, m+" "+r.Path, fmt.Sprintf("routes[%d]", i))
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

// bounds reads a range tag. Every integer field has one; TestReference checks it.
func bounds(f reflect.StructField) (low, high int64) {
	l, h, _ := strings.Cut(f.Tag.Get("range"), "..")
	low, _ = strconv.ParseInt(l, 10, 64)
	high, _ = strconv.ParseInt(h, 10, 64)
	return low, high
}

// allowed describes the values of a field.
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
